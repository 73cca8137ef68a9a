#include "lycheewell/core/overload/call_tracker.h"

#include <algorithm>
#include <chrono>

namespace lycheewell::core::overload {
namespace {

// Time limits are told in whole milliseconds, rounded down, and a call spends
// some time on its way.
constexpr Duration kMostLost = std::chrono::microseconds(1100);
constexpr Duration kMostGained = std::chrono::microseconds(700);

// Requests that end this much later than a call match it only by chance.
constexpr Duration kChanceOffset = std::chrono::milliseconds(5);

// Draws among the running requests before the last one drawn is taken.
constexpr int kMostDraws = 8;

// Routes with less than this part of the most calls a request make none.
constexpr double kLeastPartOfCalls = 0.25;

// With fewer matches than this beyond chance every route may make calls.
constexpr std::int64_t kLeastMatches = 20;

}  // namespace

void CallTracker::Begin(std::uint64_t ticket, const std::string& route,
                        Instant deadline) {
  this->runs.emplace(ticket, Run{.route = route,
                                 .deadline = deadline,
                                 .position = this->order.size()});
  this->order.push_back(ticket);
  this->by_deadline.emplace(deadline, ticket);
  ++this->begun[route];
}

void CallTracker::End(std::uint64_t ticket) {
  const auto found = this->runs.find(ticket);
  if (found == this->runs.end()) {
    return;
  }
  const auto [first, last] =
      this->by_deadline.equal_range(found->second.deadline);
  const auto entry = std::find_if(first, last, [ticket](const auto& candidate) {
    return candidate.second == ticket;
  });
  this->by_deadline.erase(entry);
  const std::size_t position = found->second.position;
  this->order[position] = this->order.back();
  this->runs.at(this->order[position]).position = position;
  this->order.pop_back();
  this->runs.erase(found);
}

std::optional<std::uint64_t> CallTracker::WithDeadline(
    Instant call_deadline) const {
  std::optional<std::uint64_t> nearest;
  Duration distance = kMostLost;
  for (auto candidate =
           this->by_deadline.lower_bound(call_deadline - kMostGained);
       candidate != this->by_deadline.end() &&
       candidate->first <= call_deadline + kMostLost;
       ++candidate) {
    const Duration away = std::chrono::abs(candidate->first - call_deadline);
    if (away <= distance) {
      distance = away;
      nearest = candidate->second;
    }
  }
  return nearest;
}

bool CallTracker::MakesCalls(const std::string& route,
                             const std::string& call_route) const {
  const auto known = this->evidence.find(call_route);
  if (known == this->evidence.end()) {
    return true;
  }
  std::int64_t matches = 0;
  double most = 0;
  double own = 0;
  for (const auto& [name, seen] : known->second) {
    const std::int64_t beyond_chance = seen.matches - seen.chance_matches;
    const double each = static_cast<double>(beyond_chance) /
                        static_cast<double>(this->begun.at(name));
    matches += beyond_chance;
    most = std::max(most, each);
    own = name == route ? each : own;
  }
  return matches < kLeastMatches || own >= kLeastPartOfCalls * most;
}

std::optional<std::uint64_t> CallTracker::Attribute(
    const std::string& call_route, Instant call_deadline,
    RandomSource& random) {
  auto& seen = this->evidence[call_route];
  if (const auto by_chance =
          this->WithDeadline(call_deadline + kChanceOffset)) {
    ++seen[this->runs.at(*by_chance).route].chance_matches;
  }
  if (const auto match = this->WithDeadline(call_deadline)) {
    const std::string& route = this->runs.at(*match).route;
    ++seen[route].matches;
    if (this->MakesCalls(route, call_route)) {
      return match;
    }
  }
  std::optional<std::uint64_t> drawn;
  for (int draw = 0; draw < kMostDraws && !this->order.empty(); ++draw) {
    const std::uint64_t ticket = this->order[random() % this->order.size()];
    const Run& run = this->runs.at(ticket);
    if (run.deadline < call_deadline) {
      continue;
    }
    drawn = ticket;
    if (this->MakesCalls(run.route, call_route)) {
      break;
    }
  }
  return drawn;
}

}  // namespace lycheewell::core::overload
