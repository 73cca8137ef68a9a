// An account's rate, kept by one daemon for the whole fleet and handed to the
// others in small grants.
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

// Bucket that starts nearly empty: another daemon, or this one before its
// restart, may have handed out the burst just before.
class PlainBucket {
 public:
  PlainBucket(const AccountRate& rate, Instant now);

  // Commands.

  // Takes up to `amount` whole tokens under `rate`; returns how many.
  int Take(int amount, const AccountRate& rate, Instant now);

 private:
  double level = 0;
  Instant filled_at;
};

// Holds an account to rate * window + burst in every window, which is how the
// operators measure. A bucket alone would give a steady demand the rate only:
// the burst would be lost once it is used up.
class WindowBucket {
 public:
  // Another daemon may have handed out the rate and the burst just before.
  WindowBucket(const AccountRate& rate, Duration window, Instant now);

  // Commands.

  // Takes up to `amount` whole tokens under `rate`; returns how many.
  int Take(int amount, const AccountRate& rate, Instant now);

 private:
  // Tokens granted in one slice of the window.
  struct Slice {
    Instant begins_at;
    double granted = 0;
  };

  // What was granted and saved under another rate counts in proportion.
  void ChangeRate(const AccountRate& new_rate);
  double GrantedInWindow(Instant now);

  AccountRate rate;
  Duration window;
  double level = 0;
  Instant filled_at;
  Instant created_at;
  std::deque<Slice> slices;
};

// The buckets of the accounts that this daemon keeps.
class TokenKeeper {
 public:
  explicit TokenKeeper(Duration new_window) : window(new_window) {}

  // Grants up to `amount` tokens. `fleet_part` is the part of the rate that is
  // not left to daemons out of reach, which serve their own parts meanwhile.
  int Grant(const std::string& account, int amount, const AccountRate& rate,
            double fleet_part, Instant now);

 private:
  Duration window;
  std::map<std::string, WindowBucket> buckets;
};

// Tokens of one account at a daemon that serves its requests.
class TokenHolder {
 public:
  explicit TokenHolder(Instant now);

  // Commands.

  // Counts a request and takes a token for it; false when none is at hand.
  bool Take(Instant now);

  // A request that had taken a token has not run.
  void Return(Instant now);

  // The keeper granted `granted` of the tokens asked for.
  void Receive(int granted, int asked, Instant now);

  // Takes a token, though Receive gave none, of the part that this daemon may
  // spend on its own.
  bool TakeOwnPart(const AccountRate& rate, std::size_t daemons, Instant now);

  // Queries.

  // Tokens to ask for beyond what requests wait for.
  int Prefetch() const;

  // The keeper had none a moment ago: requests are refused without asking.
  bool IsExhausted(Instant now) const { return now < this->exhausted_until; }

 private:
  int balance = 0;
  int returned = 0;
  Instant returned_since;
  double demand_per_second = 0;
  Instant measured_at;
  int measured = 0;
  Instant exhausted_until;
  std::optional<PlainBucket> own;
};

}  // namespace lycheewell::core::rate

#endif  // LYCHEEWELL_CORE_RATE_FLEET_TOKENS_H_
