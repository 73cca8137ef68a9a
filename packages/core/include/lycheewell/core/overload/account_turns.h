// Divides the admitted requests of a route among client accounts.
#ifndef LYCHEEWELL_CORE_OVERLOAD_ACCOUNT_TURNS_H_
#define LYCHEEWELL_CORE_OVERLOAD_ACCOUNT_TURNS_H_

#include <cstddef>
#include <map>
#include <string>

#include "lycheewell/core/types.h"

namespace lycheewell::core::overload {

// A request of `account` at a route that admits a fraction of its requests.
struct AccountOffer {
  std::string account;
  // The account's rate per second. 0, no rate, weighs as much as the highest.
  double weight = 0;
  double admitted_fraction = 1;
  // Whether the admitted fraction alone would admit this request.
  bool is_granted = true;
  // A granted request that is admitted whatever its account has had.
  bool goes_first = false;

  bool operator==(const AccountOffer&) const = default;
};

enum class AccountVerdict {
  kAdmit,
  // The account has had its part, and nobody has left room.
  kOverPart,
  // There is less room than the parts of the accounts add up to at present.
  kWithinPart,
};

// Max-min fairness, weighted by the accounts' rates: each account gets what it
// asks for up to its part, and what the others leave is divided again. A route
// admits as many requests as it is granted, but not always the same ones, so
// that an account that sends many times its usual, or whose clients repeat at
// once, takes room from no other account. Accounts that do not send hold no
// room.
class AccountTurns {
 public:
  // Commands.

  // Decides on a request that arrives now.
  AccountVerdict Offer(const AccountOffer& offer, Instant now,
                       const RandomSource& random);

  // Queries.

  std::size_t account_count() const { return this->accounts.size(); }

  // Fraction of the account's recent requests that its part covers.
  double PartOf(const std::string& account) const;

 private:
  // Number of recent events: each counts with a weight that decays with its
  // age.
  struct RecentCount {
    double count = 0;
    Instant decayed_at{};

    double Decay(Instant now);
  };
  struct Account {
    double weight = 0;
    RecentCount offered;
    // Grows by the account's part with each request; admitting one takes 1.
    double credit = 0;
  };

  static double PartOf(const Account& account, double level);
  void UpdateLevel(Instant now);

  std::map<std::string, Account> accounts;
  // Recent requests per weight up to which accounts are served in full.
  double level = 0;
  Instant level_updated_at;
  RecentCount granted;
  double max_weight = 1;
  // Granted requests less admitted ones.
  double budget = 0;
};

}  // namespace lycheewell::core::overload

#endif  // LYCHEEWELL_CORE_OVERLOAD_ACCOUNT_TURNS_H_
