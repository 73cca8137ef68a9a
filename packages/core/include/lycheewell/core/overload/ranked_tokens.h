// A token bucket from which important requests may take more than others.
#ifndef LYCHEEWELL_CORE_OVERLOAD_RANKED_TOKENS_H_
#define LYCHEEWELL_CORE_OVERLOAD_RANKED_TOKENS_H_

#include <map>

#include "lycheewell/core/types.h"

namespace lycheewell::core::overload {

// The more important requests may use the whole burst, the less important ones
// leave a part of it. A rank that is passed over again and again gets every
// kHighestRankInterval-th token.
class RankedTokens {
 public:
  struct Rate {
    double per_second = 0;
    double burst = 0;

    bool operator==(const Rate&) const = default;
  };

  // Commands.

  // Begins anew with `tokens` and forgets the ranks.
  void Start(const Rate& rate, double tokens, Instant now);

  // Tokens accrue at the new rate from now on.
  void SetRate(const Rate& rate, Instant now);

  // Takes a token for a request of `rank`, or refuses it. Lower ranks are more
  // important.
  bool Take(int rank, Instant now);

  // The request of a taken token was not sent.
  void Return();

 private:
  struct RankState {
    Instant seen_at;
    // Requests of other ranks that got a token since this one was refused.
    int passed_over = 0;
  };

  void Refill(Instant now);
  // Tokens that a request of `rank` must find.
  double Needed(int rank, Instant now);

  Rate rate;
  double tokens = 0;
  Instant refilled_at;
  std::map<int, RankState> ranks;  // of the last seconds
};

}  // namespace lycheewell::core::overload

#endif  // LYCHEEWELL_CORE_OVERLOAD_RANKED_TOKENS_H_
