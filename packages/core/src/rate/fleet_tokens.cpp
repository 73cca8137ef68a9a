#include "lycheewell/core/rate/fleet_tokens.h"

#include <algorithm>
#include <cmath>

namespace lycheewell::core::rate {
namespace {

// A pool prefetches tokens for this much demand. The unspent tokens of all
// pools together must stay small relative to a window of several seconds.
constexpr double kPrefetchSeconds = 0.15;

// Sampling period of the moving average of demand.
constexpr Duration kDemandPeriod = std::chrono::milliseconds(250);

// Backoff after a request for which the owner granted nothing. The smallest
// limited rates yield one token in about this time.
constexpr Duration kExhaustedBackoff = std::chrono::milliseconds(60);

// Returned tokens can be reused for this long. If they were kept longer, they
// could accumulate and all be spent in one window.
constexpr Duration kReturnedLifetime = std::chrono::milliseconds(500);

// A slice counts in full until its end has left the window, so that the grants
// in the window are never underestimated.
constexpr int kSlicesPerWindow = 25;

// A new bucket holds the tokens that the rate yields in this time.
constexpr double kInitialFillSeconds = 0.2;

double Seconds(Duration duration) {
  return std::chrono::duration<double>(duration).count();
}

}  // namespace

FallbackBucket::FallbackBucket(const AccountRate& rate, Instant now)
    : level(std::min(rate.burst, rate.per_second * kInitialFillSeconds)),
      refilled_at(now) {}

int FallbackBucket::Take(int amount, const AccountRate& rate, Instant now) {
  this->level +=
      rate.per_second * std::max(0.0, Seconds(now - this->refilled_at));
  this->level = std::min(this->level, std::max(1.0, rate.burst));
  this->refilled_at = now;
  const int taken =
      std::clamp(static_cast<int>(std::floor(this->level)), 0, amount);
  this->level -= taken;
  return taken;
}

SlidingWindowBucket::SlidingWindowBucket(const AccountRate& new_rate,
                                         Duration new_window, Instant now)
    : rate(new_rate),
      window(new_window),
      level(
          std::min(new_rate.burst, new_rate.per_second * kInitialFillSeconds)),
      refilled_at(now),
      created_at(now) {
  const Duration length = this->window / kSlicesPerWindow;
  for (int i = kSlicesPerWindow; i > 0; --i) {
    this->slices.push_back(
        {.begins_at = now - i * length,
         .granted = this->rate.per_second * Seconds(length)});
  }
}

void SlidingWindowBucket::ChangeRate(const AccountRate& new_rate) {
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

double SlidingWindowBucket::GrantedInWindow(Instant now) {
  const Duration length = this->window / kSlicesPerWindow;
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

int SlidingWindowBucket::Take(int amount, const AccountRate& new_rate,
                              Instant now) {
  this->ChangeRate(new_rate);
  // Until one window has passed, the grants before the bucket's creation are
  // unknown, so only the rate is refilled.
  const bool has_full_window = now - this->created_at >= this->window;
  const double refill =
      this->rate.per_second +
      (has_full_window ? this->rate.burst / Seconds(this->window) : 0.0);
  this->level += refill * std::max(0.0, Seconds(now - this->refilled_at));
  this->level = std::min(this->level, std::max(1.0, this->rate.burst));
  this->refilled_at = now;
  const double max_granted = this->rate.per_second * Seconds(this->window) +
                             std::max(1.0, this->rate.burst);
  const double available =
      std::min(this->level, max_granted - this->GrantedInWindow(now));
  const int taken =
      std::clamp(static_cast<int>(std::floor(available)), 0, amount);
  this->level -= taken;
  if (this->slices.empty() ||
      now - this->slices.back().begins_at >= this->window / kSlicesPerWindow) {
    this->slices.push_back({.begins_at = now});
  }
  this->slices.back().granted += taken;
  return taken;
}

int AccountBuckets::Grant(const std::string& account, int amount,
                          const AccountRate& rate, double reachable_fraction,
                          Instant now) {
  const AccountRate scaled_rate{
      .per_second = rate.per_second * reachable_fraction,
      .burst = rate.burst * reachable_fraction};
  auto found = this->buckets.find(account);
  if (found == this->buckets.end()) {
    found = this->buckets
                .emplace(account,
                         SlidingWindowBucket(scaled_rate, this->window, now))
                .first;
  }
  return found->second.Take(amount, scaled_rate, now);
}

LocalTokenPool::LocalTokenPool(Instant now) : period_started_at(now) {}

bool LocalTokenPool::Take(Instant now) {
  ++this->period_requests;
  const Duration period = now - this->period_started_at;
  if (period >= kDemandPeriod) {
    const double observed = this->period_requests / Seconds(period);
    this->demand_per_second = (this->demand_per_second + observed) / 2;
    this->period_started_at = now;
    this->period_requests = 0;
  }
  if (this->returned > 0 && now - this->returned_since < kReturnedLifetime) {
    --this->returned;
    return true;
  }
  while (!this->grants.empty() && (this->grants.front().tokens == 0 ||
                                   now >= this->grants.front().expires_at)) {
    this->balance -= this->grants.front().tokens;
    this->grants.pop_front();
  }
  if (this->grants.empty()) {
    return false;
  }
  --this->grants.front().tokens;
  --this->balance;
  return true;
}

void LocalTokenPool::Return(Instant now) {
  if (now - this->returned_since >= kReturnedLifetime) {
    this->returned_since = now;
    this->returned = 0;
  }
  ++this->returned;
}

void LocalTokenPool::AddGrant(int granted, int requested, Instant requested_at,
                              Instant now) {
  this->grants.push_back(
      {.tokens = granted, .expires_at = requested_at + kGrantLifetime});
  this->balance += granted;
  if (granted == 0 && requested > 0) {
    this->exhausted_until = now + kExhaustedBackoff;
  }
}

bool LocalTokenPool::TakeFallback(const AccountRate& rate,
                                  std::size_t daemon_count, Instant now) {
  const auto divisor =
      static_cast<double>(std::max<std::size_t>(1, daemon_count));
  const AccountRate scaled_rate{.per_second = rate.per_second / divisor,
                                .burst = rate.burst / divisor};
  if (!this->fallback) {
    this->fallback.emplace(scaled_rate, now);
  }
  return this->fallback->Take(1, scaled_rate, now) == 1;
}

int LocalTokenPool::PrefetchAmount() const {
  const int wanted =
      static_cast<int>(this->demand_per_second * kPrefetchSeconds);
  return std::max(0, wanted - this->balance);
}

}  // namespace lycheewell::core::rate
