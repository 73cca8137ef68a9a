#include "lycheewell/core/routing/send_pace.h"

#include <algorithm>

namespace lycheewell::core::routing {
namespace {

constexpr double kMinPerSecond = 0.01;
constexpr std::uint64_t kPhases = 1 << 16;

// Room that is kept while nothing is sent.
constexpr Duration kMaxCredit = std::chrono::milliseconds(250);

Duration Interval(double per_second) {
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(1 / std::max(kMinPerSecond, per_second)));
}

}  // namespace

bool SendPace::HasRoom(double per_second, Instant now, RandomSource& random) {
  if (per_second <= 0) {
    this->next.reset();
    return false;
  }
  const Duration interval = Interval(per_second);
  if (!this->next) {
    this->next = now + interval / static_cast<Duration::rep>(kPhases) *
                           static_cast<Duration::rep>(random() % kPhases);
  }
  // The share may have risen since the last request.
  this->next = std::min(*this->next, now + interval);
  return now >= *this->next;
}

void SendPace::Spend(double per_second, Instant now) {
  this->next = std::max(this->next.value_or(now), now - kMaxCredit) +
               Interval(per_second);
}

}  // namespace lycheewell::core::routing
