#include "lycheewell/core/overload/demand_model.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace lycheewell::core::overload {
namespace {

// Counts of peers come about once a second.
constexpr Duration kJudgementPeriod = std::chrono::milliseconds(1000);

// Weight of the last period in the averages: bursts last seconds, and what a
// request needs changes only with the speed of targets.
constexpr double kLastPeriodWeight = 0.4;

// Part of a service's slots that is planned to be used. It starts near all of
// them and follows the part of the wanted work that finds no slot: requests can
// wait for a moment, and what is known of needs and slots is never exact.
constexpr double kFirstPlannedUse = 0.97;
constexpr double kLeastPlannedUse = 0.85;
constexpr double kMostPlannedUse = 1.3;
constexpr double kUnmetWithRoom = 0.005;
constexpr double kUnmetWithoutRoom = 0.015;
constexpr double kRaisePlannedUse = 1.04;
constexpr double kLowerPlannedUse = 0.93;

// Every route enters at least with this part of the part of all requests that
// enters: no kind of request is to be served less than a quarter as often as
// all. The second bound keeps needs known.
constexpr double kLeastPartOfAll = 0.35;
constexpr double kLeastPart = 0.05;

// Below this rate the need of a route is not known well enough.
constexpr double kLeastRate = 0.5;

// Needs fall by at most this factor in a judgement, and by the second one while
// more than this part of the route's requests are starved: what fails early for
// lack of room has not shown what it needs.
constexpr double kSlowestFall = 0.6;
constexpr double kSlowestFallStarved = 0.93;
constexpr double kFewStarved = 0.05;

// A starved request is taken to have done this part of its work.
constexpr double kWorkOfStarved = 0.3;

// A part moves at most by this factor and step in one judgement, up or down.
constexpr double kFastest = 2.0;
constexpr double kSmallestStep = 0.1;

double Seconds(Duration duration) {
  return std::chrono::duration<double>(duration).count();
}

// `weight` is that of the last period.
double Averaged(double before, double last, double weight) {
  return before + weight * (last - before);
}

}  // namespace

void DemandModel::Report(const std::string& source, const std::string& service,
                         const std::map<std::string, RouteDemand>& counts) {
  const auto [known_source, is_first] = this->known.try_emplace(source);
  for (const auto& [name, now] : counts) {
    RouteDemand& before = known_source->second[name];
    if (!is_first) {
      if (now.offered < before.offered || now.entered < before.entered ||
          now.work < before.work || now.unmet < before.unmet ||
          now.ended < before.ended || now.starved < before.starved) {
        before = {};  // the source has restarted
      }
      Route& route = this->routes[name];
      route.offered += now.offered - before.offered;
      route.entered += now.entered - before.entered;
      route.ended += now.ended - before.ended;
      route.starved += now.starved - before.starved;
      route.work[service] += now.work - before.work;
      route.unmet[service] += now.unmet - before.unmet;
    }
    before = now;
  }
}

bool DemandModel::IsDue(Instant now) const {
  return now - this->judged_at >= kJudgementPeriod;
}

