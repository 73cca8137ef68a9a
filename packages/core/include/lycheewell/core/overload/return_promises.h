// When refused requests are to come back, and which of them did as told.
#ifndef LYCHEEWELL_CORE_OVERLOAD_RETURN_PROMISES_H_
#define LYCHEEWELL_CORE_OVERLOAD_RETURN_PROMISES_H_

#include <cstddef>
#include <map>
#include <string>

#include "lycheewell/core/types.h"

namespace lycheewell::core::overload {

struct ReturnTerms {
  // Until the latency target of the route, from now.
  Duration target_left{};
  // Until the client gives up, from now.
  Duration time_left{};
  // Usual time from a request's arrival to its answer.
  Duration answer_time{};

  bool operator==(const ReturnTerms&) const = default;
};

// Returns the time after which a refused request is to come back: as late as
// its answer is still in time, because overload lasts longer than that, and
// spread, so that those who were refused together do not return together.
Duration ReturnTime(const ReturnTerms& terms, const RandomSource& random);

// Requests of a route that have been told when to come back, by their
// fingerprints. Those that do as told go first, but only into a part of the
// room: otherwise all requests would be refused once.
class ReturnPromises {
 public:
  // Commands.

  // Records that a request was told to come back at `due`. Drops the promise
  // that is due first when there are too many.
  void Add(const std::string& fingerprint, Instant due);

  // Whether a request that arrives now goes first, because it comes back as
  // told: not before its time, and not long after it. A request that comes too
  // early loses its promise.
  bool TakeIfKept(const std::string& fingerprint, Instant now);

  // Records that a request of the route has been admitted: a part of the room
  // is for requests that come back.
  void RecordAdmitted();

  // Queries.

  std::size_t size() const { return this->by_time.size(); }

 private:
  using ByTime = std::multimap<Instant, std::string>;

  void Erase(ByTime::iterator promise);

  // Requests that may go first now.
  double room = 0;
  ByTime by_time;
  std::multimap<std::string, ByTime::iterator> by_fingerprint;
};

}  // namespace lycheewell::core::overload

#endif  // LYCHEEWELL_CORE_OVERLOAD_RETURN_PROMISES_H_
