#include "lycheewell/core/overload/named_limit.h"

#include <algorithm>
#include <cmath>

namespace lycheewell::core::overload {
namespace {

// Lowest rate at which requests are admitted, per second: each shows whether
// the limit still holds.
constexpr double kMinRate = 0.1;

// Requests that arrive together are admitted up to the limit of this time, and
// up to the minimum where that is less: requests do not come evenly.
constexpr double kBurstSeconds = 0.5;
constexpr double kMinBurst = 3;

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

RankedTokens::Rate NamedLimit::TokenRate() const {
  return {.per_second = this->Rate(),
          .burst = std::max(kMinBurst, this->Rate() * kBurstSeconds)};
}

bool NamedLimit::Set(std::optional<double> per_second, Instant now) {
  const bool was_limited = this->limit.has_value();
  this->limit = per_second;
  if (!per_second) {
    this->backoff_seconds = 0;
  } else if (was_limited) {
    this->tokens.SetRate(this->TokenRate(), now);
  } else {
    this->tokens.Start(this->TokenRate(), 1, now);
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

bool NamedLimit::Admit(int rank, Instant now) {
  if (!this->limit || this->tokens.Take(rank, now)) {
    return true;
  }
  this->CountRefusal(now);
  return false;
}

void NamedLimit::Return() {
  if (this->limit) {
    this->tokens.Return();
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
