// Refuses requests where they enter the call graph when the calls that they
// would cause fail for lack of room.
#ifndef LYCHEEWELL_CORE_OVERLOAD_ENTRY_ADMISSION_H_
#define LYCHEEWELL_CORE_OVERLOAD_ENTRY_ADMISSION_H_

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

#include "lycheewell/core/types.h"

namespace lycheewell::core::overload {

// Ended runs of one route at one target, counted since its daemon's start.
struct RouteOutcomes {
  std::uint64_t ended = 0;
  // Failed after one of the calls that they made had been refused.
  std::uint64_t starved = 0;

  bool operator==(const RouteOutcomes&) const = default;
};

// Every daemon sees the outcomes of all targets, so all settle at about the
// same admitted part of each route. A request that needs several calls fails
// when one of them is refused: without this, work for requests that fail fills
// the service that is short of room.
class EntryAdmission {
 public:
  explicit EntryAdmission(Instant now) : judged_at(now) {}

  // Commands.

  // The counts that `source` reports now for `route`.
  void Report(const std::string& source, const std::string& route,
              const RouteOutcomes& outcomes);

  // Counts a request of `route`; whether it may enter. Less important routes
  // have higher ranks and are cut first.
  bool Admit(const std::string& route, int rank, Instant now);

  // Queries.

  // The part of the route's requests that enters.
  double admitted_part(std::string_view route) const;

 private:
  struct Route {
    std::map<std::string, RouteOutcomes> known;  // by source
    RouteOutcomes recent;                        // since the last judgement
    double starved_part = 0;
    double part = 1;
    double credit = 0;
    int rank = 0;
  };

  void Judge(Instant now);

  std::map<std::string, Route, std::less<>> routes;
  Instant judged_at;
};

}  // namespace lycheewell::core::overload

#endif  // LYCHEEWELL_CORE_OVERLOAD_ENTRY_ADMISSION_H_
