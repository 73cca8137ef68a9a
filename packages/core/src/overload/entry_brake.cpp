#include "lycheewell/core/overload/entry_brake.h"

#include <algorithm>

namespace lycheewell::core::overload {
namespace {

// A call bears this wait beside its work, also several times one after the
// other.
constexpr Duration kShortWait = std::chrono::milliseconds(50);

// The queue beyond that is to be worked off in about this time. Requests reach
// the service later than they enter, so a shorter time would overshoot.
constexpr Duration kDrainTime = std::chrono::milliseconds(1000);

// Queues of calls with patience may be longer than the entry can work off.
constexpr double kMinFactor = 0.6;

}  // namespace

double BrakeFactor(Duration wait) {
  const double excess =
      std::chrono::duration<double>(wait - kShortWait) / kDrainTime;
  return std::clamp(1 - excess, kMinFactor, 1.0);
}

}  // namespace lycheewell::core::overload
