// Sums the demand counters of many daemons, for example of a data centre.
#ifndef LYCHEEWELL_CORE_OVERLOAD_DEMAND_SUMS_H_
#define LYCHEEWELL_CORE_OVERLOAD_DEMAND_SUMS_H_

#include <map>
#include <string>

#include "lycheewell/core/overload/demand_model.h"

namespace lycheewell::core::overload {

// The sums never decrease: a daemon that restarts and counts from 0 adds what
// it has counted since.
class DemandSums {
 public:
  // Commands.

  // Takes the counters of `daemon`, whose target belongs to `service`. The
  // first report of a daemon only sets its base.
  void Report(const std::string& daemon, const std::string& service,
              const std::map<std::string, RouteDemand>& counts);

  // Queries.

  // By service and route.
  const std::map<std::string, std::map<std::string, RouteDemand>>& totals()
      const {
    return this->sums;
  }

 private:
  std::map<std::string, std::map<std::string, RouteDemand>> sums;
  // The last counters of each daemon, by route.
  std::map<std::string, std::map<std::string, RouteDemand>> last_counts;
};

}  // namespace lycheewell::core::overload

#endif  // LYCHEEWELL_CORE_OVERLOAD_DEMAND_SUMS_H_
