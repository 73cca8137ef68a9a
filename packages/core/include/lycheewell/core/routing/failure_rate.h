// Moving average of the fraction of a target's runs that fail by its own fault.
#ifndef LYCHEEWELL_CORE_ROUTING_FAILURE_RATE_H_
#define LYCHEEWELL_CORE_ROUTING_FAILURE_RATE_H_

#include "lycheewell/core/types.h"

namespace lycheewell::core::routing {

// Exponentially weighted moving average over the runs that also decays while
// there are none, so that a target that gets no requests because of its
// failures is tried again.
class FailureRate {
 public:
  // Commands.

  void Record(bool has_failed, Instant now);

  // Clears the average, for a target that was replaced.
  void Reset() { this->fraction = 0; }

  // Queries.

  // Between 0 and 1.
  double Fraction(Instant now) const;

 private:
  double fraction = 0;
  Instant recorded_at;
};

}  // namespace lycheewell::core::routing

#endif  // LYCHEEWELL_CORE_ROUTING_FAILURE_RATE_H_
