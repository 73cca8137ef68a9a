#include "lycheewell/core/routing/target_selector.h"

#include <algorithm>
#include <utility>

namespace lycheewell::core::routing {
namespace {

// Processor time and traffic of a hop to another VM, expressed as waiting time.
constexpr Duration kSameDataCentreCost = std::chrono::milliseconds(2);
constexpr Duration kOtherDataCentreCost = std::chrono::milliseconds(5);

// Cost of a hop to another data centre as a fraction of the latency target: a
// smaller difference is not noticed by the caller. Bounded for callers that
// accept little or very long times.
constexpr double kOtherDataCentreFraction = 1.0 / 16;
constexpr Duration kMaxOtherDataCentreCost = std::chrono::milliseconds(100);

// Latency target of callers that state none.
constexpr Duration kDefaultLatencyTarget = std::chrono::seconds(1);

// Transfer time of a byte of a body between data centres, at the rate that a
// busy link leaves for one request (2.5 MB/s).
constexpr double kOtherDataCentreNsPerByte = 400;

// Up to this utilization a target's speed does not depend on its load.
constexpr double kMaxUncontendedUtilization = 0.6;

// Waiting requests take their turns by rank and urgency, not by arrival: one
// that would be late behind the others is expected to wait for this part of its
// slack.
constexpr double kUrgentSlackFraction = 0.5;

// Part of a request's work that it takes longer at a target whose slots are all
// busy. It also leaves room for what other daemons send meanwhile.
constexpr double kContentionAtFullUse = 0.2;

// A failed request costs its caller at least this much waiting time. It affects
// only the order of the targets: where all of them fail, all get requests.
constexpr double kFailureCostNs = 500e6;

// Failures up to this fraction cost nothing, so that single failures do not
// move requests to another data centre.
constexpr double kToleratedFailedFraction = 0.1;

// Ratio to the lowest mean work of the service up to which slowness costs
// nothing. Mean work beyond it is added to the cost. Ordinary differences in
// speed do not justify a hop to another data centre.
constexpr double kToleratedSlowdown = 4.0;

// One choice in this many goes by the expected wait alone, so that a target
// that other choices avoid can show that it has recovered.
constexpr std::uint64_t kChoicesPerExploration = 100;

// Fraction of a cold target's slots that count as capacity.
constexpr double kColdCapacityFraction = 0.5;

// Mean work assumed for a target that has reported none.
constexpr Duration kDefaultMeanWork = std::chrono::milliseconds(50);

// The expected wait that a refusal names is used for this long. Load reports
// arrive several times within this period.
constexpr Duration kRefusalLifetime = std::chrono::milliseconds(200);

// A limit that rises by this factor is tried anew.
constexpr double kNoticeableRise = 1.2;

// Runs that the mean slowness of the targets in use covers.
constexpr int kSlownessRuns = 50;

// Random jitter added to each cost, so that daemons with the same load reports
// do not all choose the same target among nearly equal ones.
constexpr double kMaxJitterNs = 1e6;

bool IsHome(std::span<const std::string> homes, const std::string& region) {
  return homes.empty() ||
         std::find(homes.begin(), homes.end(), region) != homes.end();
}

double LatencyTargetNs(const RequestDemand& demand) {
  return static_cast<double>((demand.latency_target > Duration::zero()
                                  ? demand.latency_target
                                  : kDefaultLatencyTarget)
                                 .count());
}

double HopCostNs(Distance distance, const ChoiceOptions& options) {
  if (distance == Distance::kSameVm) {
    return 0;
  }
  if (distance == Distance::kSameDataCentre) {
    return static_cast<double>(kSameDataCentreCost.count());
  }
  double hop_ns = static_cast<double>(kOtherDataCentreCost.count());
  if (options.demand) {
    hop_ns = std::clamp(
        kOtherDataCentreFraction * LatencyTargetNs(*options.demand), hop_ns,
        static_cast<double>(kMaxOtherDataCentreCost.count()));
  }
  return hop_ns +
         kOtherDataCentreNsPerByte * static_cast<double>(options.body_bytes);
}

}  // namespace

void TargetSelector::Put(const std::string& member, const TargetOptions& target,
                         Instant now) {
  Entry& entry = this->entries[member];
  if (entry.target.service != target.service) {
    this->members_by_service[entry.target.service].erase(member);
  }
  if (entry.target.instance != target.instance) {
    const int outstanding = entry.outstanding;
    const bool is_reachable = entry.is_reachable;
    const Duration path_delay = entry.path_delay;
    entry = Entry{.is_reachable = is_reachable,
                  .outstanding = outstanding,
                  .path_delay = path_delay};
    entry.reported_at = now;
  }
  entry.target = target;
  entry.is_evacuated =
      !this->evacuations.TakesWork(target.data_centre, member, now);
  this->members_by_service[target.service].insert(member);
}

void TargetSelector::Remove(const std::string& member) {
  const auto found = this->entries.find(member);
  if (found == this->entries.end()) {
    return;
  }
  this->members_by_service[found->second.target.service].erase(member);
  this->entries.erase(found);
}

void TargetSelector::RecordLoad(const std::string& member,
                                const TargetLoad& load, Instant now) {
  const auto found = this->entries.find(member);
  if (found == this->entries.end()) {
    return;
  }
  const auto& limit_before = found->second.load.limit_per_second;
  if (!load.limit_per_second ||
      (limit_before &&
       *load.limit_per_second > kNoticeableRise * *limit_before)) {
    found->second.throttle = {};
  }
  if (!load.share_per_second) {
    found->second.pace = {};
  }
  found->second.load = load;
  found->second.reported_at = now;
  found->second.sent_since_report = 0;
  found->second.sent_work_ns = 0;
}

void TargetSelector::SetReachable(const std::string& member,
                                  bool is_reachable) {
  this->entries[member].is_reachable = is_reachable;
}

void TargetSelector::SetPathDelay(const std::string& member, Duration delay) {
  const auto found = this->entries.find(member);
  if (found != this->entries.end()) {
    found->second.path_delay = delay;
  }
}

void TargetSelector::ApplyEvacuations(const EvacuationShift& shift,
                                      Instant now) {
  this->evacuations = shift;
  for (auto& [member, entry] : this->entries) {
    entry.is_evacuated =
        !shift.TakesWork(entry.target.data_centre, member, now);
  }
}

void TargetSelector::RecordSent(const std::string& member, Duration work) {
  Entry& entry = this->entries[member];
  ++entry.outstanding;
  ++entry.sent_since_report;
  entry.sent_work_ns += static_cast<double>(work.count());
}

void TargetSelector::RecordDone(const std::string& member) {
  const auto found = this->entries.find(member);
  if (found != this->entries.end()) {
    found->second.outstanding = std::max(0, found->second.outstanding - 1);
  }
}

void TargetSelector::RecordRefusal(const std::string& member, Duration wait,
                                   Instant now) {
  const auto found = this->entries.find(member);
  if (found != this->entries.end()) {
    found->second.refused_at = now;
    found->second.refused_wait = wait;
  }
}

void TargetSelector::RecordAdmitted(const std::string& member, int rank,
                                    Instant now) {
  const auto found = this->entries.find(member);
  if (found != this->entries.end() && found->second.load.limit_per_second) {
    found->second.throttle.RecordAdmitted(rank, now);
  }
}

void TargetSelector::RecordOverLimit(const std::string& member, int rank,
                                     Duration backoff, Instant now) {
  const auto found = this->entries.find(member);
  if (found != this->entries.end() && found->second.load.limit_per_second) {
    found->second.throttle.RecordRefused(rank, backoff, now);
  }
}

bool TargetSelector::HasRoom(Entry& entry, int rank, Instant now,
                             RandomSource& random) {
  if (entry.load.share_per_second) {
    return entry.pace.HasRoom(*entry.load.share_per_second, now, random);
  }
  return !entry.load.limit_per_second ||
         entry.throttle.Offer(rank, now, random);
}

double TargetSelector::PlannedSlots(const Entry& entry) {
  const double slots = entry.target.slots;
  if (!entry.load.limit_per_second) {
    return slots;
  }
  const Duration work = entry.load.mean_work > Duration::zero()
                            ? entry.load.mean_work
                            : kDefaultMeanWork;
  return std::min(slots, *entry.load.limit_per_second *
                             std::chrono::duration<double>(work).count());
}

double TargetSelector::MeanWorkNs(const Entry& entry) {
  return static_cast<double>((entry.load.mean_work > Duration::zero()
                                  ? entry.load.mean_work
                                  : kDefaultMeanWork)
                                 .count());
}

double TargetSelector::FailureCostNs(const Entry& entry) {
  return kFailureCostNs *
         std::max(0.0, entry.load.failed_fraction - kToleratedFailedFraction);
}

double TargetSelector::CapacityOf(const Entry& entry, Instant now) {
  return std::max(
      1.0, entry.target.slots *
               (now < entry.target.cold_until ? kColdCapacityFraction : 1.0));
}

std::string TargetSelector::ServiceOf(const std::string& member) const {
  const auto found = this->entries.find(member);
  return found == this->entries.end() ? std::string()
                                      : found->second.target.service;
}

std::map<std::string, double, std::less<>> TargetSelector::SlotsByService()
    const {
  std::map<std::string, double, std::less<>> slots;
  for (const auto& [member, entry] : this->entries) {
    if (IsEligible(entry)) {
      slots[entry.target.service] += PlannedSlots(entry);
    }
  }
  return slots;
}

int TargetSelector::RequestsAt(const Entry& entry) {
  return std::max(entry.outstanding, entry.load.running + entry.load.waiting +
                                         entry.sent_since_report);
}

Duration TargetSelector::WithKnownDelays(double wait_ns, const Entry& entry,
                                         Instant now) {
  const Duration wait(static_cast<Duration::rep>(wait_ns));
  const bool has_refused = now - entry.refused_at < kRefusalLifetime;
  return (has_refused ? std::max(wait, entry.refused_wait) : wait) +
         entry.path_delay;
}

TargetSelector::Estimate TargetSelector::EstimateOf(const Entry& entry,
                                                    double lowest_mean_work_ns,
                                                    Instant now) {
  const double capacity = CapacityOf(entry, now);
  const double requests_at_target = RequestsAt(entry);
  const bool has_reported_work = entry.load.mean_work > Duration::zero();
  const double work_ns = MeanWorkNs(entry);
  const double slowness_ns =
      has_reported_work
          ? std::max(0.0, work_ns - kToleratedSlowdown * lowest_mean_work_ns)
          : 0.0;
  const double excess = std::max(0.0, requests_at_target + 1 - capacity);
  const double utilization = std::min(1.0, requests_at_target / capacity);
  Estimate estimate;
  estimate.wait = WithKnownDelays(excess * work_ns / capacity, entry, now);
  estimate.cost_ns =
      static_cast<double>(estimate.wait.count()) +
      work_ns * std::max(0.0, utilization - kMaxUncontendedUtilization) +
      slowness_ns + FailureCostNs(entry);
  return estimate;
}

double TargetSelector::WaitByDemandNs(const Entry& entry, double capacity,
                                      double slowness, double slack_ns) {
  const TargetLoad& load = entry.load;
  const double beyond_slots = RequestsAt(entry) + 1 - capacity;
  if (beyond_slots <= 0) {
    return 0;
  }
  if (load.slowness <= 0) {
    // Its daemon does not weigh requests by their work.
    return beyond_slots * MeanWorkNs(entry) / capacity;
  }
  double wait_ns =
      std::min(static_cast<double>(load.last_wait.count()),
               std::max(static_cast<double>(load.first_wait.count()),
                        slack_ns * kUrgentSlackFraction));
  if (wait_ns == 0) {
    // The slots have been taken since the report. Until the first release:
    const double run_ns =
        load.running > 0
            ? static_cast<double>(load.remaining_work.count()) / load.running
            : MeanWorkNs(entry);
    wait_ns = run_ns / capacity;
  }
  if (entry.sent_since_report > 0) {
    const double sent = entry.sent_since_report;
    const double queued_since = std::min(sent, beyond_slots - 1);
    wait_ns += entry.sent_work_ns * slowness * queued_since / sent / capacity;
  }
  return wait_ns;
}

TargetSelector::Estimate TargetSelector::EstimateByDemand(
    const Entry& entry, const RequestDemand& demand, double mean_slowness,
    Instant now) {
  const double capacity = CapacityOf(entry, now);
  const double slowness =
      entry.load.slowness > 0 ? entry.load.slowness / mean_slowness : 1.0;
  const double work_ns =
      demand.work > Duration::zero()
          ? slowness * static_cast<double>(demand.work.count())
          : MeanWorkNs(entry);
  const double latency_target_ns = LatencyTargetNs(demand);
  const double utilization = std::min(1.0, RequestsAt(entry) / capacity);
  Estimate estimate;
  estimate.wait = WithKnownDelays(
      WaitByDemandNs(entry, capacity, slowness, latency_target_ns - work_ns),
      entry, now);
  const auto wait_ns = static_cast<double>(estimate.wait.count());
  // Speed counts by how much of the latency target the completion takes.
  estimate.cost_ns =
      wait_ns +
      work_ns * std::min(1.0, (wait_ns + work_ns) / latency_target_ns) +
      work_ns * kContentionAtFullUse *
          std::max(0.0, utilization - kMaxUncontendedUtilization) /
          (1 - kMaxUncontendedUtilization) +
      FailureCostNs(entry);
  return estimate;
}

void TargetSelector::RecordRun(const std::string& member) {
  const auto found = this->entries.find(member);
  if (found == this->entries.end() || found->second.load.slowness <= 0) {
    return;
  }
  MeanOfRuns& mean = this->run_slowness[found->second.target.service];
  mean.runs = std::min(mean.runs + 1, kSlownessRuns);
  mean.value += (found->second.load.slowness - mean.value) / mean.runs;
}

double TargetSelector::RunSlownessOf(std::string_view service) const {
  const auto found = this->run_slowness.find(service);
  return found == this->run_slowness.end() ? 1.0 : found->second.value;
}

double TargetSelector::RelativeSlownessOf(const std::string& member) const {
  const auto found = this->entries.find(member);
  if (found == this->entries.end() || found->second.load.slowness <= 0) {
    return 1;
  }
  return found->second.load.slowness /
         this->RunSlownessOf(found->second.target.service);
}

double TargetSelector::LowestMeanWorkNs(
    const std::set<std::string>& members) const {
  Duration lowest = Duration::max();
  for (const std::string& member : members) {
    const Entry& entry = this->entries.at(member);
    if (entry.target.accepts_work && entry.load.mean_work > Duration::zero()) {
      lowest = std::min(lowest, entry.load.mean_work);
    }
  }
  return static_cast<double>(lowest.count());
}

std::optional<Choice> TargetSelector::Choose(
    std::string_view service, const std::set<std::string>& excluded,
    Instant now, RandomSource& random, const ChoiceOptions& options) {
  const auto members = this->members_by_service.find(service);
  if (members == this->members_by_service.end()) {
    return std::nullopt;
  }
  std::optional<Choice> best;
  double best_cost = 0;
  bool best_is_limited = false;
  std::size_t candidates = 0;
  const double lowest_mean_work_ns =
      options.demand ? 0 : this->LowestMeanWorkNs(members->second);
  const double mean_slowness =
      options.demand ? this->RunSlownessOf(service) : 1;
  const bool is_exploring = random() % kChoicesPerExploration == 0;
  for (const std::string& member : members->second) {
    Entry& entry = this->entries.at(member);
    if (!IsEligible(entry) || excluded.contains(member) ||
        !IsHome(options.route_homes, entry.target.region) ||
        !IsHome(options.account_homes, entry.target.region) ||
        !HasRoom(entry, options.rank, now, random)) {
      continue;
    }
    ++candidates;
    const Estimate estimate =
        options.demand
            ? EstimateByDemand(entry, *options.demand, mean_slowness, now)
            : EstimateOf(entry, lowest_mean_work_ns, now);
    const double jitter =
        kMaxJitterNs * static_cast<double>(random() % 1024) / 1024.0;
    const double cost =
        is_exploring ? jitter + static_cast<double>(estimate.wait.count())
                     : estimate.cost_ns +
                           HopCostNs(entry.target.distance, options) + jitter;
    const bool is_limited =
        options.prefers_unlimited && entry.load.limit_per_second.has_value();
    if (!best ||
        std::pair(is_limited, cost) < std::pair(best_is_limited, best_cost)) {
      best = Choice{.member = member,
                    .instance = entry.target.instance,
                    .expected_wait = estimate.wait};
      best_cost = cost;
      best_is_limited = is_limited;
    }
  }
  if (best) {
    best->candidates = candidates;
    Entry& chosen = this->entries.at(best->member);
    if (chosen.load.share_per_second) {
      chosen.pace.Spend(*chosen.load.share_per_second, now);
    }
  }
  return best;
}

bool TargetSelector::HasLimitedTarget(std::string_view service) const {
  const auto members = this->members_by_service.find(service);
  return members != this->members_by_service.end() &&
         std::any_of(members->second.begin(), members->second.end(),
                     [&](const std::string& member) {
                       const Entry& entry = this->entries.at(member);
                       return IsEligible(entry) && entry.load.limit_per_second;
                     });
}

std::size_t TargetSelector::CountEvacuatedTargets() const {
  return static_cast<std::size_t>(std::count_if(
      this->entries.begin(), this->entries.end(),
      [](const auto& entry) { return entry.second.is_evacuated; }));
}

std::map<std::string, Duration, std::less<>> TargetSelector::WaitByService()
    const {
  std::map<std::string, std::pair<double, double>> sums;  // work, slots
  for (const auto& [member, entry] : this->entries) {
    if (IsEligible(entry)) {
      auto& [work_ns, slots] = sums[entry.target.service];
      work_ns += entry.load.waiting *
                 static_cast<double>(entry.load.mean_work.count());
      slots += PlannedSlots(entry);
    }
  }
  std::map<std::string, Duration, std::less<>> waits;
  for (const auto& [service, sum] : sums) {
    waits[service] = Duration(
        static_cast<Duration::rep>(sum.first / std::max(1.0, sum.second)));
  }
  return waits;
}

std::size_t TargetSelector::CountAcceptingTargets(
    std::string_view service) const {
  const auto members = this->members_by_service.find(service);
  if (members == this->members_by_service.end()) {
    return 0;
  }
  return static_cast<std::size_t>(
      std::count_if(members->second.begin(), members->second.end(),
                    [this](const std::string& member) {
                      return this->entries.at(member).target.accepts_work;
                    }));
}

}  // namespace lycheewell::core::routing
