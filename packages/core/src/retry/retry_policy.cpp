#include "lycheewell/core/retry/retry_policy.h"

#include <algorithm>

namespace lycheewell::core::retry {
namespace {

constexpr double kBudgetPerSuccess = 0.1;
constexpr double kLargestBudget = 10;
constexpr Duration kFirstBackoff = std::chrono::milliseconds(2);
constexpr Duration kLongestBackoff = std::chrono::milliseconds(100);
constexpr int kLargestDoubling = 10;

}  // namespace

bool RetryCredit::Spend() {
  if (this->rest <= 0) {
    return false;
  }
  --this->rest;
  return true;
}

int RetryCredit::LendToCall() {
  const int lent = (this->rest + 1) / 2;
  this->rest -= lent;
  return lent;
}

void RetryCredit::TakeBack(int lent, int unused) {
  this->rest += std::clamp(unused, 0, lent);
}

void RetryBudget::RecordSuccess() {
  this->rest = std::min(kLargestBudget, this->rest + kBudgetPerSuccess);
}

bool RetryBudget::Spend() {
  if (this->rest < 1) {
    return false;
  }
  this->rest -= 1;
  return true;
}

Duration BackoffBefore(int attempt, std::uint64_t random) {
  const int doubling = std::clamp(attempt - 1, 0, kLargestDoubling);
  const Duration longest =
      std::min(kLongestBackoff, kFirstBackoff * (1 << doubling));
  return Duration(static_cast<Duration::rep>(
      random % static_cast<std::uint64_t>(longest.count() + 1)));
}

}  // namespace lycheewell::core::retry
