#include "lycheewell/core/overload/return_promises.h"

#include <algorithm>

namespace lycheewell::core::overload {
namespace {

// Clients wait no longer than this fraction of the time that they have left.
constexpr double kMaxWaitFraction = 1.0 / 3;

// Answers take this much longer than usual at most, in general.
constexpr double kAnswerMargin = 1.2;

// Bounds of the latest return, as fractions of the time until the latency
// target: for requests whose answer would be late anyway, and for quick ones.
constexpr double kMinTargetFraction = 0.2;
constexpr double kMaxTargetFraction = 0.6;

// Returns are spread over the last part of the time until the latest one.
constexpr double kSpreadFraction = 0.5;

// A return counts as kept from this long before its time, for clients'
// rounding, until this long after it: a new connection may take a second.
constexpr Duration kEarlySlack = std::chrono::milliseconds(2);
constexpr Duration kLateSlack = std::chrono::milliseconds(1000);

// Fraction of the room that is for requests that come back as told, and how
// much of it is kept for later ones.
constexpr double kRoomFraction = 1.0 / 3;
constexpr double kMaxRoom = 3;

constexpr std::size_t kMaxPromises = 4096;

Duration Scale(Duration duration, double factor) {
  return std::chrono::duration_cast<Duration>(duration * factor);
}

}  // namespace

Duration ReturnTime(const ReturnTerms& terms, const RandomSource& random) {
  const Duration time_left =
      std::max(Duration::zero(), Scale(terms.time_left, kMaxWaitFraction));
  const Duration target_left = std::max(Duration::zero(), terms.target_left);
  const Duration in_time =
      std::clamp(target_left - Scale(terms.answer_time, kAnswerMargin),
                 Scale(target_left, kMinTargetFraction),
                 Scale(target_left, kMaxTargetFraction));
  const Duration latest =
      target_left > Duration::zero() ? std::min(in_time, time_left) : time_left;
  constexpr std::uint64_t kSteps = 1024;
  const double position = static_cast<double>(random() % (kSteps + 1)) / kSteps;
  return Scale(latest, 1 - kSpreadFraction * position);
}

void ReturnPromises::Erase(ByTime::iterator promise) {
  const auto [first, last] = this->by_fingerprint.equal_range(promise->second);
  this->by_fingerprint.erase(std::find_if(
      first, last,
      [promise](const auto& entry) { return entry.second == promise; }));
  this->by_time.erase(promise);
}

void ReturnPromises::Add(const std::string& fingerprint, Instant due) {
  if (this->by_time.size() >= kMaxPromises) {
    this->Erase(this->by_time.begin());
  }
  this->by_fingerprint.emplace(fingerprint,
                               this->by_time.emplace(due, fingerprint));
}

bool ReturnPromises::TakeIfKept(const std::string& fingerprint, Instant now) {
  while (!this->by_time.empty() &&
         this->by_time.begin()->first + kLateSlack < now) {
    this->Erase(this->by_time.begin());
  }
  const auto [first, last] = this->by_fingerprint.equal_range(fingerprint);
  const auto earliest =
      std::min_element(first, last, [](const auto& left, const auto& right) {
        return left.second->first < right.second->first;
      });
  if (earliest == last) {
    return false;
  }
  const bool is_kept = earliest->second->first - kEarlySlack <= now;
  this->Erase(earliest->second);
  if (!is_kept || this->room < 1) {
    return false;
  }
  this->room -= 1;
  return true;
}

void ReturnPromises::RecordAdmitted() {
  this->room = std::min(kMaxRoom, this->room + kRoomFraction);
}

}  // namespace lycheewell::core::overload
