// How many requests a target should run at once, found from the latency that
// the daemon beside it observes.
#ifndef LYCHEEWELL_CORE_OVERLOAD_CONCURRENCY_LIMIT_H_
#define LYCHEEWELL_CORE_OVERLOAD_CONCURRENCY_LIMIT_H_

#include <optional>

#include "lycheewell/core/types.h"

namespace lycheewell::core::overload {

// Latency well above its floor at a full limit may come from requests that
// queue inside the target, or from requests that are slow in themselves. The
// limit finds out: it shrinks, and where latency does not fall with it, it goes
// back and takes the present latency as the floor.
class ConcurrencyLimit {
 public:
  struct Options {
    // Slots that the target announced: the limit never exceeds them.
    int most = 64;
    // The limit of a target that has just started.
    int at_start = 4;
  };

  ConcurrencyLimit(const Options& options, Instant now);

  // Commands.

  // A request took `latency` at the target while `running` ran there.
  void RecordCompletion(Duration latency, int running, Instant now);

  // The target refused or dropped a request.
  void RecordRefusal(Instant now);

  // Queries.

  int limit() const;
  Duration typical_latency() const;

 private:
  // A decrease whose effect on latency is not known yet.
  struct Trial {
    double limit_before = 0;
    double latency_before = 0;  // nanoseconds
  };

  // What was observed since the last adjustment.
  struct Window {
    double latency_sum = 0;  // nanoseconds
    int completions = 0;
    int refusals = 0;
    int largest_running = 0;
  };

  void Adjust(Instant now);
  void JudgeTrial(double latency);
  void Change(double latency);

  Options options;
  double current;
  double floor = 0;    // latency with little load, nanoseconds
  double typical = 0;  // mean of the last window, nanoseconds
  Window window;
  std::optional<Trial> trial;
  Instant adjusted_at;
};

}  // namespace lycheewell::core::overload

#endif  // LYCHEEWELL_CORE_OVERLOAD_CONCURRENCY_LIMIT_H_
