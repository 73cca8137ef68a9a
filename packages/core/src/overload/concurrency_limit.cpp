#include "lycheewell/core/overload/concurrency_limit.h"

#include <algorithm>
#include <cmath>

namespace lycheewell::core::overload {
namespace {

constexpr double kShortAverageWeight = 0.1;

// The floor rises by this part with each adjustment, so that a target that has
// become slow for good is measured against its new latency.
constexpr double kFloorRise = 1.02;

// Latency above the floor by more than this factor means that requests queue
// inside the target.
constexpr double kQueueingFactor = 2.0;

constexpr double kDecrease = 0.9;
constexpr double kRefusalDecrease = 0.8;
constexpr Duration kLeastAdjustTime = std::chrono::milliseconds(50);
constexpr int kLeastCompletions = 5;

}  // namespace

ConcurrencyLimit::ConcurrencyLimit(const Options& new_options, Instant now)
    : options(new_options),
      current(std::min(new_options.at_start, new_options.most)),
      adjusted_at(now) {}

void ConcurrencyLimit::RecordCompletion(Duration latency, int running,
                                        Instant now) {
  if (this->short_average == Duration{}) {
    this->short_average = latency;
    this->floor = latency;
  }
  const double average =
      static_cast<double>(this->short_average.count()) *
          (1 - kShortAverageWeight) +
      static_cast<double>(latency.count()) * kShortAverageWeight;
  this->short_average = Duration(static_cast<Duration::rep>(average));
  this->floor = std::min(this->floor, this->short_average);
  this->largest_running = std::max(this->largest_running, running);
  ++this->completions;
  this->Adjust(now);
}

void ConcurrencyLimit::RecordRefusal(Instant now) {
  this->was_refused = true;
  ++this->completions;
  this->Adjust(now);
}

void ConcurrencyLimit::Adjust(Instant now) {
  const Duration least = std::max(kLeastAdjustTime, this->short_average);
  const bool has_enough = this->completions >= kLeastCompletions;
  if (!has_enough || now - this->adjusted_at < least) {
    return;
  }
  const double ratio = static_cast<double>(this->short_average.count()) /
                       std::max(1.0, static_cast<double>(this->floor.count()));
  if (this->was_refused) {
    this->current *= kRefusalDecrease;
  } else if (ratio > kQueueingFactor) {
    this->current *= kDecrease;
  } else if (this->largest_running * 2 >= this->current) {
    this->current += std::max(1.0, std::sqrt(this->current) / 2);
  }
  this->current =
      std::clamp(this->current, 1.0, static_cast<double>(this->options.most));
  const double raised = static_cast<double>(this->floor.count()) * kFloorRise;
  this->floor = std::min(this->short_average,
                         Duration(static_cast<Duration::rep>(raised) + 1));
  this->completions = 0;
  this->largest_running = 0;
  this->was_refused = false;
  this->adjusted_at = now;
}

int ConcurrencyLimit::limit() const {
  return std::max(1, static_cast<int>(this->current));
}

}  // namespace lycheewell::core::overload
