#include "lycheewell/core/overload/named_limit.h"

#include <algorithm>
#include <cmath>

#include "lycheewell/core/overload/slot_gate.h"

namespace lycheewell::core::overload {
namespace {

// Lowest rate at which requests are admitted, per second: each shows whether
// the limit still holds.
constexpr double kMinRate = 0.1;

// Requests that arrive together are admitted up to the limit of this time, and
// up to the minimum where that is less: requests do not come evenly.
constexpr double kBurstSeconds = 0.5;
constexpr double kMinBurst = 3;

// A rank without a request for this long holds nothing back from others.
constexpr Duration kRankLifetime = std::chrono::seconds(2);

// A relative change of the limit from which on peers should hear of it before
// their next load report.
constexpr double kNoticeableChange = 0.2;

// Minimum time between two changes that count as noticeable, but for the first
// limit that a target names: load reports carry each of them.
constexpr Duration kMinNoticeInterval = std::chrono::milliseconds(500);

// Refusals per second that are worth their cost: as many as admitted requests,
// and some more where the limit is low.
constexpr double kRefusalsPerAdmitted = 1.0;
constexpr double kFreeRefusalRate = 20;
constexpr double kMinBackoffSeconds = 0.5;
constexpr double kMaxBackoffSeconds = 300;
// The largest change of the backoff in a second.
constexpr double kMaxBackoffFactor = 4;

double Seconds(Duration duration) {
  return std::chrono::duration<double>(duration).count();
}

}  // namespace

double NamedLimit::Rate() const { return std::max(kMinRate, *this->limit); }

double NamedLimit::Burst() const {
  return std::max(kMinBurst, this->Rate() * kBurstSeconds);
}

void NamedLimit::Refill(Instant now) {
  const double elapsed = std::max(0.0, Seconds(now - this->refilled_at));
  this->refilled_at = now;
  this->tokens = std::min(this->Burst(), this->tokens + elapsed * this->Rate());
}

bool NamedLimit::Set(std::optional<double> per_second, Instant now) {
  if (this->limit) {
    this->Refill(now);
  } else {
    this->tokens = 1;
    this->refilled_at = now;
  }
  this->limit = per_second;
  if (!per_second) {
    this->ranks.clear();
    this->backoff_seconds = 0;
  }
  const bool is_first = per_second && !this->announced_at;
  const bool has_changed =
      per_second.has_value() != this->announced.has_value() ||
      (per_second && std::abs(*per_second - *this->announced) >
                         kNoticeableChange * *this->announced);
  const bool is_noticeable =
      is_first ||
      (has_changed && now - *this->announced_at >= kMinNoticeInterval);
  if (is_noticeable) {
    this->announced = per_second;
    this->announced_at = now;
  }
  return is_noticeable;
}

bool NamedLimit::OnAnswer(std::optional<double> per_second, Instant sent_at,
                          Instant now) {
  this->has_answered = true;
  const bool lowers =
      per_second && (!this->limit || *per_second <= *this->limit);
  const bool is_later = this->limit && sent_at >= this->named_at;
  if (!lowers && !is_later) {
    return false;
  }
  this->named_at = now;
  return this->Set(per_second, now);
}

bool NamedLimit::Recall(double per_second, Instant now) {
  if (this->has_answered || (this->limit && *this->limit <= per_second)) {
    return false;
  }
  this->named_at = now;
  return this->Set(per_second, now);
}

double NamedLimit::Needed(int rank, Instant now) {
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
  const double spare = this->Burst() - 2;
  const double reserve =
      spare * more_important / static_cast<double>(this->ranks.size());
  return 1 + std::max(reserve, has_passed_over ? std::min(1.0, spare) : 0.0);
}

bool NamedLimit::Admit(int rank, Instant now) {
  if (!this->limit) {
    return true;
  }
  this->Refill(now);
  if (this->tokens < this->Needed(rank, now)) {
    this->CountRefusal(now);
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

void NamedLimit::Return() {
  if (this->limit) {
    this->tokens = std::min(this->Burst(), this->tokens + 1);
  }
}

void NamedLimit::CountRefusal(Instant now) {
  ++this->refusals;
  const double seconds = Seconds(now - this->counted_from);
  if (seconds < 1) {
    return;
  }
  const double affordable =
      kFreeRefusalRate + kRefusalsPerAdmitted * this->Rate();
  const double ratio = this->refusals / seconds / affordable;
  this->counted_from = now;
  this->refusals = 0;
  if (ratio > 1) {
    this->backoff_seconds =
        std::min(kMaxBackoffSeconds,
                 std::max(kMinBackoffSeconds, this->backoff_seconds) *
                     std::min(kMaxBackoffFactor, ratio));
  } else {
    this->backoff_seconds *= std::max(1 / kMaxBackoffFactor, ratio);
  }
}

Duration NamedLimit::refusal_backoff() const {
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(this->backoff_seconds));
}

}  // namespace lycheewell::core::overload
