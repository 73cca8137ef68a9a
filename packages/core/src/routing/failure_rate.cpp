#include "lycheewell/core/routing/failure_rate.h"

#include <algorithm>
#include <cmath>

namespace lycheewell::core::routing {
namespace {

// Weight of one run in the moving average. Some ten failures in a row are
// sufficient evidence against a target; a single one is not.
constexpr double kSmoothingFactor = 0.06;

// Time in which the fraction halves while there are no runs.
constexpr double kHalfLifeSeconds = 2.0;

}  // namespace

double FailureRate::Fraction(Instant now) const {
  const double idle_seconds = std::max(
      0.0, std::chrono::duration<double>(now - this->recorded_at).count());
  return this->fraction * std::exp2(-idle_seconds / kHalfLifeSeconds);
}

void FailureRate::Record(bool has_failed, Instant now) {
  const double previous = this->Fraction(now);
  this->fraction =
      previous + kSmoothingFactor * ((has_failed ? 1.0 : 0.0) - previous);
  this->recorded_at = now;
}

}  // namespace lycheewell::core::routing
