// Tokens borrowed from the holders of an account's shares.
#ifndef LYCHEEWELL_CORE_RATE_BORROWED_TOKENS_H_
#define LYCHEEWELL_CORE_RATE_BORROWED_TOKENS_H_

#include <map>
#include <string>
#include <vector>

#include "lycheewell/core/rate/token_bucket.h"
#include "lycheewell/core/types.h"

namespace lycheewell::core::rate {

// Reports to a lender how much of a loan was spent and how much is returned.
struct LoanSettlement {
  std::string account;
  DaemonRef lender;
  std::uint64_t loan_id = 0;
  MicroTokens spent = 0;
  MicroTokens returned = 0;

  bool operator==(const LoanSettlement&) const = default;
};

class BorrowedTokens {
 public:
  // Commands.

  // Registers a loan request that was sent at `sent_at`. AddLoan accepts only
  // answers to registered requests.
  void ExpectLoan(std::uint64_t loan_id, const DaemonRef& lender,
                  Instant sent_at);

  // Adds the loan that the lender granted. Ignores unexpected, repeated and
  // late answers.
  void AddLoan(std::uint64_t loan_id, MicroTokens amount, Instant now);

  // Spends `amount` of the unexpired loans. Spends nothing and returns false if
  // less is available.
  bool Spend(MicroTokens amount, Instant now);

  // Returns the settlements due since the last call. The unspent tokens of
  // loans that are about to expire are returned to their lenders.
  std::vector<LoanSettlement> TakeSettlements(const std::string& account,
                                              Instant now);

  // Queries.

  MicroTokens Available(Instant now) const;

  // Whether a request sent to `lender` at or after `since` is unanswered.
  bool HasPendingRequest(const DaemonRef& lender, Instant since) const;

 private:
  struct Loan {
    DaemonRef lender;
    Instant expires_at;
    MicroTokens amount = 0;
    MicroTokens spent = 0;
    bool answered = false;
    bool settlement_due = false;

    MicroTokens unspent() const { return this->amount - this->spent; }
  };

  std::map<std::uint64_t, Loan> loans;
};

}  // namespace lycheewell::core::rate

#endif  // LYCHEEWELL_CORE_RATE_BORROWED_TOKENS_H_
