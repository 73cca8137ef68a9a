// Overload of one service on a fake clock: a slowed service, demand of several
// times its capacity, callers that send refused requests again. Compares no
// control, a fixed limit and lycheewell's decisions. Exits 1 when a bound is
// missed.
#include <algorithm>
#include <cstdio>
#include <functional>
#include <map>
#include <queue>
#include <random>
#include <string>
#include <vector>

#include "lycheewell/core/overload/admission_level.h"
#include "lycheewell/core/overload/admission_queue.h"
#include "lycheewell/core/overload/concurrency_limit.h"

namespace {

using namespace lycheewell::core;  // NOLINT
using std::chrono::milliseconds;

constexpr int kSlots = 60;
constexpr int kConnections = 450;
constexpr Duration kServiceTime = milliseconds(30);
constexpr Duration kSlowServiceTime = milliseconds(90);
constexpr Duration kDeadline = milliseconds(1000);
constexpr Duration kResendAfter = milliseconds(100);
constexpr int kMostResends = 3;
constexpr Instant kSlowFrom = Instant{} + std::chrono::seconds(5);
constexpr Instant kSlowUntil = Instant{} + std::chrono::seconds(20);
constexpr Instant kEnd = Instant{} + std::chrono::seconds(35);

enum class Policy { kNone, kFixedLimit, kLycheewell };

struct Job {
  Importance importance = Importance::kNormal;
  std::string account;
  Instant deadline;
  Instant first_sent;
  int resends = 0;
  std::uint64_t id = 0;
};

struct Result {
  int whole_while_slow = 0;      // answered inside the deadline
  int important_refused = 0;     // while less important work ran after it
  double recovery_seconds = -1;  // from the trigger's end to full goodput
  std::map<std::string, std::pair<int, int>> by_account;  // asked, served
};

// The target runs up to kSlots at once; beyond that requests share its speed.
class Simulation {
 public:
  Simulation(Policy new_policy, double new_load)
      : policy(new_policy),
        load(new_load),
        limit({.max_limit = 4 * kSlots}, {}) {}

  Result Run() {
    constexpr Duration kStep = milliseconds(1);
    double due = 0;
    while (this->now < kEnd) {
      this->now += kStep;
      const double capacity = kSlots / Seconds(this->ServiceTime());
      const bool is_surge = this->now >= kSlowFrom && this->now < kSlowUntil;
      const double normal = 0.6 * kSlots / Seconds(kServiceTime);
      due += (is_surge ? this->load * capacity : normal) * Seconds(kStep);
      for (; due >= 1; due -= 1) {
        this->Arrive(this->NewJob());
      }
      while (!this->resends.empty() &&
             this->resends.begin()->first <= this->now) {
        Job job = this->resends.begin()->second;
        this->resends.erase(this->resends.begin());
        this->Arrive(std::move(job));
      }
      this->Work(kStep);
      this->MeasureRecovery(normal);
    }
    return this->result;
  }

 private:
  struct Running {
    Job job;
    Duration left{};
    Instant started;
  };

  static double Seconds(Duration time) {
    return std::chrono::duration<double>(time).count();
  }

  Duration ServiceTime() const {
    const bool is_slow = this->now >= kSlowFrom && this->now < kSlowUntil;
    return is_slow ? kSlowServiceTime : kServiceTime;
  }

  Job NewJob() {
    const std::uint64_t id = ++this->last_id;
    const std::uint64_t kind = this->random() % 10;
    const Importance importance = kind == 0   ? Importance::kCritical
                                  : kind <= 3 ? Importance::kLow
                                              : Importance::kNormal;
    return {.importance = importance,
            .account = "a" + std::to_string(this->random() % 8),
            .deadline = this->now + kDeadline,
            .first_sent = this->now,
            .id = id};
  }

  void Arrive(Job job) {
    if (job.resends == 0 && job.importance == Importance::kCritical) {
      ++this->result.by_account[job.account].first;
    }
    const int rank = overload::RankOf(job.importance, std::to_string(job.id));
    if (static_cast<int>(this->running.size()) >= kConnections) {
      this->Refuse(job);
      return;
    }
    const bool is_full =
        static_cast<int>(this->running.size()) >= this->Limit();
    if (this->policy == Policy::kNone ||
        (!is_full && this->queue.size() == 0)) {
      if (this->policy == Policy::kLycheewell && !this->level.Admits(rank)) {
        this->Refuse(job);
        return;
      }
      this->StartJob(std::move(job));
      return;
    }
    if (this->policy == Policy::kFixedLimit || !this->level.Admits(rank)) {
      this->Refuse(job);
      return;
    }
    const auto offer =
        this->queue.Offer({.ticket = job.id,
                           .importance = job.importance,
                           .account = job.account,
                           .rank = rank,
                           .enqueued_at = this->now,
                           .deadline = job.deadline},
                          static_cast<std::size_t>(this->Limit()));
    this->level.Observe(this->queue.OldestWait(this->now), this->now);
    if (offer.displaced) {
      this->Refuse(this->queued.at(offer.displaced->ticket));
      this->queued.erase(offer.displaced->ticket);
    }
    if (offer.accepted) {
      this->queued[job.id] = std::move(job);
    } else {
      this->Refuse(job);
    }
  }

  int Limit() const {
    return this->policy == Policy::kFixedLimit ? kSlots : this->limit.limit();
  }

