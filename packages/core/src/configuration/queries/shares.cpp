#include "lycheewell/core/configuration/queries/shares.h"

#include <algorithm>
#include <cmath>
#include <map>

#include "lycheewell/core/routing/rendezvous.h"

namespace lycheewell::core::configuration::queries {
namespace {

bool HolderRestarted(const State& state, const DaemonRef& holder) {
  const auto member = state.members.find(holder.id);
  return member != state.members.end() &&
         member->second.daemon.incarnation > holder.incarnation;
}

bool HolderDeclaredGone(const State& state, const DaemonRef& holder) {
  const auto found = state.objects.find(TargetObject(holder.id));
  if (found == state.objects.end()) {
    return false;
  }
  const auto* retirement = std::get_if<Retirement>(&found->second.value);
  return retirement != nullptr && retirement->daemon_gone;
}

bool IsRetired(const State& state, const DaemonRef& daemon) {
  return state.objects.contains(TargetObject(daemon.id));
}

std::size_t InitialShareCount(const Account& account) {
  const double whole_tokens = std::floor(account.burst);
  return static_cast<std::size_t>(
      std::clamp(whole_tokens, 1.0, static_cast<double>(kMaxSharesPerAccount)));
}

// Eligible members that are not retired, ordered by preference as holders of
// shares of `account`.
std::vector<DaemonRef> PreferredHolders(
    const State& state, const std::string& account,
    const std::function<bool(const DaemonRef&)>& is_eligible) {
  std::vector<routing::Candidate> candidates;
  for (const auto& [id, member] : state.members) {
    if (is_eligible(member.daemon) && !IsRetired(state, member.daemon)) {
      candidates.push_back({member.daemon, member.data_centre});
    }
  }
  return routing::RankAcrossDataCentres(account, std::move(candidates));
}

// The daemon with the fewest entries in `holders`; the first in `preferred`
// wins a tie.
DaemonRef HolderWithFewestShares(const std::vector<DaemonRef>& preferred,
                                 const std::vector<DaemonRef>& holders) {
  return *std::min_element(
      preferred.begin(), preferred.end(),
      [&](const DaemonRef& left, const DaemonRef& right) {
        return std::count(holders.begin(), holders.end(), left) <
               std::count(holders.begin(), holders.end(), right);
      });
}

}  // namespace

bool HoldsShare(const ShareRoster& roster, const DaemonRef& daemon) {
  return CountShares(roster, daemon) > 0;
}

std::size_t CountShares(const ShareRoster& roster, const DaemonRef& daemon) {
  return static_cast<std::size_t>(std::count_if(
      roster.shares.begin(), roster.shares.end(), [&](const Share& share) {
        return share.holder == daemon && !share.released;
      }));
}

bool IsShareReassignable(const State& state, const ShareRoster& roster,
                         const Share& share) {
  return share.released || HolderRestarted(state, share.holder) ||
         HolderDeclaredGone(state, share.holder) ||
         roster.fenced_holder == share.holder;
}

std::string FindRosterProblem(const State& state, const RosterWritten& record) {
  const auto account = state.objects.find(AccountObject(record.account));
  if (account == state.objects.end()) {
    return "account " + record.account + " does not exist";
  }
  if (record.holders.empty() || record.holders.size() > kMaxSharesPerAccount) {
    return "a roster must have 1 to 5 shares";
  }
  const auto found = state.rosters.find(record.account);
  if (found == state.rosters.end()) {
    return record.previous_epoch == 0 ? "" : "there is no roster to replace";
  }
  const ShareRoster& roster = found->second;
  if (roster.epoch != record.previous_epoch) {
    return "roster of epoch " + std::to_string(roster.epoch) + " is in force";
  }
  if (roster.shares.size() != record.holders.size()) {
    return "the number of shares cannot change";
  }
  for (std::size_t index = 0; index < roster.shares.size(); ++index) {
    const Share& share = roster.shares[index];
    const bool is_reassigned =
        share.released || share.holder != record.holders[index];
    if (is_reassigned && !IsShareReassignable(state, roster, share)) {
      return "share " + std::to_string(index) + " is in use by " +
             share.holder.id;
    }
  }
  return {};
}

std::optional<RosterWritten> PlanRoster(
    const State& state, const std::string& account,
    const std::function<bool(const DaemonRef&)>& is_eligible,
    bool fence_time_elapsed) {
  const auto object = state.objects.find(AccountObject(account));
  const std::vector<DaemonRef> preferred =
      PreferredHolders(state, account, is_eligible);
  if (object == state.objects.end() || preferred.empty()) {
    return std::nullopt;
  }
  RosterWritten record{.account = account};
  const auto found = state.rosters.find(account);
  if (found == state.rosters.end()) {
    const auto& limits = std::get<Account>(object->second.value);
    const std::size_t count = InitialShareCount(limits);
    while (record.holders.size() < count) {
      record.holders.push_back(
          HolderWithFewestShares(preferred, record.holders));
    }
    return record;
  }
  const ShareRoster& roster = found->second;
  record.previous_epoch = roster.epoch;
  bool changed = false;
  for (const Share& share : roster.shares) {
    record.holders.push_back(share.holder);
  }
  for (std::size_t index = 0; index < roster.shares.size(); ++index) {
    const Share& share = roster.shares[index];
    const bool waits_for_fence =
        roster.fenced_holder == share.holder && !fence_time_elapsed;
    if (waits_for_fence && !share.released) {
      continue;
    }
    if (!IsShareReassignable(state, roster, share)) {
      continue;
    }
    record.holders[index] = HolderWithFewestShares(preferred, record.holders);
    changed = true;
  }
  if (!changed) {
    return std::nullopt;
  }
  return record;
}

}  // namespace lycheewell::core::configuration::queries
