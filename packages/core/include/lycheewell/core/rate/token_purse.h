// Tokens borrowed from the holders of an account's shares.
#ifndef LYCHEEWELL_CORE_RATE_TOKEN_PURSE_H_
#define LYCHEEWELL_CORE_RATE_TOKEN_PURSE_H_

#include <map>
#include <string>
#include <vector>

#include "lycheewell/core/rate/token_bucket.h"
#include "lycheewell/core/types.h"

namespace lycheewell::core::rate {

// Tells a lender how much of a loan was spent and how much is given back.
struct LoanSettlement {
  std::string account;
  DaemonRef lender;
  std::uint64_t loan_id = 0;
  MicroTokens spent = 0;
  MicroTokens returned = 0;

  bool operator==(const LoanSettlement&) const = default;
};

class TokenPurse {
 public:
  // Commands.

  // A loan request was sent at `sent_at`; only its answer will be accepted.
  void ExpectLoan(std::uint64_t loan_id, const DaemonRef& lender,
                  Instant sent_at);

  // The lender's answer. Unexpected, repeated and late answers are dropped.
  void AddLoan(std::uint64_t loan_id, MicroTokens amount, Instant now);

  // Spends `amount` from unexpired loans, or nothing when they hold less.
  bool Spend(MicroTokens amount, Instant now);

  // Settlements since the last call. Loans near their end are given back.
  std::vector<LoanSettlement> TakeSettlements(const std::string& account,
                                              Instant now);

  // Queries.

  MicroTokens Available(Instant now) const;

  // Whether a request to `lender` sent after `since` is unanswered.
  bool IsWaitingFor(const DaemonRef& lender, Instant since) const;

 private:
  struct Loan {
    DaemonRef lender;
    Instant expires_at;
    MicroTokens amount = 0;
    MicroTokens spent = 0;
    bool answered = false;
    bool settlement_due = false;

    MicroTokens rest() const { return this->amount - this->spent; }
  };

  std::map<std::uint64_t, Loan> loans;
};

}  // namespace lycheewell::core::rate

#endif  // LYCHEEWELL_CORE_RATE_TOKEN_PURSE_H_
