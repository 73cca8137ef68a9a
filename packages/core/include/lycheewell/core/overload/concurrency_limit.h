// Adaptive limit of the requests that a target runs concurrently, derived from
// the latency that the daemon beside it observes.
#ifndef LYCHEEWELL_CORE_OVERLOAD_CONCURRENCY_LIMIT_H_
#define LYCHEEWELL_CORE_OVERLOAD_CONCURRENCY_LIMIT_H_

#include <optional>

#include "lycheewell/core/types.h"

namespace lycheewell::core::overload {

// Latency well above its base value while at least half of the limit is in use
// has two possible causes: requests queue inside the target, or they take
// longer to process. A trial distinguishes them: the limit decreases, and if
// latency does not fall with it, the limit is restored and the current latency
// becomes the base value.
class ConcurrencyLimit {
 public:
  struct Options {
    // Slots that the target announced. The limit never exceeds them.
    int max_limit = 64;
    // Limit of a target that has just started.
    int initial_limit = 4;
  };

  ConcurrencyLimit(const Options& options, Instant now);

  // Commands.

  // Records that a request took `latency` at the target, which ran `running`
  // requests at the time.
  void RecordCompletion(Duration latency, int running, Instant now);

  // Records that the target refused or dropped a request.
  void RecordRefusal(Instant now);

  // Queries.

  int limit() const;
  Duration mean_latency() const;

 private:
  // A decrease of the limit whose effect on latency is not known yet.
  struct Trial {
    double limit_before = 0;
    double latency_before = 0;  // nanoseconds
  };

  // Observations since the last adjustment.
  struct Window {
    double latency_sum = 0;  // nanoseconds
    int completions = 0;
    int refusals = 0;
    int largest_running = 0;
  };

  void Adjust(Instant now);
  void EvaluateTrial(double latency);
  void ChangeLimit(double latency);

  Options options;
  double current;
  double base_latency_ns = 0;  // latency without queueing in the target
  double mean_latency_ns = 0;  // of the last window
  Window window;
  std::optional<Trial> trial;
  Instant adjusted_at;
};

}  // namespace lycheewell::core::overload

#endif  // LYCHEEWELL_CORE_OVERLOAD_CONCURRENCY_LIMIT_H_
