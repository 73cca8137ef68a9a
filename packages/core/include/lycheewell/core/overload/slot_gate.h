// Decides which requests run at the one target beside this daemon, which wait
// and which are refused.
#ifndef LYCHEEWELL_CORE_OVERLOAD_SLOT_GATE_H_
#define LYCHEEWELL_CORE_OVERLOAD_SLOT_GATE_H_

#include <cstdint>
#include <map>
#include <unordered_map>
#include <utility>
#include <vector>

#include "lycheewell/core/types.h"

namespace lycheewell::core::overload {

// A request that asks for a slot.
struct SlotRequest {
  std::uint64_t ticket = 0;  // names the request to the caller
  int rank = 0;              // lower ranks run first
  Instant arrived_at;
  // A request that has no slot by then is refused.
  Instant latest_start;

  bool operator==(const SlotRequest&) const = default;
};

// One free slot in this many goes to the highest waiting rank.
inline constexpr std::uint64_t kFairTurn = 10;

enum class SlotVerdict { kRun, kWait, kRefuse };

// What the gate decided about waiting requests.
struct SlotTurns {
  std::vector<std::uint64_t> run;
  std::vector<std::uint64_t> refuse;

  bool operator==(const SlotTurns&) const = default;
};

// Lower ranks go first, but every kFairTurn-th free slot goes to the highest
// rank that waits: under overload nothing starves, and a kind of request that
// needs little gets it. Work per slot is learnt from completions, so a slow
// target is recognised by its expected wait.
class SlotGate {
 public:
  struct Options {
    int slots = 1;
  };

  // Commands.

  // Changes the number of slots; running requests stay.
  void Resize(const Options& options);

  // Refuses when the expected wait passes `latest_start`, unless the request
  // displaces less important ones.
  SlotVerdict Offer(const SlotRequest& request, Instant now);

  // A running request has ended after `work`; `is_sample` says whether the
  // time tells how fast the target is.
  void Finish(Duration work, bool is_sample);

  // Gives free slots to waiting requests and refuses those that are too late
  // or that the expected wait no longer leaves a chance.
  SlotTurns TakeTurns(Instant now);

  // The target was replaced: what was learnt about it no longer holds.
  void Forget() { this->mean_work_ns = 0; }

  // Removes a waiting request; false when it does not wait.
  bool Remove(std::uint64_t ticket);

  // Queries.

  int slots() const { return this->most; }
  int running() const { return this->busy; }
  std::size_t waiting() const { return this->by_ticket.size(); }

  // Wait that a new request of `rank` has to expect.
  Duration ExpectedWait(int rank) const;

  // Mean time that a request holds a slot.
  Duration mean_work() const;

  // The earliest `latest_start` of the waiting requests, or Instant::max().
  Instant next_expiry() const;

 private:
  // Waiting requests of one rank in the order of their arrival.
  using Line = std::map<std::uint64_t, SlotRequest>;

  double WorkPerTurn() const;
  Duration WaitAt(int rank, std::size_t ahead_in_rank) const;
  std::map<int, Line>::iterator NextLine();
  void Erase(std::map<int, Line>::iterator line, Line::iterator entry);

  int most = 1;
  int busy = 0;
  double mean_work_ns = 0;
  std::uint64_t arrivals = 0;
  std::uint64_t turns_taken = 0;
  std::map<int, Line> lines;  // by rank; none is empty
  std::unordered_map<std::uint64_t, std::pair<int, std::uint64_t>> by_ticket;
};

}  // namespace lycheewell::core::overload

#endif  // LYCHEEWELL_CORE_OVERLOAD_SLOT_GATE_H_
