#include "lycheewell/core/overload/call_tracker.h"

#include <algorithm>
#include <chrono>

namespace lycheewell::core::overload {
namespace {

// Time limits are told in whole milliseconds, and a call spends some time on
// its way.
constexpr Duration kSameDeadline = std::chrono::microseconds(1500);

// Draws among the running requests before the last one drawn is taken.
constexpr int kMostDraws = 8;

// Time limits that are equal by chance make some requests seem to make calls:
// routes with less than this part of the most traced calls a request make none.
constexpr double kLeastPartOfCalls = 0.25;

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
  Duration distance = kSameDeadline;
  for (auto candidate =
           this->by_deadline.lower_bound(call_deadline - kSameDeadline);
       candidate != this->by_deadline.end() &&
       candidate->first <= call_deadline + kSameDeadline;
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
  const auto known = this->traced.find(call_route);
  if (known == this->traced.end()) {
    return true;
  }
  const auto calls_each = [this](const auto& entry) {
    return static_cast<double>(entry.second) /
           static_cast<double>(this->begun.at(entry.first));
  };
  double most = 0;
  for (const auto& entry : known->second) {
    most = std::max(most, calls_each(entry));
  }
  const auto own = known->second.find(route);
  return own != known->second.end() &&
         calls_each(*own) >= kLeastPartOfCalls * most;
}

std::optional<std::uint64_t> CallTracker::Attribute(
    const std::string& call_route, Instant call_deadline,
    RandomSource& random) {
  if (const auto traced_to = this->WithDeadline(call_deadline)) {
    const std::string& route = this->runs.at(*traced_to).route;
    ++this->traced[call_route][route];
    if (this->MakesCalls(route, call_route)) {
      return traced_to;
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
