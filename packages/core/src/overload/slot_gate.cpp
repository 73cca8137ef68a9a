#include "lycheewell/core/overload/slot_gate.h"

#include <algorithm>
#include <iterator>

namespace lycheewell::core::overload {
namespace {

// Weight of one completion in the moving average of the work, which thus covers
// about the last 50 completions.
constexpr double kMeanWorkWeight = 0.02;

}  // namespace

void SlotGate::Resize(const Options& options) {
  this->slot_count = std::max(1, options.slots);
}

double SlotGate::ReleaseIntervalNs() const {
  return this->mean_work_ns / static_cast<double>(this->slot_count);
}

Duration SlotGate::ExpectedWaitBehind(int rank,
                                      std::size_t ahead_in_rank) const {
  double releases = static_cast<double>(ahead_in_rank + 1);
  for (const auto& [other_rank, queue] : this->queues) {
    if (other_rank >= rank) {
      break;
    }
    releases += static_cast<double>(queue.size());
  }
  const bool is_least_important =
      this->queues.empty() || rank >= this->queues.rbegin()->first;
  if (is_least_important) {
    releases = std::min(releases, static_cast<double>((ahead_in_rank + 1) *
                                                      kHighestRankInterval));
  }
  releases +=
      static_cast<double>(std::max(0, this->busy_slots - this->slot_count));
  return Duration(
      static_cast<Duration::rep>(releases * this->ReleaseIntervalNs()));
}

std::size_t SlotGate::CountAhead(int rank, Instant turn) const {
  const auto queue = this->queues.find(rank);
  if (queue == this->queues.end()) {
    return 0;
  }
  if (queue->second.rbegin()->first.first <= turn) {
    return queue->second.size();  // also where all have the same turn
  }
  return static_cast<std::size_t>(
      std::distance(queue->second.begin(),
                    queue->second.upper_bound({turn, this->arrivals + 1})));
}

Duration SlotGate::ExpectedWait(int rank, Instant turn) const {
  return this->busy_slots < this->slot_count
             ? Duration::zero()
             : this->ExpectedWaitBehind(rank, this->CountAhead(rank, turn));
}

Duration SlotGate::mean_work() const {
  return Duration(static_cast<Duration::rep>(this->mean_work_ns));
}

SlotDecision SlotGate::Offer(const SlotRequest& request, Instant now) {
  if (this->busy_slots < this->slot_count && this->queues.empty()) {
    ++this->busy_slots;
    return SlotDecision::kRun;
  }
  if (now + this->ExpectedWait(request.rank, request.turn) >
      request.latest_start) {
    return SlotDecision::kRefuse;
  }
  if (this->queues.empty()) {
    this->queued_since = now;
  }
  const Position position{request.turn, ++this->arrivals};
  this->queues[request.rank].emplace(position, request);
  this->by_ticket.emplace(request.ticket, std::pair{request.rank, position});
  return SlotDecision::kWait;
}

void SlotGate::Finish(Duration work, bool is_sample) {
  this->busy_slots = std::max(0, this->busy_slots - 1);
  if (!is_sample) {
    return;
  }
  const auto sample = static_cast<double>(work.count());
  this->mean_work_ns =
      this->mean_work_ns == 0
          ? sample
          : this->mean_work_ns +
                kMeanWorkWeight * (sample - this->mean_work_ns);
}

void SlotGate::Erase(std::map<int, Queue>::iterator queue,
                     Queue::iterator entry) {
  this->by_ticket.erase(entry->second.ticket);
  queue->second.erase(entry);
  if (queue->second.empty()) {
    this->queues.erase(queue);
  }
}

std::map<int, SlotGate::Queue>::iterator SlotGate::SelectQueue() {
  ++this->selections;
  return this->selections % kHighestRankInterval == 0
             ? std::prev(this->queues.end())
             : this->queues.begin();
}

DispatchResult SlotGate::Dispatch(Instant now) {
  DispatchResult result;
  while (this->busy_slots < this->slot_count && !this->queues.empty()) {
    const auto queue = this->SelectQueue();
    const auto first = queue->second.begin();
    if (first->second.latest_start < now) {
      result.refuse.push_back(first->second.ticket);
    } else {
      result.run.push_back(first->second.ticket);
      ++this->busy_slots;
    }
    this->Erase(queue, first);
  }
  // Requests that are not expected to get a slot in time are refused early
  // instead of at their `latest_start`, the least important and newest first.
  for (auto queue = this->queues.rbegin(); queue != this->queues.rend();
       ++queue) {
    std::size_t ahead = queue->second.size();
    for (auto entry = queue->second.rbegin(); entry != queue->second.rend();
         ++entry) {
      --ahead;
      // Only half of the expected wait counts, because queues advance unevenly
      // and a refusal is final.
      if (now + this->ExpectedWaitBehind(queue->first, ahead) / 2 >
          entry->second.latest_start) {
        result.refuse.push_back(entry->second.ticket);
      }
    }
  }
  for (const std::uint64_t ticket : result.refuse) {
    this->Remove(ticket);
  }
  return result;
}

bool SlotGate::Remove(std::uint64_t ticket) {
  const auto found = this->by_ticket.find(ticket);
  if (found == this->by_ticket.end()) {
    return false;
  }
  const auto [rank, position] = found->second;
  const auto queue = this->queues.find(rank);
  this->Erase(queue, queue->second.find(position));
  return true;
}

Instant SlotGate::next_expiry() const {
  Instant earliest = Instant::max();
  for (const auto& [rank, queue] : this->queues) {
    for (const auto& [position, request] : queue) {
      earliest = std::min(earliest, request.latest_start);
    }
  }
  return earliest;
}

}  // namespace lycheewell::core::overload
