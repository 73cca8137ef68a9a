#include "lycheewell/core/overload/ranked_tokens.h"

#include <algorithm>

#include "lycheewell/core/overload/slot_gate.h"

namespace lycheewell::core::overload {
namespace {

// A rank without a request for this long holds nothing back from others.
constexpr Duration kRankLifetime = std::chrono::seconds(2);

}  // namespace

void RankedTokens::Start(const Rate& new_rate, double new_tokens, Instant now) {
  this->rate = new_rate;
  this->tokens = new_tokens;
  this->refilled_at = now;
  this->ranks.clear();
}

void RankedTokens::SetRate(const Rate& new_rate, Instant now) {
  this->Refill(now);
  this->rate = new_rate;
}

void RankedTokens::Refill(Instant now) {
  const double elapsed = std::max(
      0.0, std::chrono::duration<double>(now - this->refilled_at).count());
  this->refilled_at = now;
  this->tokens = std::min(this->rate.burst,
                          this->tokens + elapsed * this->rate.per_second);
}

double RankedTokens::Needed(int rank, Instant now) {
  std::erase_if(this->ranks, [&](const auto& entry) {
    return now - entry.second.seen_at > kRankLifetime;
  });
  this->ranks[rank].seen_at = now;
  const int kept_for_passed_over = static_cast<int>(kHighestRankInterval) - 1;
  if (this->ranks[rank].passed_over >= kept_for_passed_over) {
    return 1;
  }
  const bool has_passed_over = std::any_of(
      this->ranks.begin(), this->ranks.end(), [&](const auto& entry) {
        return entry.second.passed_over >= kept_for_passed_over;
      });
  const auto more_important = static_cast<double>(
      std::distance(this->ranks.begin(), this->ranks.find(rank)));
  // Two requests that arrive together fit, whatever their ranks.
  const double spare = this->rate.burst - 2;
  const double reserve =
      spare * more_important / static_cast<double>(this->ranks.size());
  return 1 + std::max(reserve, has_passed_over ? std::min(1.0, spare) : 0.0);
}

bool RankedTokens::Take(int rank, Instant now) {
  this->Refill(now);
  if (this->tokens < this->Needed(rank, now)) {
    // Counting begins with the first refusal.
    int& passed_over = this->ranks[rank].passed_over;
    passed_over = std::max(1, passed_over);
    return false;
  }
  this->tokens -= 1;
  for (auto& [other, state] : this->ranks) {
    if (other == rank) {
      state.passed_over = 0;
    } else if (state.passed_over > 0 && other > rank) {
      ++state.passed_over;
    }
  }
  return true;
}

void RankedTokens::Return() {
  this->tokens = std::min(this->rate.burst, this->tokens + 1);
}

}  // namespace lycheewell::core::overload
