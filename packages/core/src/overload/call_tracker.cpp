#include "lycheewell/core/overload/call_tracker.h"

#include <algorithm>
#include <chrono>

namespace lycheewell::core::overload {
namespace {

// A call's deadline may appear earlier than that of its request by up to
// kMaxDeadlineLoss, and later by up to kMaxDeadlineGain. Time limits are sent
// in whole milliseconds, rounded down, and the transfer of a call takes time.
constexpr Duration kMaxDeadlineLoss = std::chrono::microseconds(1100);
constexpr Duration kMaxDeadlineGain = std::chrono::microseconds(700);

// Requests whose deadline is this much later than that of a call match only by
// chance. Counting them estimates the number of accidental matches.
constexpr Duration kChanceOffset = std::chrono::milliseconds(5);

// Maximum number of random draws among the running requests. The last request
// drawn is used if none of them is of a route that makes such calls.
constexpr int kMaxDraws = 8;

// A route is assumed to make no calls of another route if its calls per request
// are below this fraction of the most calls per request that any route makes.
constexpr double kMinCallsFraction = 0.25;

// With fewer matches beyond those expected by chance, any route is assumed to
// make calls.
constexpr std::int64_t kMinMatches = 20;

}  // namespace

void CallTracker::Begin(std::uint64_t ticket, const std::string& route,
                        Instant deadline) {
  this->requests.emplace(ticket,
                         RunningRequest{.route = route,
                                        .deadline = deadline,
                                        .position = this->tickets.size()});
  this->tickets.push_back(ticket);
  this->by_deadline.emplace(deadline, ticket);
  ++this->begun_count[route];
}

void CallTracker::End(std::uint64_t ticket) {
  const auto found = this->requests.find(ticket);
  if (found == this->requests.end()) {
    return;
  }
  const auto [first, last] =
      this->by_deadline.equal_range(found->second.deadline);
  const auto entry = std::find_if(first, last, [ticket](const auto& candidate) {
    return candidate.second == ticket;
  });
  this->by_deadline.erase(entry);
  const std::size_t position = found->second.position;
  this->tickets[position] = this->tickets.back();
  this->requests.at(this->tickets[position]).position = position;
  this->tickets.pop_back();
  this->requests.erase(found);
}

std::optional<std::uint64_t> CallTracker::FindByDeadline(
    Instant call_deadline) const {
  std::optional<std::uint64_t> nearest;
  Duration min_distance = kMaxDeadlineLoss;
  for (auto candidate =
           this->by_deadline.lower_bound(call_deadline - kMaxDeadlineGain);
       candidate != this->by_deadline.end() &&
       candidate->first <= call_deadline + kMaxDeadlineLoss;
       ++candidate) {
    const Duration distance =
        std::chrono::abs(candidate->first - call_deadline);
    if (distance <= min_distance) {
      min_distance = distance;
      nearest = candidate->second;
    }
  }
  return nearest;
}

bool CallTracker::MakesCalls(const std::string& route,
                             const std::string& call_route) const {
  const auto found = this->match_counts.find(call_route);
  if (found == this->match_counts.end()) {
    return true;
  }
  std::int64_t matches = 0;
  double max_per_request = 0;
  double own_per_request = 0;
  for (const auto& [name, counts] : found->second) {
    const std::int64_t beyond_chance = counts.matches - counts.chance_matches;
    const double per_request = static_cast<double>(beyond_chance) /
                               static_cast<double>(this->begun_count.at(name));
    matches += beyond_chance;
    max_per_request = std::max(max_per_request, per_request);
    own_per_request = name == route ? per_request : own_per_request;
  }
  return matches < kMinMatches ||
         own_per_request >= kMinCallsFraction * max_per_request;
}

std::optional<std::uint64_t> CallTracker::Attribute(
    const std::string& call_route, Instant call_deadline,
    RandomSource& random) {
  auto& counts = this->match_counts[call_route];
  if (const auto by_chance =
          this->FindByDeadline(call_deadline + kChanceOffset)) {
    ++counts[this->requests.at(*by_chance).route].chance_matches;
  }
  if (const auto match = this->FindByDeadline(call_deadline)) {
    const std::string& route = this->requests.at(*match).route;
    ++counts[route].matches;
    if (this->MakesCalls(route, call_route)) {
      return match;
    }
  }
  std::optional<std::uint64_t> drawn;
  for (int draw = 0; draw < kMaxDraws && !this->tickets.empty(); ++draw) {
    const std::uint64_t ticket = this->tickets[random() % this->tickets.size()];
    const RunningRequest& request = this->requests.at(ticket);
    if (request.deadline < call_deadline) {
      continue;
    }
    drawn = ticket;
    if (this->MakesCalls(request.route, call_route)) {
      break;
    }
  }
  return drawn;
}

}  // namespace lycheewell::core::overload
