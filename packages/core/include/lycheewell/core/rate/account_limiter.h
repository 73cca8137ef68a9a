// Rate and burst of one client account at one daemon: its own shares, tokens
// borrowed from other holders, and what to ask them for.
#ifndef LYCHEEWELL_CORE_RATE_ACCOUNT_LIMITER_H_
#define LYCHEEWELL_CORE_RATE_ACCOUNT_LIMITER_H_

#include <optional>
#include <set>
#include <string>
#include <vector>

#include "lycheewell/core/configuration/record.h"
#include "lycheewell/core/rate/share_lease.h"
#include "lycheewell/core/rate/token_bucket.h"
#include "lycheewell/core/rate/token_purse.h"

namespace lycheewell::core::rate {

// Asks `lender` for tokens of `account`.
struct LoanRequest {
  std::string account;
  DaemonRef lender;
  std::uint64_t loan_id = 0;
  MicroTokens amount = 0;
  // A request waits for the tokens; otherwise they are for requests to come,
  // and the lender keeps half of its capacity.
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

  // Takes over the account's limits and roster from the configuration.
  void Configure(const configuration::Account& account,
                 const configuration::ShareRoster& roster, Instant now);

  // Stops the use of one more share and returns its release record, to be
  // appended. Empty when this daemon uses none.
  std::optional<configuration::ShareReleased> ReleaseShare(Instant now);

  // Takes one token from the own share or the purse. False: none at hand.
  bool TryAdmit(const HeartbeatTable& heartbeats, Instant now);

  // Loan requests to send now. `waiting` requests have no token yet.
  std::vector<LoanRequest> RequestLoans(std::size_t waiting, Instant now);

  // Answers another daemon's request from the own shares.
  MicroTokens Lend(const LoanRequest& request, const HeartbeatTable& heartbeats,
                   Instant now);

  void AddLoan(std::uint64_t loan_id, MicroTokens amount, Instant now);
  void SettleLoan(const LoanSettlement& settlement, Instant now);
  std::vector<LoanSettlement> TakeSettlements(Instant now);

  // Queries.

  const configuration::ShareRoster& roster() const { return this->shares; }

  // Whether a loan request sent within the last round trip is unanswered.
  bool IsGathering(Instant now) const;

  // Time until the whole fleet gains one token, for Retry-After.
  Duration TimePerToken() const;

  MicroTokens AtHand(Instant now) const;

 private:
  void ResizeBucket(Instant now);
  void StartNewShares(Instant now);
  void CountDemand(Instant now);

  Options options;
  configuration::Account limits;
  configuration::ShareRoster shares;
  std::set<std::size_t> stopped_shares;  // by index in the roster
  // Shares whose last holder may have loans out; in use from
  // `new_shares_start_at`.
  std::size_t new_shares = 0;
  Instant new_shares_start_at;
  TokenBucket bucket;
  TokenPurse purse;
  double demand_per_second = 0;
  Instant demand_updated_at;
};

}  // namespace lycheewell::core::rate

#endif  // LYCHEEWELL_CORE_RATE_ACCOUNT_LIMITER_H_
