// One daemon's part of a service's retry budget.
#ifndef LYCHEEWELL_CORE_RETRY_WINDOW_BUDGET_H_
#define LYCHEEWELL_CORE_RETRY_WINDOW_BUDGET_H_

#include <deque>

#include "lycheewell/core/types.h"

namespace lycheewell::core::retry {

// Sliding-window retry budget. In any window, the retries of this daemon are at
// most ratio * (its requests) + base / (number of daemons), so that the fleet
// as a whole stays within ratio * requests + base.
class WindowBudget {
 public:
  struct Options {
    double ratio = 0;  // retries per request
    double base = 0;   // retries per window, shared by all daemons
    Duration window = std::chrono::seconds(10);
  };

  explicit WindowBudget(const Options& options) : options(options) {}

  // Commands.

  void RecordRequest(Instant now);

  // Takes one retry from the budget while `daemon_count` daemons share the
  // base; false when the budget is used up.
  bool Spend(std::size_t daemon_count, Instant now);

 private:
  // Requests and retries within one slice of the window.
  struct Slice {
    Instant begins_at;
    int requests = 0;
    int retries = 0;
  };

  // Drops the slices that have left the window and returns the slice of `now`.
  Slice& CurrentSlice(Instant now);

  Options options;
  std::deque<Slice> slices;
};

}  // namespace lycheewell::core::retry

#endif  // LYCHEEWELL_CORE_RETRY_WINDOW_BUDGET_H_