  void StartJob(Job job) {
    this->running.push_back({std::move(job), this->ServiceTime(), this->now});
  }

  // The caller sends again, hard; a resend is a new request to the service.
  void Refuse(Job job) {
    if (job.importance == Importance::kCritical) {
      const bool less_important_runs = std::any_of(
          this->queued.begin(), this->queued.end(), [](const auto& entry) {
            return entry.second.importance < Importance::kCritical;
          });
      this->result.important_refused += less_important_runs ? 1 : 0;
    }
    if (job.resends < kMostResends) {
      ++job.resends;
      job.deadline = this->now + kResendAfter + kDeadline;
      job.id = ++this->last_id;
      this->resends.emplace(this->now + kResendAfter, std::move(job));
    }
  }

  void Work(Duration step) {
    const double share = std::min(
        1.0, static_cast<double>(kSlots) /
                 std::max(1.0, static_cast<double>(this->running.size())));
    const Duration done = Duration(
        static_cast<Duration::rep>(static_cast<double>(step.count()) * share));
    std::vector<Running> still;
    for (Running& entry : this->running) {
      entry.left -= done;
      if (entry.left > Duration{}) {
        still.push_back(std::move(entry));
        continue;
      }
      this->limit.RecordCompletion(this->now - entry.started,
                                   static_cast<int>(this->running.size()),
                                   this->now);
      this->Finish(entry.job);
    }
    this->running = std::move(still);
    this->TakeFromQueue();
  }

  void Finish(const Job& job) {
    const bool is_whole = this->now <= job.deadline;
    if (!is_whole) {
      this->Refuse(job);  // its caller has timed out and sends again
      return;
    }
    const bool is_slow = this->now >= kSlowFrom + std::chrono::seconds(2) &&
                         this->now < kSlowUntil;
    this->result.whole_while_slow += is_slow ? 1 : 0;
    this->recent.push(this->now);
    if (job.importance == Importance::kCritical) {
      ++this->result.by_account[job.account].second;
    }
  }

  void TakeFromQueue() {
    this->level.Observe(this->queue.OldestWait(this->now), this->now);
    while (this->policy == Policy::kLycheewell &&
           static_cast<int>(this->running.size()) < this->Limit()) {
      const auto popped = this->queue.Pop(this->now);
      for (const auto& expired : popped.expired) {
        this->Refuse(this->queued.at(expired.ticket));
        this->queued.erase(expired.ticket);
      }
      if (!popped.next) {
        return;
      }
      Job job = std::move(this->queued.at(popped.next->ticket));
      this->queued.erase(popped.next->ticket);
      this->StartJob(std::move(job));
    }
  }

  void MeasureRecovery(double normal) {
    while (!this->recent.empty() &&
           this->recent.front() <= this->now - std::chrono::seconds(1)) {
      this->recent.pop();
    }
    const bool is_over = this->now >= kSlowUntil;
    const bool is_full =
        static_cast<double>(this->recent.size()) >= normal * 0.95;
    if (is_over && is_full && this->result.recovery_seconds < 0) {
      this->result.recovery_seconds = Seconds(this->now - kSlowUntil);
    }
  }

  Policy policy;
  double load;
  std::mt19937_64 random{5};
  Instant now{};
  std::uint64_t last_id = 0;
  overload::ConcurrencyLimit limit;
  overload::AdmissionQueue queue;
  overload::AdmissionLevel level{Instant{}};
  std::vector<Running> running;
  std::map<std::uint64_t, Job> queued;
  std::multimap<Instant, Job> resends;
  std::queue<Instant> recent;
  Result result;
};

double WorstAccount(const Result& result) {
  double worst = 1;
  for (const auto& [account, counts] : result.by_account) {
    worst = std::min(worst, static_cast<double>(counts.second) / counts.first);
  }
  return worst;
}

}  // namespace

int main() {
  constexpr double kGoodputBound = 0.95;
  constexpr double kRecoveryBound = 5;
  constexpr double kWorstAccountBound = 0.99;
  const double slow_seconds = 13;
  const double best = kSlots /
                      std::chrono::duration<double>(kSlowServiceTime).count() *
                      slow_seconds;
  bool holds = true;
  for (const double load : {2.0, 4.0, 10.0}) {
    const std::pair<const char*, Policy> policies[] = {
        {"no control", Policy::kNone},
        {"fixed limit", Policy::kFixedLimit},
        {"lycheewell", Policy::kLycheewell}};
    for (const auto& [name, policy] : policies) {
      const Result result = Simulation(policy, load).Run();
      const double goodput = result.whole_while_slow / best;
      const double worst = WorstAccount(result);
      const bool recovers = result.recovery_seconds >= 0 &&
                            result.recovery_seconds <= kRecoveryBound;
      const bool is_good = goodput >= kGoodputBound && recovers &&
                           worst >= kWorstAccountBound &&
                           result.important_refused == 0;
      std::printf(
          "load %4.0fx  %-12s goodput %5.1f%%  recovery %5.1f s  worst "
          "account's "
          "important requests %5.1f%%  important refused for less %d  %s\n",
          load, name, 100 * goodput, result.recovery_seconds, 100 * worst,
          result.important_refused,
          policy != Policy::kLycheewell ? ""
          : is_good                     ? "ok"
                                        : "MISSED");
      holds = holds && (policy != Policy::kLycheewell || is_good);
    }
  }
  return holds ? 0 : 1;
}
