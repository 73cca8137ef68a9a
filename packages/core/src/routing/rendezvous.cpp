#include "lycheewell/core/routing/rendezvous.h"

#include <algorithm>
#include <map>
#include <tuple>

#include "lycheewell/core/digest.h"

namespace lycheewell::core::routing {
namespace {

struct Ranked {
  std::size_t rank_in_data_centre = 0;  // 0 is the best
  std::uint64_t score = 0;
  Candidate candidate;
};

bool HasBetterScore(const Ranked& left, const Ranked& right) {
  return std::tie(left.score, left.candidate.daemon.id) >
         std::tie(right.score, right.candidate.daemon.id);
}

}  // namespace

std::uint64_t RendezvousScore(std::string_view key,
                              std::string_view daemon_id) {
  return StableHash(daemon_id, StableHash(key));
}

std::vector<DaemonRef> RankAcrossDataCentres(
    std::string_view key, std::vector<Candidate> candidates) {
  const std::uint64_t key_hash = StableHash(key);
  std::vector<Ranked> ranked;
  ranked.reserve(candidates.size());
  for (Candidate& candidate : candidates) {
    const std::uint64_t score = StableHash(candidate.daemon.id, key_hash);
    ranked.push_back({.score = score, .candidate = std::move(candidate)});
  }
  std::sort(ranked.begin(), ranked.end(), HasBetterScore);
  std::map<std::string_view, std::size_t> ranked_per_data_centre;
  for (Ranked& entry : ranked) {
    entry.rank_in_data_centre =
        ranked_per_data_centre[entry.candidate.data_centre]++;
  }
  std::stable_sort(ranked.begin(), ranked.end(),
                   [](const Ranked& left, const Ranked& right) {
                     return left.rank_in_data_centre <
                            right.rank_in_data_centre;
                   });
  std::vector<DaemonRef> daemons;
  daemons.reserve(ranked.size());
  for (Ranked& entry : ranked) {
    daemons.push_back(std::move(entry.candidate.daemon));
  }
  return daemons;
}

}  // namespace lycheewell::core::routing
