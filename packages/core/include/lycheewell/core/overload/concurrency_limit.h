// How many requests a target should run at once, found from the latency that
// the daemon beside it observes.
#ifndef LYCHEEWELL_CORE_OVERLOAD_CONCURRENCY_LIMIT_H_
#define LYCHEEWELL_CORE_OVERLOAD_CONCURRENCY_LIMIT_H_

#include "lycheewell/core/types.h"

namespace lycheewell::core::overload {

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
  Duration typical_latency() const { return this->short_average; }

 private:
  void Adjust(Instant now);

  Options options;
  double current;
  Duration floor{};          // latency with little load
  Duration short_average{};  // over about the last 20 completions
  int largest_running = 0;   // since the last adjustment
  int completions = 0;       // since the last adjustment
  bool was_refused = false;  // since the last adjustment
  Instant adjusted_at;
};

}  // namespace lycheewell::core::overload

#endif  // LYCHEEWELL_CORE_OVERLOAD_CONCURRENCY_LIMIT_H_
