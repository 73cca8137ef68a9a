#include "lycheewell/core/overload/admission_level.h"

#include <algorithm>

namespace lycheewell::core::overload {
namespace {

constexpr Duration kAdjustmentPeriod = std::chrono::milliseconds(50);

// Entries that wait for longer than this raise the level.
constexpr Duration kOverloadWait = std::chrono::milliseconds(80);

// Changes of the level in one adjustment period, in ranks.
constexpr double kLevelIncrease = 2;
constexpr double kLevelDecrease = 8;

// The level never refuses the most important requests. Only a queue full of
// requests of the same importance does.
constexpr double kMaxLevel = kRankCount - kRanksPerImportance;

// A reported level decays linearly to 0 in this time.
constexpr Duration kDecayTime = std::chrono::milliseconds(500);

}  // namespace

AdmissionLevel::AdmissionLevel(Instant now) : adjusted_at(now) {}

void AdmissionLevel::Observe(Duration longest_wait, Instant now) {
  this->period_longest_wait = std::max(this->period_longest_wait, longest_wait);
  if (now - this->adjusted_at < kAdjustmentPeriod) {
    return;
  }
  const bool is_overloaded = this->period_longest_wait > kOverloadWait;
  this->current += is_overloaded ? kLevelIncrease : -kLevelDecrease;
  this->current = std::clamp(this->current, 0.0, kMaxLevel);
  this->adjusted_at = now;
  this->period_longest_wait = Duration{};
}

void ReportedLevel::Record(int new_level, Instant now) {
  this->level = new_level;
  this->recorded_at = now;
}

int ReportedLevel::LevelAt(Instant now) const {
  const auto age = std::max(Duration{}, now - this->recorded_at);
  if (age >= kDecayTime) {
    return 0;
  }
  const double remaining = 1.0 - static_cast<double>(age.count()) /
                                     static_cast<double>(kDecayTime.count());
  return static_cast<int>(static_cast<double>(this->level) * remaining);
}

}  // namespace lycheewell::core::overload
