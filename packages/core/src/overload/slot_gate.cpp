#include "lycheewell/core/overload/slot_gate.h"

#include <algorithm>
#include <limits>

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

double SlotGate::ExpectedWorkNs(const SlotRequest& request) const {
  return request.expected_work > Duration::zero()
             ? static_cast<double>(request.expected_work.count())
             : this->mean_work_ns;
}

Duration SlotGate::MeanRun(Instant now) const {
  return this->weighs_work ? this->running_work.MeanRun(now) : Duration::zero();
}

Duration SlotGate::ExpectedWaitBehind(int rank, const Ahead& ahead_in_rank,
                                      Duration mean_run) const {
  auto requests = static_cast<double>(ahead_in_rank.requests);
  double work_ns = ahead_in_rank.work_ns;
  for (const auto& [other_rank, queue] : this->queues) {
    if (other_rank >= rank) {
      break;
    }
    requests += static_cast<double>(queue.requests.size());
    work_ns += queue.work_ns;
  }
  double releases = requests + 1;
  const bool is_least_important =
      this->queues.empty() || rank >= this->queues.rbegin()->first;
  if (is_least_important) {
    releases =
        std::min(releases, static_cast<double>((ahead_in_rank.requests + 1) *
                                               kHighestRankInterval));
  }
  releases +=
      static_cast<double>(std::max(0, this->busy_slots - this->slot_count));
  if (!this->weighs_work) {
    return Duration(
        static_cast<Duration::rep>(releases * this->ReleaseIntervalNs()));
  }
  const double mean_queued_ns = requests > 0 ? work_ns / requests : 0;
  return TimeUntilReleases(
      releases, this->slot_count, mean_run,
      Duration(static_cast<Duration::rep>(mean_queued_ns)));
}

Duration SlotGate::ExpectedWait(int rank, Instant order, Instant now) const {
  if (this->busy_slots < this->slot_count) {
    return Duration::zero();
  }
  Ahead ahead;
  const auto queue = this->queues.find(rank);
  if (queue != this->queues.end()) {
    ahead = {.requests = queue->second.requests.size(),
             .work_ns = queue->second.work_ns};
    for (auto entry = queue->second.requests.rbegin();
         entry != queue->second.requests.rend() && entry->first.first > order;
         ++entry) {
      --ahead.requests;
      ahead.work_ns -= static_cast<double>(entry->second.expected_work.count());
    }
  }
  return this->ExpectedWaitBehind(rank, ahead, this->MeanRun(now));
}

Duration SlotGate::ExpectedWaitOfFirst(Instant now) const {
  return this->busy_slots < this->slot_count
             ? Duration::zero()
             : this->ExpectedWaitBehind(std::numeric_limits<int>::min(),
                                        Ahead(), this->MeanRun(now));
}

Duration SlotGate::ExpectedWaitOfLast(Instant now) const {
  return this->ExpectedWait(
      this->queues.empty() ? 0 : this->queues.rbegin()->first, Instant::max(),
      now);
}

Duration SlotGate::RemainingWork(Instant now) const {
  double waiting_ns = 0;
  for (const auto& [rank, queue] : this->queues) {
    waiting_ns += queue.work_ns;
  }
  return this->running_work.Remaining(now) +
         Duration(static_cast<Duration::rep>(waiting_ns));
}

Duration SlotGate::mean_work() const {
  return Duration(static_cast<Duration::rep>(this->mean_work_ns));
}

SlotDecision SlotGate::Offer(const SlotRequest& request, Instant now) {
  if (this->busy_slots < this->slot_count && this->queues.empty()) {
    this->Start(request, now);
    return SlotDecision::kRun;
  }
  const Instant order = this->OrderOf(request);
  if (now + this->ExpectedWait(request.rank, order, now) >
      request.latest_start) {
    return SlotDecision::kRefuse;
  }
  if (this->queues.empty()) {
    this->queued_since = now;
  }
  const Turn turn(order, ++this->arrivals);
  SlotRequest queued = request;
  queued.expected_work =
      Duration(static_cast<Duration::rep>(this->ExpectedWorkNs(request)));
  Queue& queue = this->queues[request.rank];
  queue.requests.emplace(turn, queued);
  queue.work_ns += static_cast<double>(queued.expected_work.count());
  this->by_ticket.emplace(request.ticket, std::pair{request.rank, turn});
  return SlotDecision::kWait;
}

void SlotGate::Start(const SlotRequest& request, Instant now) {
  ++this->busy_slots;
  if (this->weighs_work) {
    this->running_work.Start(
        request.ticket,
        Duration(static_cast<Duration::rep>(this->ExpectedWorkNs(request))),
        request.work_spread, now);
  }
}

void SlotGate::Finish(std::uint64_t ticket, Duration work, bool is_sample) {
  this->busy_slots = std::max(0, this->busy_slots - 1);
  this->running_work.End(ticket);
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

void SlotGate::Erase(std::map<int, Queue>::iterator queue, Position entry) {
  this->by_ticket.erase(entry->second.ticket);
  queue->second.work_ns -=
      static_cast<double>(entry->second.expected_work.count());
  queue->second.requests.erase(entry);
  if (queue->second.requests.empty()) {
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
    const auto first = queue->second.requests.begin();
    if (first->second.latest_start < now) {
      result.refuse.push_back(first->second.ticket);
    } else {
      result.run.push_back(first->second.ticket);
      this->Start(first->second, now);
    }
    this->Erase(queue, first);
  }
  // Requests that are not expected to get a slot in time are refused early
  // instead of at their `latest_start`, the least important and newest first.
  const Duration mean_run = this->MeanRun(now);
  for (auto queue = this->queues.rbegin(); queue != this->queues.rend();
       ++queue) {
    const auto& requests = queue->second.requests;
    Ahead ahead{.requests = requests.size(), .work_ns = queue->second.work_ns};
    for (auto entry = requests.rbegin(); entry != requests.rend(); ++entry) {
      --ahead.requests;
      ahead.work_ns -= static_cast<double>(entry->second.expected_work.count());
      // Only half of the expected wait counts, because queues advance unevenly
      // and a refusal is final.
      if (now + this->ExpectedWaitBehind(queue->first, ahead, mean_run) / 2 >
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
  const auto [rank, turn] = found->second;
  const auto queue = this->queues.find(rank);
  this->Erase(queue, queue->second.requests.find(turn));
  return true;
}

Instant SlotGate::next_expiry() const {
  Instant earliest = Instant::max();
  for (const auto& [rank, queue] : this->queues) {
    for (const auto& [turn, request] : queue.requests) {
      earliest = std::min(earliest, request.latest_start);
    }
  }
  return earliest;
}

}  // namespace lycheewell::core::overload
