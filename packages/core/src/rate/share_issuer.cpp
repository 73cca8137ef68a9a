#include "lycheewell/core/rate/share_issuer.h"

#include <algorithm>

#include "lycheewell/core/configuration/queries/shares.h"
#include "lycheewell/core/rate/token_bucket.h"
#include "lycheewell/core/routing/rendezvous.h"

namespace lycheewell::core::rate {
namespace {

using configuration::FenceObjected;
using configuration::Record;
using configuration::Share;
using configuration::ShareFenced;
using configuration::ShareRoster;
using configuration::State;

constexpr Duration kProposalRetryInterval = std::chrono::seconds(1);

// Time between a majority's applying a fence record and the new roster. It
// covers the lease duration on the holder's clock when both clocks drift by the
// maximum.
Duration FenceWait() {
  return std::chrono::duration_cast<Duration>(kLeaseDuration *
                                              (1.0 + 2 * kMaxClockDrift));
}

}  // namespace

ShareIssuer::ShareIssuer(Options new_options)
    : options(std::move(new_options)) {}

std::vector<Record> ShareIssuer::Propose(const State& state,
                                         const HeartbeatTable& heartbeats,
                                         Instant now) {
  std::vector<Record> records;
  constexpr std::string_view kPrefix = "account/";
  for (auto object = state.objects.lower_bound(kPrefix);
       object != state.objects.end() && object->first.starts_with(kPrefix);
       ++object) {
    const std::string account(configuration::ObjectName(object->first));
    AccountProgress& progress = this->progress_by_account[account];
    if (progress.has_proposed &&
        now - progress.proposed_at < kProposalRetryInterval) {
      // Fence progress is tracked between proposals, too.
      const auto roster = state.rosters.find(account);
      if (roster != state.rosters.end()) {
        this->UpdateFenceProgress(state, roster->second, progress, heartbeats,
                                  now);
      }
      continue;
    }
    auto record = this->ProposeFor(state, account, heartbeats, now);
    if (record) {
      progress.has_proposed = true;
      progress.proposed_at = now;
      records.push_back(std::move(*record));
    }
  }
  return records;
}

std::optional<Record> ShareIssuer::ProposeFor(const State& state,
                                              const std::string& account,
                                              const HeartbeatTable& heartbeats,
                                              Instant now) {
  const auto found = state.rosters.find(account);
  if (found != state.rosters.end()) {
    const ShareRoster& roster = found->second;
    if (roster.fenced_holder == this->options.self) {
      return FenceObjected{account, roster.epoch, this->options.self};
    }
  }
  if (!this->IsResponsible(state, account)) {
    return std::nullopt;
  }
  bool fence_time_elapsed = false;
  if (found != state.rosters.end()) {
    AccountProgress& progress = this->progress_by_account[account];
    fence_time_elapsed = this->UpdateFenceProgress(state, found->second,
                                                   progress, heartbeats, now);
  }
  auto roster = configuration::queries::PlanRoster(
      state, account, this->options.takes_shares, fence_time_elapsed);
  if (roster) {
    return *roster;
  }
  if (found == state.rosters.end() || found->second.fenced_holder) {
    return std::nullopt;
  }
  for (const Share& share : found->second.shares) {
    if (!share.released && !this->options.is_running(share.holder)) {
      return ShareFenced{account, found->second.epoch, share.holder};
    }
  }
  return std::nullopt;
}

bool ShareIssuer::IsResponsible(const State& state,
                                const std::string& account) const {
  std::vector<routing::Candidate> candidates;
  const auto roster = state.rosters.find(account);
  if (roster != state.rosters.end()) {
    for (const Share& share : roster->second.shares) {
      if (this->options.is_running(share.holder)) {
        candidates.push_back({share.holder, {}});
      }
    }
  }
  if (candidates.empty()) {
    for (const auto& [id, member] : state.members) {
      if (this->options.is_running(member.daemon)) {
        candidates.push_back({member.daemon, {}});
      }
    }
  }
  const auto ranked =
      routing::RankAcrossDataCentres(account, std::move(candidates));
  return !ranked.empty() && ranked.front() == this->options.self;
}

bool ShareIssuer::UpdateFenceProgress(const State& state,
                                      const ShareRoster& roster,
                                      AccountProgress& progress,
                                      const HeartbeatTable& heartbeats,
                                      Instant now) const {
  if (!roster.fenced_holder) {
    progress.majority_applied_at.reset();
    return false;
  }
  const bool is_new_fence = progress.epoch != roster.epoch ||
                            progress.fenced_at != roster.fenced_offset;
  if (is_new_fence) {
    progress.epoch = roster.epoch;
    progress.fenced_at = roster.fenced_offset;
    progress.majority_applied_at.reset();
  }
  if (!progress.majority_applied_at &&
      MajorityAppliedFence(roster, this->options.self, state.next_offset,
                           heartbeats)) {
    progress.majority_applied_at = now;
  }
  return progress.majority_applied_at &&
         now - *progress.majority_applied_at >= FenceWait();
}

}  // namespace lycheewell::core::rate
