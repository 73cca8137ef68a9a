#include "lycheewell/core/routing/target_choice.h"

#include <algorithm>

namespace lycheewell::core::routing {
namespace {

// Lower bound of the latency in the cost; applies to targets without observed
// latency, too.
constexpr Duration kMinLatency = std::chrono::milliseconds(1);
constexpr double kRemotePenaltyFactor = 1.3;

}  // namespace

double ExpectedCost(const ObservedTargetLoad& target) {
  const Duration latency = std::max(kMinLatency, target.recent_latency);
  const double penalty = target.same_data_centre ? 1.0 : kRemotePenaltyFactor;
  return static_cast<double>(latency.count()) * (target.outstanding + 1) *
         penalty;
}

std::optional<std::size_t> ChooseTarget(
    const std::vector<ObservedTargetLoad>& targets,
    const RandomSource& random) {
  if (targets.empty()) {
    return std::nullopt;
  }
  const std::size_t first = random() % targets.size();
  if (targets.size() == 1) {
    return first;
  }
  const std::size_t step = 1 + random() % (targets.size() - 1);
  const std::size_t second = (first + step) % targets.size();
  const bool second_is_better =
      ExpectedCost(targets[second]) < ExpectedCost(targets[first]);
  return second_is_better ? second : first;
}

}  // namespace lycheewell::core::routing
