#include "lycheewell/core/routing/target_speed.h"

#include <algorithm>
#include <cmath>

namespace lycheewell::core::routing {
namespace {

// Each run keeps this part of the sums, which thus cover about 50 runs.
constexpr double kRetention = 0.98;

// Runs of ordinary speed that are assumed before the first one, so that it does
// not decide alone.
constexpr double kPriorRuns = 2;

// Runs of targets of one service differ by a small factor. Larger ratios come
// from a wrong expectation.
constexpr double kMaxSlowness = 10;

// After a pause of this length the difference from 1 halves in the half-life.
constexpr double kFadeAfterSeconds = 2;
constexpr double kHalfLifeSeconds = 3;

}  // namespace

void TargetSpeed::Record(Duration measured, Duration expected, Instant now) {
  if (expected <= Duration::zero()) {
    return;
  }
  const auto expected_run_ns = static_cast<double>(expected.count());
  const double measured_run_ns = std::min(static_cast<double>(measured.count()),
                                          kMaxSlowness * expected_run_ns);
  if (this->expected_ns == 0) {
    this->measured_ns = kPriorRuns * expected_run_ns;
    this->expected_ns = kPriorRuns * expected_run_ns;
  } else {
    this->measured_ns = this->Slowness(now) * this->expected_ns;
  }
  this->measured_ns = kRetention * this->measured_ns + measured_run_ns;
  this->expected_ns = kRetention * this->expected_ns + expected_run_ns;
  this->recorded_at = now;
}

double TargetSpeed::Slowness(Instant now) const {
  if (this->expected_ns == 0) {
    return 1;
  }
  const double ratio = std::clamp(this->measured_ns / this->expected_ns,
                                  1 / kMaxSlowness, kMaxSlowness);
  const double idle_seconds = std::max(
      0.0, std::chrono::duration<double>(now - this->recorded_at).count() -
               kFadeAfterSeconds);
  return 1 + (ratio - 1) * std::exp2(-idle_seconds / kHalfLifeSeconds);
}

}  // namespace lycheewell::core::routing
