// Rendezvous hashing: all daemons rank a given set of members in the same
// order.
#ifndef LYCHEEWELL_CORE_ROUTING_RENDEZVOUS_H_
#define LYCHEEWELL_CORE_ROUTING_RENDEZVOUS_H_

#include <string>
#include <string_view>
#include <vector>

#include "lycheewell/core/types.h"

namespace lycheewell::core::routing {

struct Candidate {
  DaemonRef daemon;
  std::string data_centre;

  bool operator==(const Candidate&) const = default;
};

// Score of `daemon_id` for `key`; the highest ranks first.
std::uint64_t RendezvousScore(std::string_view key, std::string_view daemon_id);

// Ranks the candidates for `key`, best first. The best candidate of each data
// centre precedes the second best of any, so that each prefix of the result
// spans as many data centres as possible.
std::vector<DaemonRef> RankAcrossDataCentres(std::string_view key,
                                             std::vector<Candidate> candidates);

}  // namespace lycheewell::core::routing

#endif  // LYCHEEWELL_CORE_ROUTING_RENDEZVOUS_H_
