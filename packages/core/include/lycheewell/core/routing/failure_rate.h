// The part of a target's runs that fail by its own fault.
#ifndef LYCHEEWELL_CORE_ROUTING_FAILURE_RATE_H_
#define LYCHEEWELL_CORE_ROUTING_FAILURE_RATE_H_

#include "lycheewell/core/types.h"

namespace lycheewell::core::routing {

// An average over the last runs that fades while there are none: a target that
// gets no requests because it failed is tried again.
class FailureRate {
 public:
  // Commands.

  void Record(bool has_failed, Instant now);

  // The target was replaced.
  void Forget() { this->part = 0; }

  // Queries.

  // Between 0 and 1.
  double Part(Instant now) const;

 private:
  double part = 0;
  Instant recorded_at;
};

}  // namespace lycheewell::core::routing

#endif  // LYCHEEWELL_CORE_ROUTING_FAILURE_RATE_H_
