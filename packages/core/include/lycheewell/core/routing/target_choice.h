// Choice of a target for one request.
#ifndef LYCHEEWELL_CORE_ROUTING_TARGET_CHOICE_H_
#define LYCHEEWELL_CORE_ROUTING_TARGET_CHOICE_H_

#include <optional>
#include <string>
#include <vector>

#include "lycheewell/core/types.h"

namespace lycheewell::core::routing {

// What this daemon knows of one target from its own requests there.
struct TargetLoad {
  DaemonRef daemon;
  bool same_data_centre = false;
  int outstanding = 0;        // this daemon's requests there
  Duration recent_latency{};  // zero: nothing observed yet

  bool operator==(const TargetLoad&) const = default;
};

// Picks two targets at random and returns the index of the better one; empty
// when there are none. A target elsewhere has to be better by kRemotePenalty.
std::optional<std::size_t> ChooseTarget(const std::vector<TargetLoad>& targets,
                                        const RandomSource& random);

// Expected cost of one more request: latency times the work ahead of it.
double ExpectedCost(const TargetLoad& target);

}  // namespace lycheewell::core::routing

#endif  // LYCHEEWELL_CORE_ROUTING_TARGET_CHOICE_H_
