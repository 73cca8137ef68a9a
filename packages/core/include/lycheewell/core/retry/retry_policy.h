// Bounds on retries: a retry credit per request over its whole call tree and a
// retry budget per service.
#ifndef LYCHEEWELL_CORE_RETRY_RETRY_POLICY_H_
#define LYCHEEWELL_CORE_RETRY_RETRY_POLICY_H_

#include "lycheewell/core/types.h"

namespace lycheewell::core::retry {

// Retries that a caller's request may cause in its whole call tree.
inline constexpr int kInitialCredit = 3;

// Retry credit of one request at one daemon. Credit lent to a call is
// unavailable until the call is answered and returns the unused part.
class RetryCredit {
 public:
  explicit RetryCredit(int initial) : credit(initial) {}

  // Commands.

  // Takes one credit for a retry; false when there is none.
  bool Spend();

  // Lends half of the remaining credit, rounded up, to a call; returns the
  // amount lent.
  int LendToCall();

  // Adds back the `unused` part of the credit that was lent to a call. At most
  // `lent` is added.
  void TakeBack(int lent, int unused);

  // Queries.

  int remaining() const { return this->credit; }

 private:
  int credit;
};

// Bounds retries to a fraction of a service's successful requests.
class RetryBudget {
 public:
  // Commands.

  void RecordSuccess();

  // Takes one retry from the budget; false when less than one remains.
  bool Spend();

  // Queries.

  double remaining() const { return this->budget; }

 private:
  double budget = 1;
};

// Exponential backoff with full jitter before retry number `attempt`, where 1
// is the first retry. `random` is uniform over [0, 2^64).
Duration BackoffBefore(int attempt, std::uint64_t random);

}  // namespace lycheewell::core::retry

#endif  // LYCHEEWELL_CORE_RETRY_RETRY_POLICY_H_
