#include "lycheewell/core/overload/concurrency_limit.h"

#include <algorithm>
#include <cmath>

namespace lycheewell::core::overload {
namespace {

// Latency above the floor by more than this factor may mean a queue inside the
// target.
constexpr double kQueueingFactor = 2.0;

constexpr double kDecrease = 0.75;

// A queue shrinks with the limit. Half of that effect is enough to believe it.
constexpr double kProvenFall = 1.0 - (1.0 - kDecrease) / 2;

constexpr double kRefusalDecrease = 0.8;
constexpr Duration kLeastWindow = std::chrono::milliseconds(50);
constexpr double kWindowLatencies = 2.0;
constexpr int kLeastCompletions = 8;

}  // namespace

ConcurrencyLimit::ConcurrencyLimit(const Options& new_options, Instant now)
    : options(new_options),
      current(std::min(new_options.at_start, new_options.most)),
      adjusted_at(now) {}

void ConcurrencyLimit::RecordCompletion(Duration latency, int running,
                                        Instant now) {
  this->window.latency_sum += static_cast<double>(latency.count());
  ++this->window.completions;
  this->window.largest_running =
      std::max(this->window.largest_running, running);
  this->Adjust(now);
}

void ConcurrencyLimit::RecordRefusal(Instant now) {
  ++this->window.refusals;
  this->Adjust(now);
}

void ConcurrencyLimit::Adjust(Instant now) {
  const auto age = static_cast<double>((now - this->adjusted_at).count());
  const double least_age = std::max(static_cast<double>(kLeastWindow.count()),
                                    this->typical * kWindowLatencies);
  const bool has_enough =
      this->window.completions + this->window.refusals >= kLeastCompletions;
  if (!has_enough || age < least_age) {
    return;
  }
  if (this->window.completions > 0) {
    this->typical = this->window.latency_sum / this->window.completions;
    const bool is_lowest = this->floor == 0 || this->typical < this->floor;
    this->floor = is_lowest ? this->typical : this->floor;
  }
  if (this->window.refusals > 0) {
    this->current *= kRefusalDecrease;
    this->trial.reset();
  } else if (this->trial) {
    this->JudgeTrial(this->typical);
  } else {
    this->Change(this->typical);
  }
  this->current =
      std::clamp(this->current, 1.0, static_cast<double>(this->options.most));
  this->window = {};
  this->adjusted_at = now;
}

void ConcurrencyLimit::JudgeTrial(double latency) {
  const bool has_fallen = latency < this->trial->latency_before * kProvenFall;
  if (!has_fallen) {
    this->current = this->trial->limit_before;
    this->floor = latency;
  }
  this->trial.reset();
}

void ConcurrencyLimit::Change(double latency) {
  const bool is_used = this->window.largest_running * 2 >= this->current;
  if (!is_used) {
    return;
  }
  if (latency > this->floor * kQueueingFactor) {
    this->trial = Trial{this->current, latency};
    this->current *= kDecrease;
    return;
  }
  this->current += std::max(1.0, std::sqrt(this->current) / 2);
}

int ConcurrencyLimit::limit() const {
  return std::max(1, static_cast<int>(this->current));
}

Duration ConcurrencyLimit::typical_latency() const {
  return Duration(static_cast<Duration::rep>(this->typical));
}

}  // namespace lycheewell::core::overload
