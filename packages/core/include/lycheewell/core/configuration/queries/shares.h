// Queries about share rosters.
#ifndef LYCHEEWELL_CORE_CONFIGURATION_QUERIES_SHARES_H_
#define LYCHEEWELL_CORE_CONFIGURATION_QUERIES_SHARES_H_

#include <functional>
#include <optional>
#include <string>

#include "lycheewell/core/configuration/state.h"

namespace lycheewell::core::configuration::queries {

// Most shares that one account's rate and burst are split into.
inline constexpr std::size_t kMostShares = 5;

// Whether `daemon` holds a share that it has not released.
bool HoldsShare(const ShareRoster& roster, const DaemonRef& daemon);

// Number of unreleased shares that `daemon` holds.
std::size_t CountShares(const ShareRoster& roster, const DaemonRef& daemon);

// Whether a share may be given to another daemon: its holder released it,
// restarted, was retired as gone, or is fenced.
bool ShareIsFree(const State& state, const ShareRoster& roster,
                 const Share& share);

// Why a roster record does not count; empty when it does.
std::string FindRosterProblem(const State& state, const RosterWritten& record);

// The roster record that `account` needs now: a first roster, or free shares
// given to members for which `takes_shares` holds. Fenced shares are left out
// unless `fence_passed`. Empty when there is nothing to write.
std::optional<RosterWritten> PlanRoster(
    const State& state, const std::string& account,
    const std::function<bool(const DaemonRef&)>& takes_shares,
    bool fence_passed);

}  // namespace lycheewell::core::configuration::queries

#endif  // LYCHEEWELL_CORE_CONFIGURATION_QUERIES_SHARES_H_
