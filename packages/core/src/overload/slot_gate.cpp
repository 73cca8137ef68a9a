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

double SlotGate::WorkPerTurn() const {
  return this->mean_work_ns / static_cast<double>(this->most);
}

// Wait of a request with `ahead_in_rank` requests of its own rank before it.
Duration SlotGate::WaitAt(int rank, std::size_t ahead_in_rank) const {
  double turns = static_cast<double>(ahead_in_rank + 1);
  for (const auto& [other, line] : this->lines) {
    if (other >= rank) {
      break;
    }
    turns += static_cast<double>(line.size());
  }
  const bool is_last =
      this->lines.empty() || rank >= this->lines.rbegin()->first;
  if (is_last) {
    turns =
        std::min(turns, static_cast<double>((ahead_in_rank + 1) * kFairTurn));
  }
  turns += static_cast<double>(std::max(0, this->busy - this->most));
  return Duration(static_cast<Duration::rep>(turns * this->WorkPerTurn()));
}

Duration SlotGate::ExpectedWait(int rank) const {
  if (this->busy < this->most) {
    return Duration::zero();
  }
  const auto line = this->lines.find(rank);
  return this->WaitAt(rank,
                      line == this->lines.end() ? 0 : line->second.size());
}

Duration SlotGate::mean_work() const {
  return Duration(static_cast<Duration::rep>(this->mean_work_ns));
}

SlotVerdict SlotGate::Offer(const SlotRequest& request, Instant now) {
  if (this->busy < this->most && this->lines.empty()) {
    ++this->busy;
    return SlotVerdict::kRun;
  }
  if (now + this->ExpectedWait(request.rank) > request.latest_start) {
    return SlotVerdict::kRefuse;
  }
  const std::uint64_t arrival = ++this->arrivals;
  this->lines[request.rank].emplace(arrival, request);
  this->by_ticket.emplace(request.ticket, std::pair{request.rank, arrival});
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

void SlotGate::Erase(std::map<int, Line>::iterator line, Line::iterator entry) {
  this->by_ticket.erase(entry->second.ticket);
  line->second.erase(entry);
  if (line->second.empty()) {
    this->lines.erase(line);
  }
}

std::map<int, SlotGate::Line>::iterator SlotGate::NextLine() {
  ++this->turns_taken;
  return this->turns_taken % kFairTurn == 0 ? std::prev(this->lines.end())
                                            : this->lines.begin();
}

SlotTurns SlotGate::TakeTurns(Instant now) {
  SlotTurns turns;
  while (this->busy < this->most && !this->lines.empty()) {
    const auto line = this->NextLine();
    const auto first = line->second.begin();
    if (first->second.latest_start < now) {
      turns.refuse.push_back(first->second.ticket);
    } else {
      turns.run.push_back(first->second.ticket);
      ++this->busy;
    }
    this->Erase(line, first);
  }
  // What cannot get a slot in time any more is refused now, not when its time
  // has passed: from the least important and newest on.
  for (auto line = this->lines.rbegin(); line != this->lines.rend(); ++line) {
    std::size_t ahead = line->second.size();
    for (auto entry = line->second.rbegin(); entry != line->second.rend();
         ++entry) {
      --ahead;
      // Half of the estimate: queues move unevenly, and a refusal is final.
      if (now + this->WaitAt(line->first, ahead) / 2 >
          entry->second.latest_start) {
        turns.refuse.push_back(entry->second.ticket);
      }
    }
  }
  for (const std::uint64_t ticket : turns.refuse) {
    this->Remove(ticket);
  }
  return turns;
}

bool SlotGate::Remove(std::uint64_t ticket) {
  const auto found = this->by_ticket.find(ticket);
  if (found == this->by_ticket.end()) {
    return false;
  }
  const auto [rank, arrival] = found->second;
  const auto line = this->lines.find(rank);
  this->Erase(line, line->second.find(arrival));
  return true;
}

Instant SlotGate::next_expiry() const {
  Instant earliest = Instant::max();
  for (const auto& [rank, line] : this->lines) {
    for (const auto& [arrival, request] : line) {
      earliest = std::min(earliest, request.latest_start);
    }
  }
  return earliest;
}

}  // namespace lycheewell::core::overload
