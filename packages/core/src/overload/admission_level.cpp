#include "lycheewell/core/overload/admission_level.h"

#include <algorithm>

namespace lycheewell::core::overload {
namespace {

constexpr Duration kAdjustTime = std::chrono::milliseconds(50);
constexpr Duration kTargetWait = std::chrono::milliseconds(80);
constexpr double kRise = 2;
constexpr double kFall = 8;

// The most important requests are never refused by level, only by a queue that
// is full of their like.
constexpr double kHighestLevel = kRankCount - kRanksPerImportance;

constexpr Duration kFadeTime = std::chrono::milliseconds(500);

}  // namespace

AdmissionLevel::AdmissionLevel(Instant now) : adjusted_at(now) {}

void AdmissionLevel::Observe(Duration longest_wait, Instant now) {
  this->longest = std::max(this->longest, longest_wait);
  if (now - this->adjusted_at < kAdjustTime) {
    return;
  }
  const bool is_overloaded = this->longest > kTargetWait;
  this->current += is_overloaded ? kRise : -kFall;
  this->current = std::clamp(this->current, 0.0, kHighestLevel);
  this->adjusted_at = now;
  this->longest = Duration{};
}

void HeardLevel::Hear(int new_level, Instant now) {
  this->level = new_level;
  this->heard_at = now;
}

int HeardLevel::LevelAt(Instant now) const {
  const auto age = std::max(Duration{}, now - this->heard_at);
  if (age >= kFadeTime) {
    return 0;
  }
  const double rest = 1.0 - static_cast<double>(age.count()) /
                                static_cast<double>(kFadeTime.count());
  return static_cast<int>(static_cast<double>(this->level) * rest);
}

}  // namespace lycheewell::core::overload
