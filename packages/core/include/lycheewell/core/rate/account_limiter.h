// Rate limiter of one client account at one daemon. It spends tokens of the
// daemon's own shares and tokens borrowed from the other share holders.
#ifndef LYCHEEWELL_CORE_RATE_ACCOUNT_LIMITER_H_
#define LYCHEEWELL_CORE_RATE_ACCOUNT_LIMITER_H_

#include <optional>
#include <set>
#include <string>
#include <vector>

#include "lycheewell/core/configuration/record.h"
#include "lycheewell/core/rate/borrowed_tokens.h"
#include "lycheewell/core/rate/share_lease.h"
#include "lycheewell/core/rate/token_bucket.h"

namespace lycheewell::core::rate {

// A request to borrow tokens of `account` from `lender`.
struct LoanRequest {
  std::string account;
  DaemonRef lender;
  std::uint64_t loan_id = 0;
  MicroTokens amount = 0;
  // Whether a request is waiting for the tokens. If not, they are prefetched,
  // and the lender keeps at least half of its capacity.
  bool urgent = false;

  bool operator==(const LoanRequest&) const = default;
};

class AccountLimiter {
 public:
  struct Options {
    std::string account;
    DaemonRef self;
    RandomSource random;
  };

  AccountLimiter(Options options, Instant now);

  // Commands.

  // Applies the account's limits and roster from the configuration.
  void Configure(const configuration::Account& account,
                 const configuration::ShareRoster& roster, Instant now);

  // Stops using one share and returns its release record, which the caller
  // appends to the log. Empty if this daemon uses no share.
  std::optional<configuration::ShareReleased> ReleaseShare(Instant now);

  // Takes one token from the own shares or else from the borrowed tokens.
  // Returns false if none is available.
  bool TryAdmit(const HeartbeatTable& heartbeats, Instant now);

  // Returns the loan requests to send now. `waiting` is the number of requests
  // that wait for a token.
  std::vector<LoanRequest> RequestLoans(std::size_t waiting, Instant now);

  // Lends tokens of the own shares to another daemon; returns the amount lent.
  MicroTokens Lend(const LoanRequest& request, const HeartbeatTable& heartbeats,
                   Instant now);

  void AddLoan(std::uint64_t loan_id, MicroTokens amount, Instant now);
  void SettleLoan(const LoanSettlement& settlement, Instant now);
  std::vector<LoanSettlement> TakeSettlements(Instant now);

  // Queries.

  const configuration::ShareRoster& roster() const {
    return this->share_roster;
  }

  // Whether a loan request that has not timed out is unanswered.
  bool HasPendingLoanRequest(Instant now) const;

  // Time in which the account's rate yields one token, for Retry-After.
  Duration TimePerToken() const;

  MicroTokens Available(Instant now) const;

 private:
  void ResizeBucket(Instant now);
  void ActivatePendingShares(Instant now);
  void UpdateDemand(Instant now);

  Options options;
  configuration::Account limits;
  configuration::ShareRoster share_roster;
  std::set<std::size_t> stopped_shares;  // by index in the roster
  // Number of shares whose previous holder may have outstanding loans. They are
  // not used before `pending_shares_usable_at`.
  std::size_t pending_shares = 0;
  Instant pending_shares_usable_at;
  TokenBucket bucket;
  BorrowedTokens borrowed;
  double demand_per_second = 0;
  Instant demand_updated_at;
};

}  // namespace lycheewell::core::rate

#endif  // LYCHEEWELL_CORE_RATE_ACCOUNT_LIMITER_H_
