#include "lycheewell/core/overload/demand_sums.h"

namespace lycheewell::core::overload {

void DemandSums::Report(const std::string& daemon, const std::string& service,
                        const std::map<std::string, RouteDemand>& counts) {
  const auto [known, is_first] = this->last_counts.try_emplace(daemon);
  for (const auto& [route, current] : counts) {
    RouteDemand& previous = known->second[route];
    if (!is_first) {
      this->sums[service][route] += IncreaseSince(previous, current);
    }
    previous = current;
  }
}

}  // namespace lycheewell::core::overload
