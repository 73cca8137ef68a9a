// Chooses a target for one request by the power of two choices.
#ifndef LYCHEEWELL_CORE_ROUTING_TARGET_CHOICE_H_
#define LYCHEEWELL_CORE_ROUTING_TARGET_CHOICE_H_

#include <optional>
#include <string>
#include <vector>

#include "lycheewell/core/types.h"

namespace lycheewell::core::routing {

// A target's load as this daemon observes it in its own requests.
struct ObservedTargetLoad {
  DaemonRef daemon;
  bool same_data_centre = false;
  int outstanding = 0;        // requests from this daemon without an answer yet
  Duration recent_latency{};  // zero: none observed yet

  bool operator==(const ObservedTargetLoad&) const = default;
};

// Picks two targets at random and returns the index of the one with the lower
// expected cost; empty when `targets` is empty.
std::optional<std::size_t> ChooseTarget(
    const std::vector<ObservedTargetLoad>& targets, const RandomSource& random);

// Expected cost of one more request: latency times the number of outstanding
// requests including it, times a penalty factor for a target in another data
// centre.
double ExpectedCost(const ObservedTargetLoad& target);

}  // namespace lycheewell::core::routing

#endif  // LYCHEEWELL_CORE_ROUTING_TARGET_CHOICE_H_
