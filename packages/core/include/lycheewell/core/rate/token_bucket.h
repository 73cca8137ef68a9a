// Token bucket of a daemon's shares that reserves capacity for the tokens lent
// to other daemons.
#ifndef LYCHEEWELL_CORE_RATE_TOKEN_BUCKET_H_
#define LYCHEEWELL_CORE_RATE_TOKEN_BUCKET_H_

#include <cstdint>
#include <map>

#include "lycheewell/core/types.h"

namespace lycheewell::core::rate {

// Millionths of a token, as integers so that sums are exact.
using MicroTokens = std::int64_t;

inline constexpr MicroTokens kOneToken = 1'000'000;

// A borrower may spend a loan for this long after sending the loan request.
inline constexpr Duration kLoanLifetime = std::chrono::milliseconds(500);

// Largest deviation of a monotonic clock from true time, as a fraction.
inline constexpr double kMaxClockDrift = 0.001;

// Invariant: level + lent <= capacity. In any time t, this daemon and its
// borrowers together spend at most capacity + rate * t tokens.
class TokenBucket {
 public:
  struct Options {
    double rate_per_second = 0;
    MicroTokens capacity = 0;
    MicroTokens level = 0;
  };

  TokenBucket(const Options& options, Instant now);

  // Commands.

  // Takes up to `amount` and returns the amount taken. Takes nothing and
  // returns 0 if less than `minimum` is available.
  MicroTokens Take(MicroTokens amount, MicroTokens minimum, Instant now);

  // Lends up to `amount` to another daemon, leaves at least `reserve`, and
  // returns the amount lent. The capacity stays reserved until SettleLoan or
  // until the loan has expired on the borrower's clock. Lends nothing for a
  // loan id that is already known.
  MicroTokens Lend(std::uint64_t loan_id, MicroTokens amount,
                   MicroTokens reserve, Instant now);

  // Applies a settlement: the borrower has spent `spent` of the loan and
  // returns `returned`. Both are totals since the loan's start, which makes
  // repeated messages idempotent.
  void SettleLoan(std::uint64_t loan_id, MicroTokens spent,
                  MicroTokens returned, Instant now);

  // Takes over `level` tokens and `lent` tokens on loan from a share's previous
  // holder. The loans reserve capacity for the lifetime of a loan.
  void TakeOver(MicroTokens level, MicroTokens lent, Instant now);

  // Changes rate and capacity, and lowers the level to what is left of the new
  // capacity after loans.
  void Resize(double rate_per_second, MicroTokens capacity, Instant now);

  // Fills the bucket. Only for shares that no daemon has used yet.
  void Fill() { this->current_level = this->max_level; }

  // Adds the tokens that accrued since the last call and drops expired loans.
  void Refill(Instant now);

  // Queries.

  MicroTokens level() const { return this->current_level; }
  MicroTokens lent() const { return this->total_lent; }
  MicroTokens capacity() const { return this->max_level; }

 private:
  struct Loan {
    MicroTokens lent = 0;
    MicroTokens spent = 0;
    MicroTokens returned = 0;
    Instant reserved_until;
  };

  void ExpireLoans(Instant now);

  double rate_per_second;
  MicroTokens max_level;
  MicroTokens current_level;
  MicroTokens total_lent = 0;
  Instant refilled_at;
  std::map<std::uint64_t, Loan> loans;
};

}  // namespace lycheewell::core::rate

#endif  // LYCHEEWELL_CORE_RATE_TOKEN_BUCKET_H_
