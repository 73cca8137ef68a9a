// Admission to the slots of the target beside this daemon: which requests run,
// wait or are refused.
#ifndef LYCHEEWELL_CORE_OVERLOAD_SLOT_GATE_H_
#define LYCHEEWELL_CORE_OVERLOAD_SLOT_GATE_H_

#include <cstdint>
#include <map>
#include <unordered_map>
#include <utility>
#include <vector>

#include "lycheewell/core/overload/outstanding_work.h"
#include "lycheewell/core/types.h"

namespace lycheewell::core::overload {

// A request that asks for a slot.
struct SlotRequest {
  std::uint64_t ticket = 0;  // chosen by the caller, identifies the request
  // Lower ranks are more important, unlike those of rank.h.
  int rank = 0;
  Instant arrived_at;
  // The request is refused if it has no slot by this time.
  Instant latest_start;
  // Among requests of one rank the earliest turn goes first, then the first to
  // arrive.
  Instant turn{};
  // Time for which it is expected to hold its slot, and the standard deviation;
  // zero: not known.
  Duration expected_work{};
  Duration work_spread{};

  bool operator==(const SlotRequest&) const = default;
};

// One free slot in this many goes to the highest waiting rank, so that it does
// not starve.
inline constexpr std::uint64_t kHighestRankInterval = 10;

enum class SlotDecision { kRun, kWait, kRefuse };

// Tickets of the waiting requests that now run, and of those that are refused.
struct DispatchResult {
  std::vector<std::uint64_t> run;
  std::vector<std::uint64_t> refuse;

  bool operator==(const DispatchResult&) const = default;
};

// Scheduler with strict priority by rank, except that every
// kHighestRankInterval-th free slot goes to the highest waiting rank. Under
// overload no rank starves, and requests that need few slots get them. The mean
// work is estimated from completed requests, so a slow target shows as a longer
// expected wait. Once WeighByWork() has been called, the expected wait follows
// from the expected work of the requests that run and of those ahead.
class SlotGate {
 public:
  struct Options {
    int slots = 1;
  };

  // Commands.

  // Changes the number of slots. Running requests keep theirs.
  void Resize(const Options& options);

  void WeighByWork() { this->weighs_work = true; }

  // Runs, queues or refuses `request`. It is refused if its expected wait ends
  // after `latest_start`. That wait does not count less important requests.
  // Dispatch() refuses those that are no longer expected to start in time.
  SlotDecision Offer(const SlotRequest& request, Instant now);

  // Frees the slot of the request `ticket`, which held it for `work`.
  // `is_sample` says whether this time represents the speed of the target.
  void Finish(std::uint64_t ticket, Duration work, bool is_sample);

  // Assigns free slots to waiting requests, and refuses those whose
  // `latest_start` has passed or that are not expected to start by then.
  DispatchResult Dispatch(Instant now);

  // Discards the mean work after the target has been replaced.
  void ResetMeanWork() { this->mean_work_ns = 0; }

  // Removes a waiting request. Returns false if it is not waiting.
  bool Remove(std::uint64_t ticket);

  // Queries.

  int slots() const { return this->slot_count; }
  int running() const { return this->busy_slots; }
  std::size_t waiting() const { return this->by_ticket.size(); }

  // Expected wait of a new request of `rank`.
  // Expected wait of a new request whose place among those of its rank follows
  // from `order`; see OrderOf().
  Duration ExpectedWait(int rank, Instant order, Instant now) const;

  // The smaller it is, the earlier a request goes among those of its rank: its
  // turn or, where work is weighed and it has none, its latest start.
  Instant OrderOf(const SlotRequest& request) const {
    return this->weighs_work && request.turn == Instant() ? request.latest_start
                                                          : request.turn;
  }

  // Time since the queue was last empty.
  Duration queue_age(Instant now) const {
    return this->queues.empty() ? Duration::zero() : now - this->queued_since;
  }

  // Expected waits of a request ahead of all that wait, and behind them.
  Duration ExpectedWaitOfFirst(Instant now) const;
  Duration ExpectedWaitOfLast(Instant now) const;

  // Expected work of all requests that run and wait, less what is done.
  Duration RemainingWork(Instant now) const;

  // Moving average of the time for which a request holds a slot.
  Duration mean_work() const;

  // The earliest `latest_start` of the waiting requests; Instant::max() if none
  // waits.
  Instant next_expiry() const;

 private:
  // Waiting requests of one rank.
  // Order and arrival number.
  using Turn = std::pair<Instant, std::uint64_t>;
  struct Queue {
    std::map<Turn, SlotRequest> requests;
    double work_ns = 0;  // sum of their expected work
  };
  using Position = std::map<Turn, SlotRequest>::iterator;
  // Requests ahead of another one.
  struct Ahead {
    std::size_t requests = 0;
    double work_ns = 0;
  };

  // Mean interval between releases of slots while all are busy.
  double ReleaseIntervalNs() const;
  // Expected wait of a request behind `ahead_in_rank` of its rank, where the
  // slots are held for `mean_run` on average.
  Duration ExpectedWaitBehind(int rank, const Ahead& ahead_in_rank,
                              Duration mean_run) const;
  Duration MeanRun(Instant now) const;
  double ExpectedWorkNs(const SlotRequest& request) const;
  void Start(const SlotRequest& request, Instant now);
  std::map<int, Queue>::iterator SelectQueue();
  void Erase(std::map<int, Queue>::iterator queue, Position entry);

  int slot_count = 1;
  bool weighs_work = false;
  int busy_slots = 0;
  OutstandingWork running_work;
  double mean_work_ns = 0;
  std::uint64_t arrivals = 0;
  Instant queued_since;  // valid while requests wait
  std::uint64_t selections = 0;
  std::map<int, Queue> queues;  // by rank; no queue is empty
  std::unordered_map<std::uint64_t, std::pair<int, Turn>> by_ticket;
};

}  // namespace lycheewell::core::overload

#endif  // LYCHEEWELL_CORE_OVERLOAD_SLOT_GATE_H_
