// Finds the request on whose behalf a target makes a call.
#ifndef LYCHEEWELL_CORE_OVERLOAD_CALL_TRACKER_H_
#define LYCHEEWELL_CORE_OVERLOAD_CALL_TRACKER_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "lycheewell/core/types.h"

namespace lycheewell::core::overload {

// Targets forward nothing that names the request that they work on, but a call
// ends with it and carries its time limit, unless the call's own limit is
// shorter. Such a call is attributed to one of the running requests at random,
// among the routes whose requests were seen to make calls of its route: the
// shares of the routes come out right, single calls may not.
class CallTracker {
 public:
  // Commands.

  // The target runs request `ticket` of `route`, which it was told to end at
  // `deadline`.
  void Begin(std::uint64_t ticket, const std::string& route, Instant deadline);
  void End(std::uint64_t ticket);

  // The running request behind a call of `call_route` that ends at
  // `call_deadline`; empty when there is none.
  std::optional<std::uint64_t> Attribute(const std::string& call_route,
                                         Instant call_deadline,
                                         RandomSource& random);

  // Queries.

  std::size_t running() const { return this->order.size(); }

 private:
  struct Run {
    std::string route;
    Instant deadline;
    std::size_t position = 0;  // in `order`
  };

  // Calls of one route that a route's requests seem to have made.
  struct Evidence {
    // Calls that carried a request's own time limit, and those that would have
    // by chance.
    std::int64_t matches = 0;
    std::int64_t chance_matches = 0;
  };

  std::optional<std::uint64_t> WithDeadline(Instant call_deadline) const;
  bool MakesCalls(const std::string& route,
                  const std::string& call_route) const;

  std::unordered_map<std::uint64_t, Run> runs;
  std::multimap<Instant, std::uint64_t> by_deadline;
  std::vector<std::uint64_t> order;            // in no order that matters
  std::map<std::string, std::uint64_t> begun;  // by route
  // By the call's route and the request's.
  std::map<std::string, std::map<std::string, Evidence>> evidence;
};

}  // namespace lycheewell::core::overload

#endif  // LYCHEEWELL_CORE_OVERLOAD_CALL_TRACKER_H_
