// The request rate of a target that is cold, and the steps after that.
#ifndef LYCHEEWELL_CORE_OVERLOAD_COLD_START_H_
#define LYCHEEWELL_CORE_OVERLOAD_COLD_START_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>

#include "lycheewell/core/overload/ranked_tokens.h"
#include "lycheewell/core/types.h"

namespace lycheewell::core::overload {

enum class Warmth { kCold, kWarmingUp, kWarm };

// Kept by the daemon beside the target, which all of its requests pass. While
// the target is cold, no more requests than its rate are written to it in any
// one second. Nothing queues: a request that does not fit is refused.
class ColdStart {
 public:
  struct Options {
    double rate_per_second = 0;  // while cold; 0: no limit
    Duration duration{};         // for which a target is cold

    bool operator==(const Options&) const = default;
  };

  // It is not known what a daemon that ended before `started_at` has sent.
  explicit ColdStart(Instant started_at);

  // Commands.

  // What holds for the target's service. Until the first call a target that is
  // cold gets nothing.
  void Configure(const Options& options, Instant now);

  // The target has announced how much longer it is cold. The newest
  // announcement counts, but one that may be older than a sign of coldness does
  // not lift the assumption.
  void OnAnnouncement(Duration cold_for, bool is_new_start, Instant now);

  // There is a sign that the target may have become cold. It counts as cold for
  // the service's duration unless it shows otherwise.
  void Assume(Instant now);

  // The last sign still holds.
  void ExtendAssumption(Instant now);

  // The target has taken nothing in for a while: all requests without an answer
  // reach it now.
  void OnWake(Instant now);

  // The target has answered a health check that was sent at `checked_at`.
  void OnHealthAnswer(Duration cold_for, Instant checked_at, Instant now);

  // Whether a request of `rank` may be sent. Lower ranks are more important. An
  // admitted request holds its place until OnWritten or Return.
  bool Admit(int rank, Instant now);

  // An admitted request was not sent.
  void Return();

  // A request is being written to the target; `was_admitted` is false for
  // requests that need no admission.
  void OnWritten(bool was_admitted, Instant now);

  // The request written at `written_at` has been answered or given up.
  void OnDone(Instant written_at);

  // Queries.

  Warmth warmth(Instant now) const;

  // Requests per second that the target now gets at most.
  std::optional<double> per_second(Instant now) const;

  // Time for which the target is, or is assumed to be, cold.
  Duration cold_for(Instant now) const;

  // Whether the target is cold only by a sign: a health check would tell.
  bool is_assumed(Instant now) const { return now < this->assumed_until; }

  const std::optional<Options>& service() const { return this->options; }
  std::size_t unanswered() const { return this->in_flight; }
  std::uint64_t refused() const { return this->refusals; }

 private:
  bool is_cold(Instant now) const { return now < this->cold_until; }
  // Recomputes the end of the coldness from what is known.
  void Refresh(Instant now);
  // Requests that may be written within Window().
  std::size_t MaxInWindow() const;
  Duration Window() const;
  void RecordWritten(Instant now);
  bool HasRoom(Instant now) const;

  std::optional<Options> options;
  Instant held_until;  // a cold target gets nothing before
  Instant announced_until;
  Instant checked_until;
  Instant assumed_until;
  Instant signed_at;  // of the last sign of coldness
  int announcements_since_sign = 0;
  Instant cold_since;
  Instant cold_until;        // the latest of those above, or when it was lifted
  bool known_cold = false;   // by the target's own word, since `cold_since`
  bool warms_up = false;     // in steps after `cold_until`
  std::deque<Instant> sent;  // the latest ones, at most MaxInWindow()
  std::size_t reserved = 0;  // admitted and not written yet
  std::size_t in_flight = 0;          // written and not answered
  std::size_t in_flight_cold = 0;     // of those, written while cold
  std::optional<double> tokens_rate;  // the rate in `tokens`
  RankedTokens tokens;
  std::uint64_t refusals = 0;
};

}  // namespace lycheewell::core::overload

#endif  // LYCHEEWELL_CORE_OVERLOAD_COLD_START_H_
