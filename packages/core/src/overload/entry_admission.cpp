#include "lycheewell/core/overload/entry_admission.h"

#include <algorithm>

namespace lycheewell::core::overload {
namespace {

// Outcomes are reported once a second or so.
constexpr Duration kJudgementPeriod = std::chrono::milliseconds(1000);

// Fewer ended runs than this say nothing yet.
constexpr std::uint64_t kLeastEnded = 8;

// Above this part of starved runs a route is cut, below the second one it
// recovers. Some refusals show that the room downstream is used.
constexpr double kCutAbove = 0.30;
constexpr double kRecoverBelow = 0.20;

// Part of a route that always enters: it probes for room, and no kind of
// request starves while others are served.
constexpr double kLeastPart = 0.1;

// A more important route is cut only once the less important ones that starve
// with it are at this part.
constexpr double kCutFirstTo = 0.3;

// One judgement cuts at most to this part, and recovers by this.
constexpr double kStrongestCut = 0.5;
constexpr double kRecoveryFactor = 1.6;
constexpr double kRecoveryStep = 0.05;

// Below this part of starved runs there is room again, and by how much is not
// known: the route opens within three judgements.
constexpr double kOpenBelow = 0.03;
constexpr double kOpeningFactor = 2.0;
constexpr double kOpeningStep = 0.15;

}  // namespace

void EntryAdmission::Report(const std::string& source, const std::string& route,
                            const RouteOutcomes& outcomes) {
  Route& entry = this->routes[route];
  RouteOutcomes& known = entry.known[source];
  if (outcomes.ended < known.ended || outcomes.starved < known.starved) {
    known = {};  // the source has restarted
  }
  entry.recent.ended += outcomes.ended - known.ended;
  entry.recent.starved += outcomes.starved - known.starved;
  known = outcomes;
}

void EntryAdmission::Judge(Instant now) {
  this->judged_at = now;
  int least_important = 0;
  bool any_cut = false;
  for (auto& [name, route] : this->routes) {
    if (route.recent.ended < kLeastEnded) {
      // Outcomes are collected until they say something.
      route.starved_part = route.part < 1 ? 0 : route.starved_part;
      continue;
    }
    route.starved_part = static_cast<double>(route.recent.starved) /
                         static_cast<double>(route.recent.ended);
    route.recent = {};
    if (route.starved_part > kCutAbove && route.part > kCutFirstTo) {
      least_important =
          any_cut ? std::max(least_important, route.rank) : route.rank;
      any_cut = true;
    }
  }
  for (auto& [name, route] : this->routes) {
    if (route.starved_part > kCutAbove) {
      if (!any_cut || route.rank >= least_important) {
        route.part *= std::max(kStrongestCut, 1 - route.starved_part);
      }
    } else if (route.starved_part < kOpenBelow) {
      route.part = route.part * kOpeningFactor + kOpeningStep;
    } else if (route.starved_part < kRecoverBelow) {
      route.part = route.part * kRecoveryFactor + kRecoveryStep;
    }
    route.part = std::clamp(route.part, kLeastPart, 1.0);
  }
}

bool EntryAdmission::Admit(const std::string& route, int rank, Instant now) {
  if (now - this->judged_at >= kJudgementPeriod) {
    this->Judge(now);
  }
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

double EntryAdmission::admitted_part(std::string_view route) const {
  const auto found = this->routes.find(route);
  return found == this->routes.end() ? 1.0 : found->second.part;
}

}  // namespace lycheewell::core::overload
