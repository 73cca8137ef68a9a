#include "lycheewell/core/rate/token_bucket.h"

#include <algorithm>
#include <cmath>

namespace lycheewell::core::rate {
namespace {

constexpr double kNanosecondsPerSecond = 1e9;

// Lowers the rate so that a bucket does not exceed it when its clock runs fast.
constexpr double kSafeRateFraction = 1.0 - kMaxClockDrift;

// Time for which the lender reserves the capacity of a loan. It covers a loan's
// lifetime on the borrower's clock when both clocks drift by the maximum.
Duration ReservationTime() {
  return std::chrono::duration_cast<Duration>(kLoanLifetime *
                                              (1.0 + 2 * kMaxClockDrift));
}

}  // namespace

TokenBucket::TokenBucket(const Options& options, Instant now)
    : rate_per_second(options.rate_per_second * kSafeRateFraction),
      max_level(options.capacity),
      current_level(std::min(options.level, options.capacity)),
      refilled_at(now) {}

MicroTokens TokenBucket::Take(MicroTokens amount, MicroTokens minimum,
                              Instant now) {
  this->Refill(now);
  const MicroTokens taken = std::min(amount, this->current_level);
  if (taken < minimum || taken <= 0) {
    return 0;
  }
  this->current_level -= taken;
  return taken;
}

MicroTokens TokenBucket::Lend(std::uint64_t loan_id, MicroTokens amount,
                              MicroTokens reserve, Instant now) {
  this->Refill(now);
  if (this->loans.contains(loan_id)) {
    return 0;
  }
  const MicroTokens available = this->current_level - reserve;
  const MicroTokens taken = std::min(amount, available);
  if (taken <= 0) {
    return 0;
  }
  this->current_level -= taken;
  this->loans[loan_id] = {.lent = taken,
                          .reserved_until = now + ReservationTime()};
  this->total_lent += taken;
  return taken;
}

void TokenBucket::SettleLoan(std::uint64_t loan_id, MicroTokens spent,
                             MicroTokens returned, Instant now) {
  this->Refill(now);
  const auto found = this->loans.find(loan_id);
  if (found == this->loans.end()) {
    return;
  }
  Loan& loan = found->second;
  if (spent < 0 || returned < 0 || spent + returned > loan.lent) {
    return;
  }
  const MicroTokens newly_spent = std::max<MicroTokens>(0, spent - loan.spent);
  const MicroTokens newly_returned =
      std::max<MicroTokens>(0, returned - loan.returned);
  loan.spent += newly_spent;
  loan.returned += newly_returned;
  this->total_lent -= newly_spent + newly_returned;
  const MicroTokens free_capacity = std::max<MicroTokens>(
      0, this->max_level - this->total_lent - this->current_level);
  this->current_level += std::min(newly_returned, free_capacity);
  if (loan.spent + loan.returned >= loan.lent) {
    this->loans.erase(found);
  }
}

void TokenBucket::TakeOver(MicroTokens level, MicroTokens lent, Instant now) {
  this->Refill(now);
  if (lent > 0) {
    // No borrower settles this loan, so its id must not be one of theirs. Small
    // ids are safe because borrowers draw theirs at random from 64 bits.
    const std::uint64_t loan_id = this->loans.size();
    this->loans[loan_id] = {.lent = lent,
                            .reserved_until = now + ReservationTime()};
    this->total_lent += lent;
  }
  const MicroTokens free_capacity = std::max<MicroTokens>(
      0, this->max_level - this->total_lent - this->current_level);
  this->current_level += std::min(level, free_capacity);
}

void TokenBucket::Resize(double new_rate_per_second, MicroTokens new_capacity,
                         Instant now) {
  this->Refill(now);
  this->rate_per_second = new_rate_per_second * kSafeRateFraction;
  this->max_level = new_capacity;
  const MicroTokens unlent_capacity =
      std::max<MicroTokens>(0, new_capacity - this->total_lent);
  this->current_level = std::min(this->current_level, unlent_capacity);
}

void TokenBucket::Refill(Instant now) {
  if (now <= this->refilled_at) {
    return;
  }
  const double seconds =
      static_cast<double>((now - this->refilled_at).count()) /
      kNanosecondsPerSecond;
  const double refill = std::floor(seconds * this->rate_per_second *
                                   static_cast<double>(kOneToken));
  const MicroTokens free_capacity = std::max<MicroTokens>(
      0, this->max_level - this->total_lent - this->current_level);
  if (refill >= static_cast<double>(free_capacity)) {
    this->current_level += free_capacity;
    this->refilled_at = now;
  } else if (refill >= 1) {
    this->current_level += static_cast<MicroTokens>(refill);
    // Advances only by the time that `refill` takes, so that fractions of a
    // micro token are not lost.
    const double refill_ns =
        refill * kNanosecondsPerSecond /
        (this->rate_per_second * static_cast<double>(kOneToken));
    this->refilled_at +=
        Duration(static_cast<Duration::rep>(std::ceil(refill_ns)));
  }
  this->ExpireLoans(now);
}

void TokenBucket::ExpireLoans(Instant now) {
  for (auto loan = this->loans.begin(); loan != this->loans.end();) {
    if (loan->second.reserved_until > now) {
      ++loan;
      continue;
    }
    const Loan& expired = loan->second;
    this->total_lent -= expired.lent - expired.spent - expired.returned;
    loan = this->loans.erase(loan);
  }
}

}  // namespace lycheewell::core::rate
