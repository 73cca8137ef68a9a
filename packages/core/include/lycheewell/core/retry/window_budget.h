// One daemon's part of a service's budget of repeated attempts.
#ifndef LYCHEEWELL_CORE_RETRY_WINDOW_BUDGET_H_
#define LYCHEEWELL_CORE_RETRY_WINDOW_BUDGET_H_

#include <deque>

#include "lycheewell/core/types.h"

namespace lycheewell::core::retry {

// In any window, repeats stay under ratio * requests + base / daemons, both
// counted at this daemon, so that the sum over the fleet keeps the bound.
class WindowBudget {
 public:
  struct Options {
    double ratio = 0;
    double base = 0;  // shared by all daemons
    Duration window = std::chrono::seconds(10);
  };

  explicit WindowBudget(const Options& options) : options(options) {}

  // Commands.

  void RecordRequest(Instant now);

  // Takes room for one repeat while `daemons` share the base; false when there
  // is none.
  bool Spend(std::size_t daemons, Instant now);

 private:
  // Requests and repeats of one slice of the window.
  struct Slice {
    Instant begins_at;
    int requests = 0;
    int repeats = 0;
  };

  Slice& Current(Instant now);

  Options options;
  std::deque<Slice> slices;
};

}  // namespace lycheewell::core::retry

#endif  // LYCHEEWELL_CORE_RETRY_WINDOW_BUDGET_H_
