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

// Slots are planned to be used up to this part. Above it requests queue at one
// target while another one has room, and calls give up waiting.
constexpr double kPlannedUse = 0.9;

// Part of a route that always enters: no kind of request starves while others
// are served, and its need stays known.
constexpr double kLeastPart = 0.2;

// Below this rate the need of a route is not known well enough.
constexpr double kLeastRate = 0.5;

// Needs fall by at most this factor in a judgement. Requests that fail early
// for lack of room seem to need less than they do.
constexpr double kSlowestFall = 0.93;

// A part moves at most by this factor and step in one judgement, up or down.
constexpr double kFastest = 2.0;
constexpr double kSmallestStep = 0.1;

double Seconds(Duration duration) {
  return std::chrono::duration<double>(duration).count();
}

double Averaged(double before, double last) {
  return before + kLastPeriodWeight * (last - before);
}

}  // namespace

void DemandModel::Report(const std::string& source, const std::string& service,
                         const std::string& route, const RouteDemand& counts) {
  RouteDemand& before = this->known[{source, route}];
  if (counts.offered < before.offered || counts.entered < before.entered ||
      counts.work < before.work) {
    before = {};  // the source has restarted
  }
  Route& entry = this->routes[route];
  entry.offered += counts.offered - before.offered;
  entry.entered += counts.entered - before.entered;
  entry.work[service] += counts.work - before.work;
  before = counts;
}

bool DemandModel::IsDue(Instant now) const {
  return now - this->judged_at >= kJudgementPeriod;
}

void DemandModel::Average(double seconds) {
  for (auto& [name, route] : this->routes) {
    route.offered_rate = Averaged(
        route.offered_rate,
        static_cast<double>(std::exchange(route.offered, 0)) / seconds);
    route.entered_rate = Averaged(
        route.entered_rate,
        static_cast<double>(std::exchange(route.entered, 0)) / seconds);
    for (auto& [service, work] : route.work) {
      double& held = route.slots_held[service];
      held = Averaged(held, Seconds(std::exchange(work, {})) / seconds);
      if (route.entered_rate >= kLeastRate) {
        double& need = route.needs[service];
        need = std::max(held / route.entered_rate, need * kSlowestFall);
      }
    }
  }
}

// What is planned to be used, without work that no route can answer for.
DemandModel::Room DemandModel::RoomForRoutes() const {
  Room room;
  for (const auto& [service, count] : this->slots) {
    room[service] = count * kPlannedUse;
  }
  for (const auto& [name, route] : this->routes) {
    if (route.entered_rate >= kLeastRate) {
      continue;
    }
    for (const auto& [service, held] : route.slots_held) {
      const auto found = room.find(service);
      if (found != room.end()) {
        found->second -= held;
      }
    }
  }
  return room;
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
  this->Average(std::max(0.1, Seconds(now - this->judged_at)));
  this->judged_at = now;
  Room room = this->RoomForRoutes();
  std::vector<Route*> order;
  for (auto& [name, route] : this->routes) {
    if (route.entered_rate >= kLeastRate) {
      order.push_back(&route);
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
  std::vector<double> parts;
  for (const Route* route : order) {
    Take(*route, kLeastPart, room);
    parts.push_back(kLeastPart);
  }
  for (std::size_t i = 0; i < order.size(); ++i) {
    parts[i] += Take(*order[i], 1 - kLeastPart, room);
    Route& route = *order[i];
    route.part = std::clamp(parts[i], route.part / kFastest - kSmallestStep,
                            route.part * kFastest + kSmallestStep);
    route.part = std::clamp(route.part, kLeastPart, 1.0);
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
