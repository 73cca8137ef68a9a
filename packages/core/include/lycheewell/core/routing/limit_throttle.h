// How often a daemon tries a target that admits only a limited rate.
#ifndef LYCHEEWELL_CORE_ROUTING_LIMIT_THROTTLE_H_
#define LYCHEEWELL_CORE_ROUTING_LIMIT_THROTTLE_H_

#include <map>

#include "lycheewell/core/types.h"

namespace lycheewell::core::routing {

// Client-side throttling: requests are not sent where most of the last ones
// were refused. It counts each rank apart, as important requests are still
// admitted where others are not.
class LimitThrottle {
 public:
  // Commands.

  // Whether to try the target with a request of `rank`.
  bool Offer(int rank, Instant now, RandomSource& random);

  // The target's daemon has admitted a request, or refused it and asked for no
  // other one of its rank within `backoff`.
  void RecordAdmitted(int rank, Instant now);
  void RecordRefused(int rank, Duration backoff, Instant now);

 private:
  // Counts that decay with time.
  struct Counts {
    double offered = 0;
    double admitted = 0;
    Instant updated_at;
    Instant closed_until;
  };

  Counts& CountsOf(int rank, Instant now);

  std::map<int, Counts> counts;  // by rank
};

}  // namespace lycheewell::core::routing

#endif  // LYCHEEWELL_CORE_ROUTING_LIMIT_THROTTLE_H_
