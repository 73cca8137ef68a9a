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

// Tokens of requests that have not run can be taken again for this long. Kept
// longer, they could add up and be spent in one window.
constexpr Duration kReturnedLifetime = std::chrono::milliseconds(500);

// Slices of a window. A slice counts until its last moment has left the window.
constexpr int kSlices = 25;

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

WindowBucket::WindowBucket(const AccountRate& new_rate, Duration new_window,
                           Instant now)
    : rate(new_rate),
      window(new_window),
      level(std::min(new_rate.burst, new_rate.per_second * kInitialSeconds)),
      filled_at(now),
      created_at(now) {
  const Duration length = this->window / kSlices;
  for (int i = kSlices; i > 0; --i) {
    this->slices.push_back(
        {.begins_at = now - i * length,
         .granted = this->rate.per_second * Seconds(length)});
  }
}

void WindowBucket::ChangeRate(const AccountRate& new_rate) {
  if (new_rate == this->rate) {
    return;
  }
  const double factor =
      new_rate.per_second / std::max(1e-9, this->rate.per_second);
  for (Slice& slice : this->slices) {
    slice.granted *= factor;
  }
  this->level *= std::min(1.0, factor);
  this->rate = new_rate;
}

double WindowBucket::GrantedInWindow(Instant now) {
  const Duration length = this->window / kSlices;
  while (!this->slices.empty() &&
         now - this->slices.front().begins_at > this->window + length) {
    this->slices.pop_front();
  }
  double granted = 0;
  for (const Slice& slice : this->slices) {
    granted += slice.granted;
  }
  return granted;
}

int WindowBucket::Take(int amount, const AccountRate& new_rate, Instant now) {
  this->ChangeRate(new_rate);
  // In its first window the bucket does not know what was granted before.
  const bool knows_window = now - this->created_at >= this->window;
  const double refill =
      this->rate.per_second +
      (knows_window ? this->rate.burst / Seconds(this->window) : 0.0);
  this->level += refill * std::max(0.0, Seconds(now - this->filled_at));
  this->level = std::min(this->level, std::max(1.0, this->rate.burst));
  this->filled_at = now;
  const double most = this->rate.per_second * Seconds(this->window) +
                      std::max(1.0, this->rate.burst);
  const double room = std::min(this->level, most - this->GrantedInWindow(now));
  const int taken = std::clamp(static_cast<int>(std::floor(room)), 0, amount);
  this->level -= taken;
  if (this->slices.empty() ||
      now - this->slices.back().begins_at >= this->window / kSlices) {
    this->slices.push_back({.begins_at = now});
  }
  this->slices.back().granted += taken;
  return taken;
}

int TokenKeeper::Grant(const std::string& account, int amount,
                       const AccountRate& rate, double fleet_part,
                       Instant now) {
  const AccountRate part{.per_second = rate.per_second * fleet_part,
                         .burst = rate.burst * fleet_part};
  auto found = this->buckets.find(account);
  if (found == this->buckets.end()) {
    found =
        this->buckets.emplace(account, WindowBucket(part, this->window, now))
            .first;
  }
  return found->second.Take(amount, part, now);
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
  if (this->returned > 0 && now - this->returned_since < kReturnedLifetime) {
    --this->returned;
    return true;
  }
  if (this->balance <= 0) {
    return false;
  }
  --this->balance;
  return true;
}

void TokenHolder::Return(Instant now) {
  if (now - this->returned_since >= kReturnedLifetime) {
    this->returned_since = now;
    this->returned = 0;
  }
  ++this->returned;
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
