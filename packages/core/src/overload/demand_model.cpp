#include "lycheewell/core/overload/demand_model.h"

#include <algorithm>
#include <utility>
#include <vector>

#include "lycheewell/core/overload/entry_brake.h"

namespace lycheewell::core::overload {
namespace {

// Peers report their counters about once a second.
constexpr Duration kUpdatePeriod = std::chrono::milliseconds(1000);

// Weight of the last period in the moving averages. Bursts last for seconds,
// and the slot demand of a request changes only with the speed of the targets.
constexpr double kMovingAverageWeight = 0.4;

// Initial value and bounds of the planned utilization: the fraction of a
// service's slots that Update() allocates. It starts near 1 and follows the
// fraction of the wanted work that gets no slot. It may exceed 1 because
// requests can wait briefly, and because the estimates of slot demand and of
// slots are inexact.
constexpr double kInitialPlannedUtilization = 0.97;
constexpr double kMinPlannedUtilization = 0.85;
constexpr double kMaxPlannedUtilization = 1.3;
// While the unmet fraction is below kLowUnmetFraction and the service is
// overloaded, each update multiplies the planned utilization by the increase.
// Above kHighUnmetFraction it multiplies it by the decrease.
constexpr double kLowUnmetFraction = 0.005;
constexpr double kHighUnmetFraction = 0.015;
constexpr double kPlannedUtilizationIncrease = 1.04;
constexpr double kPlannedUtilizationDecrease = 0.93;

// Lower bounds of a route's admitted fraction. kMinFractionOfOverall is
// relative to the admitted fraction of all requests. It keeps this bound: no
// route may be served less than a quarter as often as all requests.
// kMinAdmittedFraction admits enough requests to keep the estimate of the slot
// demand current.
constexpr double kMinFractionOfOverall = 0.45;
constexpr double kMinAdmittedFraction = 0.05;

// Each round halves the distance of the bound from its fixed point.
constexpr int kPlanRounds = 8;

// Admitted requests per second below which the estimate of a route's slot
// demand is not accurate enough.
constexpr double kMinEnteredRate = 0.5;

// Lower bounds of the ratio of a new slot demand to the previous one. While
// the starved fraction of the route's requests exceeds
// kStarvedFractionThreshold, kMinDemandRatioStarved applies: requests that fail
// early do not show their full demand.
constexpr double kMinDemandRatio = 0.6;
constexpr double kMinDemandRatioStarved = 0.93;
constexpr double kStarvedFractionThreshold = 0.05;

// Fraction of its work that a starved request is assumed to have done.
constexpr double kStarvedWorkFraction = 0.3;

// In one update, an admitted fraction f rises to at most
// f * kMaxChangeFactor + kMaxChangeStep and falls to no less than
// f / kMaxChangeFactor - kMaxChangeStep.
constexpr double kMaxChangeFactor = 2.0;
constexpr double kMaxChangeStep = 0.1;

// Requests of a route that one daemon may admit ahead of their time.
constexpr double kMaxAdmittedAhead = 5;

double Seconds(Duration duration) {
  return std::chrono::duration<double>(duration).count();
}

double MovingAverage(double previous, double sample, double weight) {
  return previous + weight * (sample - previous);
}

}  // namespace

RouteDemand& RouteDemand::operator+=(const RouteDemand& other) {
  this->offered += other.offered;
  this->entered += other.entered;
  this->work += other.work;
  this->unmet += other.unmet;
  this->ended += other.ended;
  this->starved += other.starved;
  return *this;
}

RouteDemand IncreaseSince(const RouteDemand& previous,
                          const RouteDemand& current) {
  if (current.offered < previous.offered ||
      current.entered < previous.entered || current.work < previous.work ||
      current.unmet < previous.unmet || current.ended < previous.ended ||
      current.starved < previous.starved) {
    return current;
  }
  return {.offered = current.offered - previous.offered,
          .entered = current.entered - previous.entered,
          .work = current.work - previous.work,
          .unmet = current.unmet - previous.unmet,
          .ended = current.ended - previous.ended,
          .starved = current.starved - previous.starved};
}

void DemandModel::Report(const std::string& source, const std::string& service,
                         const std::map<std::string, RouteDemand>& counts) {
  const auto [source_counts, is_first] = this->last_counts.try_emplace(source);
  for (const auto& [name, current] : counts) {
    RouteDemand& previous = source_counts->second[name];
    if (!is_first) {
      const RouteDemand increase = IncreaseSince(previous, current);
      Route& route = this->routes[name];
      route.offered += increase.offered;
      route.entered += increase.entered;
      route.ended += increase.ended;
      route.starved += increase.starved;
      route.work[service] += increase.work;
      route.unmet[service] += increase.unmet;
    }
    previous = current;
  }
}

bool DemandModel::IsUpdateDue(Instant now) const {
  return now - this->updated_at >= kUpdatePeriod;
}

void DemandModel::UpdateAverages(double seconds) {
  for (auto& [name, route] : this->routes) {
    ++route.updates;
    const double weight = std::max(kMovingAverageWeight, 1.0 / route.updates);
    const auto average = [&](double& rate, std::uint64_t& count) {
      rate = MovingAverage(
          rate, static_cast<double>(std::exchange(count, 0)) / seconds, weight);
    };
    average(route.offered_rate, route.offered);
    average(route.entered_rate, route.entered);
    average(route.ended_rate, route.ended);
    average(route.starved_rate, route.starved);
    for (auto& [service, work] : route.work) {
      const Duration wanted =
          std::exchange(work, {}) + std::exchange(route.unmet[service], {});
      double& slots = route.slots_wanted[service];
      slots = MovingAverage(slots, Seconds(wanted) / seconds, weight);
      this->UpdateSlotDemand(route, service);
    }
  }
}

void DemandModel::UpdateSlotDemand(Route& route,
                                   const std::string& service) const {
  if (route.entered_rate < kMinEnteredRate) {
    return;
  }
  // Starved requests have used and waited for slots of the services upstream of
  // the overloaded one, so only a service with unmet work of its own is
  // corrected for them.
  const auto found = this->services.find(service);
  const bool has_unmet_work = found != this->services.end() &&
                              found->second.unmet_fraction > kLowUnmetFraction;
  const double starved_fraction =
      has_unmet_work && route.ended_rate > 0
          ? std::clamp(route.starved_rate / route.ended_rate, 0.0, 1.0)
          : 0.0;
  const double observed = route.slots_wanted[service] / route.entered_rate /
                          (1 - starved_fraction * (1 - kStarvedWorkFraction));
  double& demand = route.slot_demand[service];
  demand =
      std::max(observed, demand * (starved_fraction > kStarvedFractionThreshold
                                       ? kMinDemandRatioStarved
                                       : kMinDemandRatio));
}

void DemandModel::AdjustPlannedUtilization() {
  std::map<std::string_view, std::pair<Duration, Duration>> sums;
  for (const auto& [name, route] : this->routes) {
    for (const auto& [service, work] : route.work) {
      auto& [wanted, unmet] = sums[service];
      const auto found = route.unmet.find(service);
      const Duration route_unmet =
          found == route.unmet.end() ? Duration::zero() : found->second;
      wanted += work + route_unmet;
      unmet += route_unmet;
    }
  }
  for (auto& [name, service] : this->services) {
    if (service.planned_utilization == 0) {
      service.planned_utilization = kInitialPlannedUtilization;
    }
    const auto& [wanted, unmet] = sums[name];
    service.unmet_fraction =
        wanted > Duration::zero() ? Seconds(unmet) / Seconds(wanted) : 0;
    if (service.unmet_fraction > kHighUnmetFraction) {
      service.planned_utilization *= kPlannedUtilizationDecrease;
    } else if (service.unmet_fraction < kLowUnmetFraction &&
               service.is_overloaded && service.brake_factor >= 1) {
      service.planned_utilization *= kPlannedUtilizationIncrease;
    }
    service.planned_utilization =
        std::clamp(service.planned_utilization, kMinPlannedUtilization,
                   kMaxPlannedUtilization);
  }
}

// Planned slots by service, less the work of routes whose slot demand is not
// known.
DemandModel::Capacity DemandModel::CapacityForRoutes() const {
  Capacity capacity;
  for (const auto& [name, service] : this->services) {
    double slots = service.slots * service.planned_utilization;
    if (service.brake_factor < 1) {
      // Its queues grow although the admitted requests should fit.
      slots = std::min(slots, service.slots_entered) * service.brake_factor;
    }
    capacity[name] = slots;
  }
  for (const auto& [name, route] : this->routes) {
    if (route.entered_rate >= kMinEnteredRate) {
      continue;
    }
    for (const auto& [service, wanted] : route.slots_wanted) {
      const auto found = capacity.find(service);
      if (found != capacity.end()) {
        found->second -= wanted;
      }
    }
  }
  return capacity;
}

void DemandModel::FindOverloadedServices(const Capacity& capacity) {
  std::map<std::string_view, double> offered;
  std::map<std::string_view, double> entered;
  for (const auto& [name, route] : this->routes) {
    for (const auto& [service, demand] : route.slot_demand) {
      offered[service] += demand * route.offered_rate;
      entered[service] += demand * route.entered_rate;
    }
  }
  for (auto& [name, service] : this->services) {
    service.slots_entered = entered[name];
    service.is_overloaded = offered[name] > capacity.find(name)->second;
  }
}

double DemandModel::Allocate(const Route& route, double max_fraction,
                             Capacity& capacity) {
  double allocated = max_fraction;
  for (const auto& [service, demand] : route.slot_demand) {
    const auto found = capacity.find(service);
    const double wanted = demand * route.offered_rate;
    if (found != capacity.end() && wanted > 0) {
      allocated = std::min(allocated, std::max(0.0, found->second) / wanted);
    }
  }
  for (const auto& [service, demand] : route.slot_demand) {
    const auto found = capacity.find(service);
    if (found != capacity.end()) {
      found->second -= allocated * demand * route.offered_rate;
    }
  }
  return allocated;
}

void DemandModel::Update(Instant now) {
  this->AdjustPlannedUtilization();
  this->UpdateAverages(std::max(0.1, Seconds(now - this->updated_at)));
  this->updated_at = now;
  const Capacity capacity = this->CapacityForRoutes();
  this->FindOverloadedServices(capacity);
  this->PlanRoutes(capacity);
}

bool DemandModel::IsFollowDue(Instant now) const {
  return now - this->followed_at >= kBrakePeriod;
}

void DemandModel::FollowQueues(
    const std::map<std::string, Duration, std::less<>>& waits, Instant now) {
  this->followed_at = now;
  bool has_changed = false;
  for (auto& [name, service] : this->services) {
    const auto wait = waits.find(name);
    const double factor = wait == waits.end() ? 1 : BrakeFactor(wait->second);
    has_changed = has_changed || factor < 1 || service.brake_factor < 1;
    service.brake_factor = factor;
  }
  if (has_changed) {
    this->PlanRoutes(this->CapacityForRoutes());
  }
}

double DemandModel::lowest_brake_factor() const {
  double lowest = 1;
  for (const auto& [name, service] : this->services) {
    lowest = std::min(lowest, service.brake_factor);
  }
  return lowest;
}

void DemandModel::PlanRoutes(const Capacity& capacity) {
  std::vector<Route*> order;
  for (auto& [name, route] : this->routes) {
    if (route.entered_rate >= kMinEnteredRate) {
      order.push_back(&route);
    } else {
      // Too few requests are admitted to affect a service or to estimate the
      // slot demand.
      route.admitted_fraction = std::min(
          1.0, route.admitted_fraction * kMaxChangeFactor + kMaxChangeStep);
    }
  }
  // The most important routes come first. Among equals, those with the lowest
  // slot demand come first, so that as many requests as possible are served.
  const auto total_demand = [](const Route& route) {
    double total = 0;
    for (const auto& [service, demand] : route.slot_demand) {
      total += demand;
    }
    return total;
  };
  std::sort(order.begin(), order.end(),
            [&](const Route* left, const Route* right) {
              return std::pair(left->priority, total_demand(*left)) <
                     std::pair(right->priority, total_demand(*right));
            });
  const Plan plan = PlanFractions(order, capacity);
  for (std::size_t i = 0; i < order.size(); ++i) {
    Route& route = *order[i];
    route.admitted_fraction =
        std::clamp(plan.fractions[i],
                   route.admitted_fraction / kMaxChangeFactor - kMaxChangeStep,
                   route.admitted_fraction * kMaxChangeFactor + kMaxChangeStep);
    route.admitted_fraction =
        std::clamp(route.admitted_fraction, plan.min_fraction, 1.0);
  }
}

DemandModel::Plan DemandModel::PlanFractions(const std::vector<Route*>& order,
                                             const Capacity& capacity) {
  Plan plan{.min_fraction = kMinAdmittedFraction};
  // The lower bound depends on the fraction of all requests, which depends on
  // the bound.
  for (int round = 0; round < kPlanRounds; ++round) {
    Capacity left = capacity;
    plan.fractions.clear();
    for (const Route* route : order) {
      Allocate(*route, plan.min_fraction, left);
      plan.fractions.push_back(plan.min_fraction);
    }
    double offered = 0;
    double admitted = 0;
    for (std::size_t i = 0; i < order.size(); ++i) {
      plan.fractions[i] += Allocate(*order[i], 1 - plan.min_fraction, left);
      offered += order[i]->offered_rate;
      admitted += plan.fractions[i] * order[i]->offered_rate;
    }
    const double overall = offered > 0 ? admitted / offered : 1.0;
    const double wanted =
        std::max(kMinAdmittedFraction, kMinFractionOfOverall * overall);
    plan.min_fraction = (plan.min_fraction + wanted) / 2;
  }
  return plan;
}

bool DemandModel::Admit(const std::string& route, int priority,
                        bool goes_first) {
  const auto found = this->routes.find(route);
  if (found == this->routes.end()) {
    return true;
  }
  Route& entry = found->second;
  entry.priority = priority;
  if (entry.admitted_fraction >= 1) {
    return true;
  }
  entry.credit += entry.admitted_fraction;
  if (entry.credit < (goes_first ? -kMaxAdmittedAhead : 1)) {
    return false;
  }
  entry.credit -= 1;
  return true;
}

std::vector<DemandModel::Decision> DemandModel::Decisions() const {
  std::map<std::string_view, double> wanted;
  for (const auto& [name, route] : this->routes) {
    for (const auto& [service, demand] : route.slot_demand) {
      wanted[service] += demand * route.offered_rate;
    }
  }
  std::vector<Decision> decisions;
  for (const auto& [name, route] : this->routes) {
    Decision decision{.route = name,
                      .admitted_fraction = route.admitted_fraction,
                      .offered_rate = route.offered_rate,
                      .entered_rate = route.entered_rate};
    for (const auto& [service, demand] : route.slot_demand) {
      const auto found = this->services.find(service);
      const double slots =
          found == this->services.end() ? 0 : found->second.slots;
      const double utilization = slots > 0 ? wanted[service] / slots : 0;
      if (utilization > decision.bottleneck_utilization && demand > 0) {
        decision.bottleneck_service = service;
        decision.bottleneck_utilization = utilization;
        decision.bottleneck_demand = demand;
      }
    }
    decisions.push_back(std::move(decision));
  }
  return decisions;
}

double DemandModel::admitted_fraction(std::string_view route) const {
  const auto found = this->routes.find(route);
  return found == this->routes.end() ? 1.0 : found->second.admitted_fraction;
}

double DemandModel::SlotDemandOf(std::string_view route,
                                 std::string_view service) const {
  const auto found = this->routes.find(route);
  if (found == this->routes.end()) {
    return 0;
  }
  const auto demand = found->second.slot_demand.find(service);
  return demand == found->second.slot_demand.end() ? 0 : demand->second;
}

}  // namespace lycheewell::core::overload
