#include "lycheewell/daemon/metrics/metrics.h"

#include <sstream>

namespace lycheewell::daemon::metrics {
namespace accumulators = boost::accumulators;

namespace {

constexpr std::array<std::string_view,
                     static_cast<std::size_t>(Counter::kCount)>
    kNames = {"requests_total",          "answers_ran_total",
              "answers_not_run_total",   "answers_may_have_run_total",
              "refused_key_total",       "refused_rate_total",
              "refused_shed_total",      "refused_quarantine_total",
              "replayed_total",          "retries_total",
              "forwards_total",          "dispatches_total",
              "loans_requested_total",   "tokens_lent_total",
              "bad_http_requests_total", "connections_cut_total",
              "bad_peer_messages_total", "unreadable_records_total",
              "log_errors_total",        "target_crashes_total",
              "contexts_refused_total",  "peer_messages_total"};

constexpr double kMedian = 0.5;
constexpr double kTail = 0.99;

}  // namespace

std::string_view CounterName(Counter counter) {
  return kNames.at(static_cast<std::size_t>(counter));
}

Metrics::Metrics()
    : p50(accumulators::quantile_probability = kMedian),
      p99(accumulators::quantile_probability = kTail) {}

void Metrics::Count(Counter counter, std::uint64_t amount) {
  this->counters[static_cast<std::size_t>(counter)].fetch_add(
      amount, std::memory_order_relaxed);
}

void Metrics::RecordRequest(std::chrono::steady_clock::duration latency) {
  const double seconds = std::chrono::duration<double>(latency).count();
  const std::lock_guard lock(this->mutex);
  this->p50(seconds);
  this->p99(seconds);
}

std::uint64_t Metrics::ValueOf(Counter counter) const {
  return this->counters[static_cast<std::size_t>(counter)].load(
      std::memory_order_relaxed);
}

LatencySummary Metrics::RequestLatency() const {
  const std::lock_guard lock(this->mutex);
  const std::uint64_t count = accumulators::count(this->p50);
  if (count == 0) {
    return {};
  }
  return {accumulators::p_square_quantile(this->p50),
          accumulators::p_square_quantile(this->p99), count};
}

std::string Metrics::Render() const {
  std::ostringstream text;
  for (std::size_t index = 0; index < kNames.size(); ++index) {
    const auto counter = static_cast<Counter>(index);
    text << "# TYPE lycheewell_" << CounterName(counter) << " counter\n"
         << "lycheewell_" << CounterName(counter) << " "
         << this->ValueOf(counter) << "\n";
  }
  const LatencySummary latency = this->RequestLatency();
  text << "# TYPE lycheewell_request_seconds summary\n"
       << "lycheewell_request_seconds{quantile=\"0.5\"} " << latency.p50_seconds
       << "\nlycheewell_request_seconds{quantile=\"0.99\"} "
       << latency.p99_seconds << "\nlycheewell_request_seconds_count "
       << latency.count << "\n";
  return text.str();
}

}  // namespace lycheewell::daemon::metrics
