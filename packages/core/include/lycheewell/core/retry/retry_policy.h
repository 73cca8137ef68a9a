// Bounds on repeated attempts: a credit for each request over its whole call
// tree, and a budget for each service.
#ifndef LYCHEEWELL_CORE_RETRY_RETRY_POLICY_H_
#define LYCHEEWELL_CORE_RETRY_RETRY_POLICY_H_

#include "lycheewell/core/types.h"

namespace lycheewell::core::retry {

// Extra attempts that a caller's request may cause in its whole call tree.
inline constexpr int kInitialCredit = 3;

// Credit of one request at one daemon. What is lent to a call is gone until the
// call's answer brings back what it did not use.
class RetryCredit {
 public:
  explicit RetryCredit(int initial) : rest(initial) {}

  // Commands.

  // Takes one credit for an extra attempt; false when there is none.
  bool Spend();

  // Lends half of the credit, rounded up, to a call; returns what was lent.
  int LendToCall();

  // A call that was lent `lent` brings back `unused` of it.
  void TakeBack(int lent, int unused);

  // Queries.

  int left() const { return this->rest; }

 private:
  int rest;
};

// Extra attempts as a fraction of a service's successes.
class RetryBudget {
 public:
  // Commands.

  void RecordSuccess();

  // Takes room for one extra attempt; false when there is none.
  bool Spend();

  // Queries.

  double left() const { return this->rest; }

 private:
  double rest = 1;
};

// Wait before extra attempt number `attempt` (1 is the first): doubles each
// time, with full jitter from `random`.
Duration BackoffBefore(int attempt, std::uint64_t random);

}  // namespace lycheewell::core::retry

#endif  // LYCHEEWELL_CORE_RETRY_RETRY_POLICY_H_
