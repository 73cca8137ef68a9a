#include "lycheewell/core/overload/sender_share.h"

#include <algorithm>

namespace lycheewell::core::overload {
namespace {

// Daemons get a new share with an answer, or with a pong about once a second.
constexpr Duration kUpdatePeriod = std::chrono::milliseconds(500);

// Requests that should arrive for each that the target takes: demand is uneven,
// and a refused request can go to another target.
constexpr double kOfferedPerAdmitted = 1.3;

// Bounds of the change of the share in one update.
constexpr double kMaxIncrease = 1.5;
constexpr double kMaxDecrease = 0.5;

double Bounded(double share, double per_second, std::size_t daemons) {
  const double equal =
      per_second / static_cast<double>(std::max<std::size_t>(1, daemons));
  return std::clamp(share, equal, kOfferedPerAdmitted * per_second);
}

}  // namespace

void SenderShare::Start(double per_second, std::size_t daemons, Instant now) {
  this->share = Bounded(0, kOfferedPerAdmitted * per_second, daemons);
  this->rate = per_second;
  this->offered = 0;
  this->updated_at = now;
}

void SenderShare::Update(double per_second, std::size_t daemons, Instant now) {
  this->share =
      Bounded(this->share * per_second / this->rate, per_second, daemons);
  this->rate = per_second;
  const Duration elapsed = now - this->updated_at;
  if (elapsed < kUpdatePeriod) {
    return;
  }
  const double offered_rate = static_cast<double>(this->offered) /
                              std::chrono::duration<double>(elapsed).count();
  const double change = offered_rate > 0
                            ? kOfferedPerAdmitted * per_second / offered_rate
                            : kMaxIncrease;
  this->share =
      Bounded(this->share * std::clamp(change, kMaxDecrease, kMaxIncrease),
              per_second, daemons);
  this->offered = 0;
  this->updated_at = now;
}

}  // namespace lycheewell::core::overload
