// Work that the requests running at a target still need.
#ifndef LYCHEEWELL_CORE_OVERLOAD_OUTSTANDING_WORK_H_
#define LYCHEEWELL_CORE_OVERLOAD_OUTSTANDING_WORK_H_

#include <cstdint>
#include <unordered_map>
#include <vector>

#include "lycheewell/core/types.h"

namespace lycheewell::core::overload {

// A running request is expected to need its expected work less its age, and at
// least the spread of that expectation. The longer it exceeds the expectation,
// the more it is expected to need.
class OutstandingWork {
 public:
  // Commands.

  void Start(std::uint64_t ticket, Duration expected, Duration spread,
             Instant now);
  void End(std::uint64_t ticket);

  // Queries.

  // Sum over the running requests.
  Duration Remaining(Instant now) const;

  // Mean time for which a slot is held, if the running requests are seen at
  // random moments of their runs; zero if none runs.
  Duration MeanRun(Instant now) const;

 private:
  struct Run {
    std::uint64_t ticket = 0;
    Instant started_at;
    double expected_ns = 0;
    double spread_ns = 0;

    double RemainingNs(double age_ns) const;
  };

  // Without gaps, since the queries pass over all of it.
  std::vector<Run> runs;
  std::unordered_map<std::uint64_t, std::size_t> index_by_ticket;
};

// Expected time until `releases` slots have become free, where `slots` are held
// for `running` on average, and each one that becomes free is then held for
// `queued` by requests that wait.
Duration TimeUntilReleases(double releases, double slots, Duration running,
                           Duration queued);

}  // namespace lycheewell::core::overload

#endif  // LYCHEEWELL_CORE_OVERLOAD_OUTSTANDING_WORK_H_
