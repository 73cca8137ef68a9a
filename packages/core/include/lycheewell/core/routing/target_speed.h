// Speed of a target, apart from the work of its requests.
#ifndef LYCHEEWELL_CORE_ROUTING_TARGET_SPEED_H_
#define LYCHEEWELL_CORE_ROUTING_TARGET_SPEED_H_

#include "lycheewell/core/types.h"

namespace lycheewell::core::routing {

// Ratio of the measured to the expected work of a target's recent runs. It
// fades to 1 while there are none, so that a slow target that gets no requests
// is tried again.
class TargetSpeed {
 public:
  // Commands.

  // A run that was expected to take `expected` took `measured`.
  void Record(Duration measured, Duration expected, Instant now);

  // Clears the ratio, for a target that was replaced.
  void Reset() { *this = TargetSpeed(); }

  // Queries.

  // 2 for a target that takes twice as long as expected.
  double Slowness(Instant now) const;

 private:
  double measured_ns = 0;
  double expected_ns = 0;
  Instant recorded_at;
};

}  // namespace lycheewell::core::routing

#endif  // LYCHEEWELL_CORE_ROUTING_TARGET_SPEED_H_
