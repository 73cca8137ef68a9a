// Counters and latency quantiles of one daemon.
#ifndef LYCHEEWELL_DAEMON_METRICS_METRICS_H_
#define LYCHEEWELL_DAEMON_METRICS_METRICS_H_

#include <array>
#include <atomic>
#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics.hpp>
#include <chrono>
#include <cstdint>
#include <mutex>
#include <string>
#include <string_view>

namespace lycheewell::daemon::metrics {

enum class Counter : std::size_t {
  kRequests,
  kAnswersRan,
  kAnswersNotRun,
  kAnswersMayHaveRun,
  kRefusedKey,
  kRefusedRate,
  kRefusedShed,
  kRefusedQuarantine,
  kReplayed,
  kRetries,
  kForwards,
  kDispatches,
  kLoansRequested,
  kTokensLent,
  kBadHttpRequests,
  kConnectionsCut,
  kBadPeerMessages,
  kUnreadableRecords,
  kLogErrors,
  kTargetCrashes,
  kContextsRefused,
  kPeerMessages,
  kCount,
};

struct LatencySummary {
  double p50_seconds = 0;
  double p99_seconds = 0;
  std::uint64_t count = 0;

  bool operator==(const LatencySummary&) const = default;
};

// Safe to use from any thread.
class Metrics {
 public:
  Metrics();

  // Commands.

  void Count(Counter counter, std::uint64_t amount = 1);
  void RecordRequest(std::chrono::steady_clock::duration latency);

  // Queries.

  std::uint64_t ValueOf(Counter counter) const;
  LatencySummary RequestLatency() const;

  // All metrics in the text form that the usual scrapers read.
  std::string Render() const;

 private:
  using Quantile = boost::accumulators::accumulator_set<
      double,
      boost::accumulators::stats<boost::accumulators::tag::p_square_quantile,
                                 boost::accumulators::tag::count>>;

  std::array<std::atomic<std::uint64_t>,
             static_cast<std::size_t>(Counter::kCount)>
      counters{};
  mutable std::mutex mutex;
  Quantile p50;
  Quantile p99;
};

std::string_view CounterName(Counter counter);

}  // namespace lycheewell::daemon::metrics

#endif  // LYCHEEWELL_DAEMON_METRICS_METRICS_H_
