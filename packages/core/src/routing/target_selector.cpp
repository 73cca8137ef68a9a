#include "lycheewell/core/routing/target_selector.h"

#include <algorithm>

namespace lycheewell::core::routing {
namespace {

// What a hop costs in processor time and bytes, expressed as waiting time.
constexpr Duration kDataCentreCost = std::chrono::milliseconds(2);
constexpr Duration kFarCost = std::chrono::milliseconds(5);

// Below this utilisation a target's speed does not depend on its load.
constexpr double kCalmUtilisation = 0.6;

// A failed request costs its caller this much waiting time at the least. Only
// the order of targets follows from it: where all of them fail, all get work.
constexpr double kFailureCostNs = 500e6;

// Single failures do not move requests to another data centre.
constexpr double kUsualFailingPart = 0.1;

// A target whose mean work is more than this many times that of the fastest one
// is out of order; what lies beyond counts as cost. Usual differences in speed
// are not worth the way to another data centre.
constexpr double kUsualSlowness = 4.0;

// One choice in this many goes to any target, so that one that was passed over
// shows whether it has recovered.
constexpr std::uint64_t kExplorationTurns = 100;

// A cold target's slots count for this part.
constexpr double kColdCapacity = 0.5;

// Mean work assumed for a target that has reported none.
constexpr Duration kUnknownWork = std::chrono::milliseconds(50);

// A refusal's word about the wait counts for this long; reports of load come
// several times as often.
constexpr Duration kRefusalLifetime = std::chrono::milliseconds(200);

// Costs within this are equal; the choice among them is random, so that
// daemons with the same news do not all choose the same target.
constexpr double kTieNs = 1e6;

}  // namespace

void TargetSelector::Put(const std::string& member, const TargetOptions& target,
                         Instant now) {
  Entry& entry = this->entries[member];
  if (entry.target.service != target.service) {
    this->by_service[entry.target.service].erase(member);
  }
  if (entry.target.instance != target.instance) {
    const int outstanding = entry.outstanding;
    const bool is_reachable = entry.is_reachable;
    entry = Entry{.is_reachable = is_reachable, .outstanding = outstanding};
    entry.reported_at = now;
  }
  entry.target = target;
  this->by_service[target.service].insert(member);
}

void TargetSelector::Remove(const std::string& member) {
  const auto found = this->entries.find(member);
  if (found == this->entries.end()) {
    return;
  }
  this->by_service[found->second.target.service].erase(member);
  this->entries.erase(found);
}

void TargetSelector::Report(const std::string& member, const TargetLoad& load,
                            Instant now) {
  const auto found = this->entries.find(member);
  if (found == this->entries.end()) {
    return;
  }
  found->second.load = load;
  found->second.reported_at = now;
  found->second.sent_since_report = 0;
}

void TargetSelector::SetReachable(const std::string& member,
                                  bool is_reachable) {
  this->entries[member].is_reachable = is_reachable;
}

void TargetSelector::RecordSent(const std::string& member) {
  Entry& entry = this->entries[member];
  ++entry.outstanding;
  ++entry.sent_since_report;
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

double TargetSelector::CapacityOf(const Entry& entry, Instant now) {
  return std::max(1.0,
                  entry.target.slots *
                      (now < entry.target.cold_until ? kColdCapacity : 1.0));
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
    if (entry.target.accepts_work && entry.is_reachable) {
      slots[entry.target.service] += entry.target.slots;
    }
  }
  return slots;
}

TargetSelector::Estimate TargetSelector::EstimateOf(const Entry& entry,
                                                    double fastest_ns,
                                                    Instant now) {
  const double capacity = CapacityOf(entry, now);
  const int reported = entry.load.running + entry.load.waiting;
  const double present = static_cast<double>(
      std::max(entry.outstanding, reported + entry.sent_since_report));
  const Duration work = entry.load.mean_work > Duration::zero()
                            ? entry.load.mean_work
                            : kUnknownWork;
  const auto work_ns = static_cast<double>(work.count());
  const double excess = present + 1 - capacity;
  Estimate estimate;
  if (excess > 0) {
    estimate.wait =
        Duration(static_cast<Duration::rep>(excess * work_ns / capacity));
  }
  if (now - entry.refused_at < kRefusalLifetime) {
    estimate.wait = std::max(estimate.wait, entry.refused_wait);
  }
  const double utilisation = std::min(1.0, present / capacity);
  estimate.cost_ns = static_cast<double>(estimate.wait.count()) +
                     work_ns * std::max(0.0, utilisation - kCalmUtilisation) +
                     std::max(0.0, work_ns - kUsualSlowness * fastest_ns) +
                     kFailureCostNs * std::max(0.0, entry.load.failing_part -
                                                        kUsualFailingPart);
  if (entry.target.distance == Distance::kSameDataCentre) {
    estimate.cost_ns += static_cast<double>(kDataCentreCost.count());
  } else if (entry.target.distance == Distance::kOtherDataCentre) {
    estimate.cost_ns += static_cast<double>(kFarCost.count());
  }
  return estimate;
}

double TargetSelector::FastestWork(const std::set<std::string>& members) const {
  Duration fastest = Duration::max();
  for (const std::string& member : members) {
    const Entry& entry = this->entries.at(member);
    if (entry.target.accepts_work && entry.load.mean_work > Duration::zero()) {
      fastest = std::min(fastest, entry.load.mean_work);
    }
  }
  return static_cast<double>(fastest.count());
}

std::optional<Choice> TargetSelector::Choose(
    std::string_view service, const std::set<std::string>& excluded,
    Instant now, RandomSource& random) const {
  const auto members = this->by_service.find(service);
  if (members == this->by_service.end()) {
    return std::nullopt;
  }
  std::optional<Choice> best;
  double best_cost = 0;
  std::size_t candidates = 0;
  const double fastest_ns = this->FastestWork(members->second);
  const bool explores = random() % kExplorationTurns == 0;
  for (const std::string& member : members->second) {
    const Entry& entry = this->entries.at(member);
    if (!entry.target.accepts_work || !entry.is_reachable ||
        excluded.contains(member)) {
      continue;
    }
    ++candidates;
    const Estimate estimate = EstimateOf(entry, fastest_ns, now);
    const double jitter =
        kTieNs * static_cast<double>(random() % 1024) / 1024.0;
    const double cost =
        explores ? jitter + static_cast<double>(estimate.wait.count())
                 : estimate.cost_ns + jitter;
    if (!best || cost < best_cost) {
      best = Choice{.member = member,
                    .instance = entry.target.instance,
                    .expected_wait = estimate.wait};
      best_cost = cost;
    }
  }
  if (best) {
    best->candidates = candidates;
  }
  return best;
}

std::size_t TargetSelector::CountOf(std::string_view service) const {
  const auto members = this->by_service.find(service);
  if (members == this->by_service.end()) {
    return 0;
  }
  return static_cast<std::size_t>(
      std::count_if(members->second.begin(), members->second.end(),
                    [this](const std::string& member) {
                      return this->entries.at(member).target.accepts_work;
                    }));
}

}  // namespace lycheewell::core::routing
