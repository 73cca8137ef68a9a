#include "lycheewell/core/overload/slot_gate.h"

#include <algorithm>

namespace lycheewell::core::overload {
namespace {

// Weight of one completion in the mean work: about the last 50 count.
constexpr double kWorkWeight = 0.02;

}  // namespace

void SlotGate::Resize(const Options& options) {
  this->most = std::max(1, options.slots);
}

std::size_t SlotGate::WaitingBefore(int rank) const {
  std::size_t count = 0;
  for (const auto& [queued_rank, waiting] : this->waiting_by_rank) {
    if (queued_rank > rank) {
      break;
    }
    count += waiting;
  }
  return count;
}

Duration SlotGate::ExpectedWait(int rank) const {
  if (this->busy < this->most) {
    return Duration::zero();
  }
  const double turns = static_cast<double>(this->WaitingBefore(rank) + 1) +
                       static_cast<double>(this->busy - this->most);
  return Duration(static_cast<Duration::rep>(turns * this->mean_work_ns /
                                             static_cast<double>(this->most)));
}

Duration SlotGate::mean_work() const {
  return Duration(static_cast<Duration::rep>(this->mean_work_ns));
}

SlotVerdict SlotGate::Offer(const SlotRequest& request, Instant now) {
  if (this->busy < this->most && this->queue.empty()) {
    ++this->busy;
    return SlotVerdict::kRun;
  }
  if (now + this->ExpectedWait(request.rank) > request.latest_start) {
    return SlotVerdict::kRefuse;
  }
  const Key key{request.rank, ++this->arrivals};
  this->queue.emplace(key, request);
  this->by_ticket.emplace(request.ticket, key);
  ++this->waiting_by_rank[request.rank];
  return SlotVerdict::kWait;
}

void SlotGate::Finish(Duration work, bool is_sample) {
  this->busy = std::max(0, this->busy - 1);
  if (!is_sample) {
    return;
  }
  const auto sample = static_cast<double>(work.count());
  this->mean_work_ns =
      this->mean_work_ns == 0
          ? sample
          : this->mean_work_ns + kWorkWeight * (sample - this->mean_work_ns);
}

void SlotGate::Erase(std::map<Key, SlotRequest>::iterator entry) {
  const auto count = this->waiting_by_rank.find(entry->first.first);
  if (--count->second == 0) {
    this->waiting_by_rank.erase(count);
  }
  this->by_ticket.erase(entry->second.ticket);
  this->queue.erase(entry);
}

SlotTurns SlotGate::TakeTurns(Instant now) {
  SlotTurns turns;
  while (this->busy < this->most && !this->queue.empty()) {
    const auto first = this->queue.begin();
    if (first->second.latest_start < now) {
      turns.refuse.push_back(first->second.ticket);
    } else {
      turns.run.push_back(first->second.ticket);
      ++this->busy;
    }
    this->Erase(first);
  }
  // From the least important end: what cannot get a slot in time any more is
  // refused now, not when its time has passed.
  const double per_turn =
      this->mean_work_ns / static_cast<double>(this->most);
  double position = static_cast<double>(this->queue.size());
  auto entry = this->queue.end();
  while (entry != this->queue.begin()) {
    const auto candidate = std::prev(entry);
    const auto wait = Duration(static_cast<Duration::rep>(position * per_turn));
    // Half of the estimate: queues move unevenly, and a refusal is final.
    if (now + wait / 2 > candidate->second.latest_start) {
      turns.refuse.push_back(candidate->second.ticket);
      this->Erase(candidate);
    } else {
      entry = candidate;
    }
    position -= 1;
  }
  return turns;
}

bool SlotGate::Remove(std::uint64_t ticket) {
  const auto found = this->by_ticket.find(ticket);
  if (found == this->by_ticket.end()) {
    return false;
  }
  this->Erase(this->queue.find(found->second));
  return true;
}

Instant SlotGate::next_expiry() const {
  Instant earliest = Instant::max();
  for (const auto& [key, request] : this->queue) {
    earliest = std::min(earliest, request.latest_start);
  }
  return earliest;
}

}  // namespace lycheewell::core::overload
