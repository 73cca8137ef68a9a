#include "lycheewell/core/rate/fleet_tokens.h"

#include <algorithm>
#include <cmath>

namespace lycheewell::core::rate {
namespace {

// A holder keeps tokens for this long ahead: what all holders keep unspent
// stays small against a window of seconds.
constexpr double kPrefetchSeconds = 0.15;

// Demand is averaged over periods of this length.
constexpr Duration kDemandPeriod = std::chrono::milliseconds(250);

// After a grant of nothing the keeper is not asked again for this long: the
// smallest limited rates give a token in about this time.
constexpr Duration kExhaustedPause = std::chrono::milliseconds(60);

// A new bucket holds what the rate gives in this time.
constexpr double kInitialSeconds = 0.2;

double Seconds(Duration duration) {
  return std::chrono::duration<double>(duration).count();
}

}  // namespace

PlainBucket::PlainBucket(const AccountRate& rate, Instant now)
    : level(std::min(rate.burst, rate.per_second * kInitialSeconds)),
      filled_at(now) {}

int PlainBucket::Take(int amount, const AccountRate& rate, Instant now) {
  this->level +=
      rate.per_second * std::max(0.0, Seconds(now - this->filled_at));
  this->level = std::min(this->level, std::max(1.0, rate.burst));
  this->filled_at = now;
  const int taken =
      std::clamp(static_cast<int>(std::floor(this->level)), 0, amount);
  this->level -= taken;
  return taken;
}

int TokenKeeper::Grant(const std::string& account, int amount,
                       const AccountRate& rate, double fleet_part,
                       Instant now) {
  const AccountRate part{.per_second = rate.per_second * fleet_part,
                         .burst = rate.burst * fleet_part};
  PlainBucket& bucket =
      this->buckets.try_emplace(account, PlainBucket(part, now)).first->second;
  return bucket.Take(amount, part, now);
}

TokenHolder::TokenHolder(Instant now) : measured_at(now) {}

bool TokenHolder::Take(Instant now) {
  ++this->measured;
  const Duration period = now - this->measured_at;
  if (period >= kDemandPeriod) {
    const double observed = this->measured / Seconds(period);
    this->demand_per_second = (this->demand_per_second + observed) / 2;
    this->measured_at = now;
    this->measured = 0;
  }
  if (this->balance <= 0) {
    return false;
  }
  --this->balance;
  return true;
}

void TokenHolder::Receive(int granted, int asked, Instant now) {
  this->balance += granted;
  if (granted == 0 && asked > 0) {
    this->exhausted_until = now + kExhaustedPause;
  }
}

bool TokenHolder::TakeOwnPart(const AccountRate& rate, std::size_t daemons,
                              Instant now) {
  const auto parts = static_cast<double>(std::max<std::size_t>(1, daemons));
  const AccountRate part{.per_second = rate.per_second / parts,
                         .burst = rate.burst / parts};
  if (!this->own) {
    this->own.emplace(part, now);
  }
  return this->own->Take(1, part, now) == 1;
}

int TokenHolder::Prefetch() const {
  const int wanted =
      static_cast<int>(this->demand_per_second * kPrefetchSeconds);
  return std::max(0, wanted - this->balance);
}

}  // namespace lycheewell::core::rate
