// Fleet-wide rate limiting of client accounts. One daemon, the account's owner,
// holds the account's bucket and grants tokens from it to the other daemons.
#ifndef LYCHEEWELL_CORE_RATE_FLEET_TOKENS_H_
#define LYCHEEWELL_CORE_RATE_FLEET_TOKENS_H_

#include <deque>
#include <map>
#include <optional>
#include <string>

#include "lycheewell/core/types.h"

namespace lycheewell::core::rate {

struct AccountRate {
  double per_second = 0;
  double burst = 0;

  bool operator==(const AccountRate&) const = default;
};

// Token bucket for one daemon's fraction of an account's rate, used while the
// owner does not answer. It starts nearly empty: another daemon, or this one
// before a restart, may have just granted the burst.
class FallbackBucket {
 public:
  FallbackBucket(const AccountRate& rate, Instant now);

  // Commands.

  // Takes up to `amount` whole tokens under `rate`; returns how many.
  int Take(int amount, const AccountRate& rate, Instant now);

 private:
  double level = 0;
  Instant refilled_at;
};

// Limits an account to rate * window + burst tokens in every sliding window,
// the bound that operators measure. Under steady demand above the rate, a plain
// token bucket grants the burst only once; this bucket grants it in each
// window.
class SlidingWindowBucket {
 public:
  // Starts as if the whole rate had been granted in the preceding window, and
  // nearly empty: another daemon may have just granted the rate and the burst.
  SlidingWindowBucket(const AccountRate& rate, Duration window, Instant now);

  // Commands.

  // Takes up to `amount` whole tokens under `rate`; returns how many.
  int Take(int amount, const AccountRate& rate, Instant now);

 private:
  // Tokens granted in one slice of the window.
  struct Slice {
    Instant begins_at;
    double granted = 0;
  };

  // Scales past grants in proportion to the rates, and the level too when the
  // rate decreases.
  void ChangeRate(const AccountRate& new_rate);
  double GrantedInWindow(Instant now);

  AccountRate rate;
  Duration window;
  double level = 0;
  Instant refilled_at;
  Instant created_at;
  std::deque<Slice> slices;
};

// Buckets of the accounts that this daemon owns.
class AccountBuckets {
 public:
  explicit AccountBuckets(Duration new_window) : window(new_window) {}

  // Grants up to `amount` tokens. `reachable_fraction` is the fraction of the
  // daemons that are reachable; the rest of the rate is left to the unreachable
  // daemons, which meanwhile take from their fallback buckets.
  int Grant(const std::string& account, int amount, const AccountRate& rate,
            double reachable_fraction, Instant now);

  // Forgets what was granted: another daemon may have been the owner meanwhile.
  void Clear() { this->buckets.clear(); }

 private:
  Duration window;
  std::map<std::string, SlidingWindowBucket> buckets;
};

// Tokens of one account that a daemon has received from the account's owner and
// not yet spent.
class LocalTokenPool {
 public:
  static constexpr Duration kGrantLifetime = std::chrono::milliseconds(500);

  explicit LocalTokenPool(Instant now);

  // Commands.

  // Counts a request as demand and takes a token for it. Returns false if none
  // is available.
  bool Take(Instant now);

  // Returns the token of a request that did not run.
  void Return(Instant now);

  // Adds the `granted` tokens with which the owner answered a request for
  // `requested` tokens that was sent at `requested_at`. They can be spent for
  // kGrantLifetime from then on, so that they count in the window for which the
  // owner granted them.
  void AddGrant(int granted, int requested, Instant requested_at, Instant now);

  // Takes a token from the fallback bucket, which has one `daemon_count`th of
  // the rate and the burst. For use when the owner does not answer.
  bool TakeFallback(const AccountRate& rate, std::size_t daemon_count,
                    Instant now);

  // Queries.

  // Number of tokens to request in addition to those for waiting requests.
  int PrefetchAmount() const;

  // Whether the owner recently granted nothing. Requests are then refused
  // without asking it.
  bool IsExhausted(Instant now) const { return now < this->exhausted_until; }

 private:
  // Tokens of one answer of the owner.
  struct Granted {
    int tokens = 0;
    Instant expires_at;
  };

  std::deque<Granted> grants;  // oldest first
  int balance = 0;             // tokens of all grants
  int returned = 0;
  Instant returned_since;
  double demand_per_second = 0;
  Instant period_started_at;
  int period_requests = 0;
  Instant exhausted_until;
  std::optional<FallbackBucket> fallback;
};

}  // namespace lycheewell::core::rate

#endif  // LYCHEEWELL_CORE_RATE_FLEET_TOKENS_H_
