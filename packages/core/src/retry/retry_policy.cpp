#include "lycheewell/core/retry/retry_policy.h"

#include <algorithm>

namespace lycheewell::core::retry {
namespace {

// Retries that a successful request adds to the budget, and the most retries
// that the budget holds.
constexpr double kBudgetPerSuccess = 0.1;
constexpr double kMaxBudget = 10;
// Upper bounds of the backoff before the first retry and before any retry.
constexpr Duration kInitialBackoff = std::chrono::milliseconds(2);
constexpr Duration kMaxBackoff = std::chrono::milliseconds(100);
// Keeps the shift in BackoffBefore in range; kMaxBackoff is reached earlier.
constexpr int kMaxDoublings = 10;

}  // namespace

bool RetryCredit::Spend() {
  if (this->credit <= 0) {
    return false;
  }
  --this->credit;
  return true;
}

int RetryCredit::LendToCall() {
  const int lent = (this->credit + 1) / 2;
  this->credit -= lent;
  return lent;
}

void RetryCredit::TakeBack(int lent, int unused) {
  this->credit += std::clamp(unused, 0, lent);
}

void RetryBudget::RecordSuccess() {
  this->budget = std::min(kMaxBudget, this->budget + kBudgetPerSuccess);
}

bool RetryBudget::Spend() {
  if (this->budget < 1) {
    return false;
  }
  this->budget -= 1;
  return true;
}

Duration BackoffBefore(int attempt, std::uint64_t random) {
  const int doublings = std::clamp(attempt - 1, 0, kMaxDoublings);
  const Duration max_backoff =
      std::min(kMaxBackoff, kInitialBackoff * (1 << doublings));
  return Duration(static_cast<Duration::rep>(
      random % static_cast<std::uint64_t>(max_backoff.count() + 1)));
}

}  // namespace lycheewell::core::retry
