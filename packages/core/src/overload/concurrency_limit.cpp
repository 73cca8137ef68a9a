#include "lycheewell/core/overload/concurrency_limit.h"

#include <algorithm>
#include <cmath>

namespace lycheewell::core::overload {
namespace {

// Latency above the base value by more than this factor may be caused by a
// queue inside the target.
constexpr double kQueueingFactor = 2.0;

// A trial multiplies the limit by this factor.
constexpr double kTrialLimitFactor = 0.75;

// A queue inside the target shrinks with the limit, and latency with it. Half
// of the expected decrease confirms the queue.
constexpr double kConfirmedLatencyFactor = 1.0 - (1.0 - kTrialLimitFactor) / 2;

// After a window with refusals the limit is multiplied by this factor.
constexpr double kRefusalLimitFactor = 0.8;

// An adjustment needs a window of at least this time, this many mean latencies,
// and this many completions and refusals.
constexpr Duration kMinWindow = std::chrono::milliseconds(50);
constexpr double kMinWindowLatencies = 2.0;
constexpr int kMinSamples = 8;

}  // namespace

ConcurrencyLimit::ConcurrencyLimit(const Options& new_options, Instant now)
    : options(new_options),
      current(std::min(new_options.initial_limit, new_options.max_limit)),
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
  const double min_age = std::max(static_cast<double>(kMinWindow.count()),
                                  this->mean_latency_ns * kMinWindowLatencies);
  const bool has_enough_samples =
      this->window.completions + this->window.refusals >= kMinSamples;
  if (!has_enough_samples || age < min_age) {
    return;
  }
  if (this->window.completions > 0) {
    this->mean_latency_ns = this->window.latency_sum / this->window.completions;
    const bool is_lowest = this->base_latency_ns == 0 ||
                           this->mean_latency_ns < this->base_latency_ns;
    this->base_latency_ns =
        is_lowest ? this->mean_latency_ns : this->base_latency_ns;
  }
  if (this->window.refusals > 0) {
    this->current *= kRefusalLimitFactor;
    this->trial.reset();
  } else if (this->trial) {
    this->EvaluateTrial(this->mean_latency_ns);
  } else {
    this->ChangeLimit(this->mean_latency_ns);
  }
  this->current = std::clamp(this->current, 1.0,
                             static_cast<double>(this->options.max_limit));
  this->window = {};
  this->adjusted_at = now;
}

void ConcurrencyLimit::EvaluateTrial(double latency) {
  const bool has_fallen =
      latency < this->trial->latency_before * kConfirmedLatencyFactor;
  if (!has_fallen) {
    this->current = this->trial->limit_before;
    this->base_latency_ns = latency;
  }
  this->trial.reset();
}

void ConcurrencyLimit::ChangeLimit(double latency) {
  const bool is_used = this->window.largest_running * 2 >= this->current;
  if (!is_used) {
    return;
  }
  if (latency > this->base_latency_ns * kQueueingFactor) {
    this->trial = Trial{this->current, latency};
    this->current *= kTrialLimitFactor;
    return;
  }
  this->current += std::max(1.0, std::sqrt(this->current) / 2);
}

int ConcurrencyLimit::limit() const {
  return std::max(1, static_cast<int>(this->current));
}

Duration ConcurrencyLimit::mean_latency() const {
  return Duration(static_cast<Duration::rep>(this->mean_latency_ns));
}

}  // namespace lycheewell::core::overload
