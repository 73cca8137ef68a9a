#include "lycheewell/core/routing/failure_rate.h"

#include <algorithm>
#include <cmath>

namespace lycheewell::core::routing {
namespace {

// Weight of one run: some ten failures in a row say enough, one says little.
constexpr double kRunWeight = 0.06;

// Without runs the part halves in this time.
constexpr double kHalfLifeSeconds = 2.0;

}  // namespace

double FailureRate::Part(Instant now) const {
  const double silent = std::max(
      0.0, std::chrono::duration<double>(now - this->recorded_at).count());
  return this->part * std::exp2(-silent / kHalfLifeSeconds);
}

void FailureRate::Record(bool has_failed, Instant now) {
  const double before = this->Part(now);
  this->part = before + kRunWeight * ((has_failed ? 1.0 : 0.0) - before);
  this->recorded_at = now;
}

}  // namespace lycheewell::core::routing
