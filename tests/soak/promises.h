// What callers and targets saw in a run, and the promises that it must keep.
#ifndef LYCHEEWELL_TESTS_SOAK_PROMISES_H_
#define LYCHEEWELL_TESTS_SOAK_PROMISES_H_

#include <chrono>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

namespace lycheewell::soak {

using Clock = std::chrono::steady_clock;

// A request as its client saw it.
struct Request {
  std::string id;
  std::string key;
  std::string account;
  bool is_idempotent = false;
  int vm = 0;
  Clock::time_point sent_at;
  Clock::time_point ended_at;
  unsigned status = 0;      // 0: the connection ended without a whole answer
  std::string answered_id;  // the id in the answer's body

  bool operator==(const Request&) const = default;
};

// A request that a target began to run.
struct Run {
  std::string id;
  std::string instance;
  Clock::time_point at;

  bool operator==(const Run&) const = default;
};

struct Span {
  Clock::time_point begin;
  Clock::time_point end;

  bool operator==(const Span&) const = default;
};

// A target named this limit in its answers.
struct Limit {
  int vm = 0;  // beside the target
  std::string instance;
  int per_second = 0;
  Span span;

  bool operator==(const Limit&) const = default;
};

// No request may reach these targets within the span.
struct Evacuation {
  std::vector<std::string> instances;  // beginnings of their names
  Span span;

  bool operator==(const Evacuation&) const = default;
};

// A target had told its daemon that it is cold and takes this rate.
struct ColdTime {
  std::string instance;
  int per_second = 0;
  Span span;

  bool operator==(const ColdTime&) const = default;
};

struct Bounds {
  std::chrono::milliseconds key_withdrawal{5'000};
  std::chrono::milliseconds drain{2'000};
  std::chrono::milliseconds account_window{5'000};
  double account_rate = 40;
  double account_burst = 40;
  // Beyond the rate: a fraction of it, and requests.
  double account_overage = 0.1;
  double account_slack = 20;
  // A limit counts from this long after it was named first. In the window a
  // target may get this much more than it allows.
  std::chrono::milliseconds limit_delay{3'000};
  std::chrono::milliseconds limit_window{4'000};
  double limit_factor = 1.5;
  double limit_slack = 5;
  // In any second after the first one a cold target may get this much more.
  double cold_factor = 1.5;
  double cold_slack = 8;
};

// Safe to use from several threads.
class Observations {
 public:
  // Commands.

  void AddRequest(Request request);
  void AddRun(Run run);
  void AddWithdrawnKey(const std::string& key, Clock::time_point at);
  // A daemon has acknowledged that the instance leaves.
  void AddLeaving(const std::string& instance, Clock::time_point at);
  void AddLimit(const Limit& limit);
  void AddEvacuation(const Evacuation& evacuation);
  void AddColdTime(const ColdTime& cold);
  // A planned stop of a daemon without any other fault around it.
  void AddPlannedStop(int vm, const Span& span);

  // Queries.

  // One line for each broken promise.
  std::vector<std::string> BrokenPromises(const Bounds& bounds) const;
  // Fraction of the requests sent within `span` that were answered with 200.
  // Requests with a withdrawn key, and those refused with 429 while their
  // account sent more than its rate, are not owed.
  double ServedFraction(const Span& span, const Bounds& bounds) const;
  std::size_t request_count() const;

 private:
  void CheckAnswers(std::vector<std::string>& broken) const;
  void CheckKeys(const Bounds& bounds, std::vector<std::string>& broken) const;
  void CheckDrains(const Bounds& bounds,
                   std::vector<std::string>& broken) const;
  void CheckRates(const Bounds& bounds, std::vector<std::string>& broken) const;
  void CheckLimits(const Bounds& bounds,
                   std::vector<std::string>& broken) const;
  void CheckEvacuations(std::vector<std::string>& broken) const;
  void CheckColdTimes(const Bounds& bounds,
                      std::vector<std::string>& broken) const;
  void CheckPlannedStops(std::vector<std::string>& broken) const;
  std::size_t RunsOf(const std::string& id) const;

  mutable std::mutex mutex;
  std::vector<Request> requests;
  std::map<std::string, std::vector<Run>> runs;  // by request id
  std::map<std::string, Clock::time_point> withdrawn_keys;
  std::map<std::string, Clock::time_point> leaving;  // by instance
  std::vector<Limit> limits;
  std::vector<Evacuation> evacuations;
  std::vector<ColdTime> cold_times;
  std::vector<std::pair<int, Span>> planned_stops;
};

}  // namespace lycheewell::soak

#endif  // LYCHEEWELL_TESTS_SOAK_PROMISES_H_
