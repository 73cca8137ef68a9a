// Validates and plans share rosters.
#ifndef LYCHEEWELL_CORE_CONFIGURATION_QUERIES_SHARES_H_
#define LYCHEEWELL_CORE_CONFIGURATION_QUERIES_SHARES_H_

#include <functional>
#include <optional>
#include <string>

#include "lycheewell/core/configuration/state.h"

namespace lycheewell::core::configuration::queries {

// Upper bound on the shares into which an account's rate and burst are split.
inline constexpr std::size_t kMaxSharesPerAccount = 5;

// Whether `daemon` holds a share that it has not released.
bool HoldsShare(const ShareRoster& roster, const DaemonRef& daemon);

// Number of unreleased shares that `daemon` holds.
std::size_t CountShares(const ShareRoster& roster, const DaemonRef& daemon);

// Whether `share` may be assigned to another daemon: its holder released it,
// restarted, is fenced, or is retired with `daemon_gone` set.
bool IsShareReassignable(const State& state, const ShareRoster& roster,
                         const Share& share);

// Why `record` is invalid in `state`. Empty if it is valid.
std::string FindRosterProblem(const State& state, const RosterWritten& record);

// Returns the next roster record for `account`: an initial roster, or one that
// assigns the reassignable shares to members for which `is_eligible` holds. A
// fenced holder keeps its unreleased shares until `fence_time_elapsed`. Empty
// if no record is needed, or if no member is eligible.
std::optional<RosterWritten> PlanRoster(
    const State& state, const std::string& account,
    const std::function<bool(const DaemonRef&)>& is_eligible,
    bool fence_time_elapsed);

}  // namespace lycheewell::core::configuration::queries

#endif  // LYCHEEWELL_CORE_CONFIGURATION_QUERIES_SHARES_H_