void DemandModel::Average(double seconds) {
  for (auto& [name, route] : this->routes) {
    ++route.judgements;
    const double weight = std::max(kLastPeriodWeight, 1.0 / route.judgements);
    const auto average = [&](double& rate, std::uint64_t& count) {
      rate = Averaged(
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
      slots = Averaged(slots, Seconds(wanted) / seconds, weight);
      this->LearnNeed(route, service);
    }
  }
}

void DemandModel::LearnNeed(Route& route, const std::string& service) const {
  if (route.entered_rate < kLeastRate) {
    return;
  }
  // Starved requests have done their work at services before the one that has
  // no room, and waited there.
  const auto known = this->services.find(service);
  const bool has_no_room = known != this->services.end() &&
                           known->second.unmet_part > kUnmetWithRoom;
  const double starving =
      has_no_room && route.ended_rate > 0
          ? std::clamp(route.starved_rate / route.ended_rate, 0.0, 1.0)
          : 0.0;
  const double seen = route.slots_wanted[service] / route.entered_rate /
                      (1 - starving * (1 - kWorkOfStarved));
  double& need = route.needs[service];
  need = std::max(seen, need * (starving > kFewStarved ? kSlowestFallStarved
                                                       : kSlowestFall));
}

void DemandModel::AdjustPlannedUse() {
  std::map<std::string_view, std::pair<Duration, Duration>> sums;
  for (const auto& [name, route] : this->routes) {
    for (const auto& [service, work] : route.work) {
      auto& [wanted, unmet] = sums[service];
      const auto found = route.unmet.find(service);
      const Duration missed =
          found == route.unmet.end() ? Duration::zero() : found->second;
      wanted += work + missed;
      unmet += missed;
    }
  }
  for (auto& [name, service] : this->services) {
    if (service.planned_use == 0) {
      service.planned_use = kFirstPlannedUse;
    }
    const auto& [wanted, unmet] = sums[name];
    service.unmet_part =
        wanted > Duration::zero() ? Seconds(unmet) / Seconds(wanted) : 0;
    if (service.unmet_part > kUnmetWithoutRoom) {
      service.planned_use *= kLowerPlannedUse;
    } else if (service.unmet_part < kUnmetWithRoom && service.is_short) {
      service.planned_use *= kRaisePlannedUse;
    }
    service.planned_use =
        std::clamp(service.planned_use, kLeastPlannedUse, kMostPlannedUse);
  }
}

// What is planned to be used, without work that no route can answer for.
DemandModel::Room DemandModel::RoomForRoutes() const {
  Room room;
  for (const auto& [name, service] : this->services) {
    room[name] = service.slots * service.planned_use;
  }
  for (const auto& [name, route] : this->routes) {
    if (route.entered_rate >= kLeastRate) {
      continue;
    }
    for (const auto& [service, wanted] : route.slots_wanted) {
      const auto found = room.find(service);
      if (found != room.end()) {
        found->second -= wanted;
      }
    }
  }
  return room;
}

void DemandModel::FindShortServices(const Room& room) {
  std::map<std::string_view, double> offered;
  for (const auto& [name, route] : this->routes) {
    for (const auto& [service, need] : route.needs) {
      offered[service] += need * route.offered_rate;
    }
  }
  for (auto& [name, service] : this->services) {
    service.is_short = offered[name] > room.find(name)->second;
  }
}

double DemandModel::LeastPart() const {
  double offered = 0;
  double entered = 0;
  for (const auto& [name, route] : this->routes) {
    offered += route.offered_rate;
    entered += route.entered_rate;
  }
  const double all = offered > 0 ? std::min(1.0, entered / offered) : 1.0;
  return std::max(kLeastPart, kLeastPartOfAll * all);
}

double DemandModel::Take(const Route& route, double part, Room& room) {
  double most = part;
  for (const auto& [service, need] : route.needs) {
    const auto found = room.find(service);
    const double wanted = need * route.offered_rate;
    if (found != room.end() && wanted > 0) {
      most = std::min(most, std::max(0.0, found->second) / wanted);
    }
  }
  for (const auto& [service, need] : route.needs) {
    const auto found = room.find(service);
    if (found != room.end()) {
      found->second -= most * need * route.offered_rate;
    }
  }
  return most;
}

void DemandModel::Judge(Instant now) {
  this->AdjustPlannedUse();
  this->Average(std::max(0.1, Seconds(now - this->judged_at)));
  this->judged_at = now;
  Room room = this->RoomForRoutes();
  this->FindShortServices(room);
  std::vector<Route*> order;
  for (auto& [name, route] : this->routes) {
    if (route.entered_rate >= kLeastRate) {
      order.push_back(&route);
    } else {
      // Too few requests to matter, and to learn from.
      route.part = std::min(1.0, route.part * kFastest + kSmallestStep);
    }
  }
  // The most important first; among equals those that need least, so that as
  // many requests as possible are served.
  const auto total_need = [](const Route& route) {
    double total = 0;
    for (const auto& [service, need] : route.needs) {
      total += need;
    }
    return total;
  };
  std::sort(order.begin(), order.end(),
            [&](const Route* left, const Route* right) {
              return std::pair(left->rank, total_need(*left)) <
                     std::pair(right->rank, total_need(*right));
            });
  const double least = this->LeastPart();
  std::vector<double> parts;
  for (const Route* route : order) {
    Take(*route, least, room);
    parts.push_back(least);
  }
  for (std::size_t i = 0; i < order.size(); ++i) {
    parts[i] += Take(*order[i], 1 - least, room);
    Route& route = *order[i];
    route.part = std::clamp(parts[i], route.part / kFastest - kSmallestStep,
                            route.part * kFastest + kSmallestStep);
    route.part = std::clamp(route.part, least, 1.0);
  }
}

bool DemandModel::Admit(const std::string& route, int rank) {
  const auto found = this->routes.find(route);
  if (found == this->routes.end()) {
    return true;
  }
  Route& entry = found->second;
  entry.rank = rank;
  if (entry.part >= 1) {
    return true;
  }
  entry.credit += entry.part;
  if (entry.credit < 1) {
    return false;
  }
  entry.credit -= 1;
  return true;
}

std::vector<DemandModel::Judgement> DemandModel::Judgements() const {
  std::map<std::string_view, double> wanted;
  for (const auto& [name, route] : this->routes) {
    for (const auto& [service, need] : route.needs) {
      wanted[service] += need * route.offered_rate;
    }
  }
  std::vector<Judgement> judgements;
  for (const auto& [name, route] : this->routes) {
    Judgement judgement{.route = name,
                        .part = route.part,
                        .offered_rate = route.offered_rate,
                        .entered_rate = route.entered_rate};
    for (const auto& [service, need] : route.needs) {
      const auto found = this->services.find(service);
      const double slots =
          found == this->services.end() ? 0 : found->second.slots;
      const double use = slots > 0 ? wanted[service] / slots : 0;
      if (use > judgement.scarce_use && need > 0) {
        judgement.scarce_service = service;
        judgement.scarce_use = use;
        judgement.need = need;
      }
    }
    judgements.push_back(std::move(judgement));
  }
  return judgements;
}

double DemandModel::admitted_part(std::string_view route) const {
  const auto found = this->routes.find(route);
  return found == this->routes.end() ? 1.0 : found->second.part;
}

double DemandModel::NeedOf(std::string_view route,
                           std::string_view service) const {
  const auto found = this->routes.find(route);
  if (found == this->routes.end()) {
    return 0;
  }
  const auto need = found->second.needs.find(service);
  return need == found->second.needs.end() ? 0 : need->second;
}

}  // namespace lycheewell::core::overload
