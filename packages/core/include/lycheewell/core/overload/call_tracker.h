// Attributes the calls of a target to the requests that it runs.
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

// Targets do not forward an identifier of the request that they process, but a
// call ends with its request and carries the request's deadline, unless the
// call's own deadline is earlier. In that case the call is attributed to a
// random running request, preferably of a route whose requests were observed to
// make calls of this route. The fractions of calls per route are then correct;
// the attribution of a single call may be wrong.
class CallTracker {
 public:
  // Commands.

  // Records that the target runs request `ticket` of `route`, whose deadline it
  // was given.
  void Begin(std::uint64_t ticket, const std::string& route, Instant deadline);
  void End(std::uint64_t ticket);

  // Returns the running request that made a call of `call_route` with the
  // deadline `call_deadline`, or nothing if none is found.
  std::optional<std::uint64_t> Attribute(const std::string& call_route,
                                         Instant call_deadline,
                                         RandomSource& random);

  // Queries.

  std::size_t running() const { return this->tickets.size(); }

  // The running request whose deadline a call shares, or nothing if none does.
  std::optional<std::uint64_t> FindByDeadline(Instant call_deadline) const;

 private:
  struct RunningRequest {
    std::string route;
    Instant deadline;
    std::size_t position = 0;  // in `tickets`
  };

  // Matches between deadlines of calls of one route and requests of another
  // one.
  struct MatchCounts {
    // Calls whose deadline matched, and an estimate of the accidental matches.
    std::int64_t matches = 0;
    std::int64_t chance_matches = 0;
  };

  bool MakesCalls(const std::string& route,
                  const std::string& call_route) const;

  std::unordered_map<std::uint64_t, RunningRequest> requests;
  std::multimap<Instant, std::uint64_t> by_deadline;
  std::vector<std::uint64_t> tickets;  // of the running requests, unordered
  std::map<std::string, std::uint64_t> begun_count;  // by route
  // By the route of the call and the route of the request.
  std::map<std::string, std::map<std::string, MatchCounts>> match_counts;
};

}  // namespace lycheewell::core::overload

#endif  // LYCHEEWELL_CORE_OVERLOAD_CALL_TRACKER_H_
