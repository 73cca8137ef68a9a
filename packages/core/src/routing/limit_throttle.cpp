#include "lycheewell/core/routing/limit_throttle.h"

#include <algorithm>
#include <cmath>

namespace lycheewell::core::routing {
namespace {

// Time constant of the counts.
constexpr double kDecaySeconds = 3;

// A rank is tried about this many times for each admitted request, so that it
// finds a limit that has risen.
constexpr double kTriesPerAdmitted = 1.5;

constexpr std::uint64_t kProbabilitySteps = 1 << 16;

}  // namespace

LimitThrottle::Counts& LimitThrottle::CountsOf(int rank, Instant now) {
  Counts& entry = this->counts[rank];
  const double seconds =
      std::chrono::duration<double>(now - entry.updated_at).count();
  const double factor = std::exp(-std::max(0.0, seconds) / kDecaySeconds);
  entry.offered *= factor;
  entry.admitted *= factor;
  entry.updated_at = now;
  return entry;
}

bool LimitThrottle::Offer(int rank, Instant now, RandomSource& random) {
  Counts& entry = this->CountsOf(rank, now);
  const double excess = entry.offered - kTriesPerAdmitted * entry.admitted;
  const double held_back = std::max(0.0, excess / (entry.offered + 1));
  ++entry.offered;
  return now >= entry.closed_until &&
         static_cast<double>(random() % kProbabilitySteps) >=
             held_back * static_cast<double>(kProbabilitySteps);
}

void LimitThrottle::RecordAdmitted(int rank, Instant now) {
  ++this->CountsOf(rank, now).admitted;
}

void LimitThrottle::RecordRefused(int rank, Duration backoff, Instant now) {
  this->CountsOf(rank, now).closed_until = now + backoff;
}

}  // namespace lycheewell::core::routing
