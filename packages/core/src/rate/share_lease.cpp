#include "lycheewell/core/rate/share_lease.h"

#include <algorithm>

#include "lycheewell/core/configuration/queries/shares.h"

namespace lycheewell::core::rate {

using configuration::Share;
using configuration::ShareRoster;

void HeartbeatTable::RecordAnswer(const DaemonRef& peer, Instant sent_at,
                                  Offset peer_offset, Offset own_offset) {
  PeerState& state = this->peers[peer];
  state.answered_at = std::max(state.answered_at, sent_at);
  state.offset = std::max(state.offset, peer_offset);
  if (peer_offset > own_offset) {
    return;
  }
  if (!state.confirmed_at || *state.confirmed_at < sent_at) {
    state.confirmed_at = sent_at;
  }
}

void HeartbeatTable::RecordLogRead(Instant started_at) {
  if (!this->log_read_at || *this->log_read_at < started_at) {
    this->log_read_at = started_at;
  }
}

void HeartbeatTable::DropSilentPeers(Instant before) {
  std::erase_if(this->peers, [&](const auto& entry) {
    return entry.second.answered_at < before;
  });
}

std::optional<Instant> HeartbeatTable::ConfirmedAt(
    const DaemonRef& peer) const {
  const auto found = this->peers.find(peer);
  return found == this->peers.end() ? std::nullopt : found->second.confirmed_at;
}

Offset HeartbeatTable::OffsetOf(const DaemonRef& peer) const {
  const auto found = this->peers.find(peer);
  return found == this->peers.end() ? 0 : found->second.offset;
}

bool LeaseIsValid(const ShareRoster& roster, const DaemonRef& self,
                  const HeartbeatTable& heartbeats, Instant now) {
  if (roster.fenced_holder == self ||
      !configuration::queries::HoldsShare(roster, self)) {
    return false;
  }
  const auto is_recent = [&](std::optional<Instant> confirmed_at) {
    return confirmed_at && now - *confirmed_at < kLeaseDuration;
  };
  if (is_recent(heartbeats.last_log_read())) {
    return true;
  }
  const auto confirmations = std::count_if(
      roster.shares.begin(), roster.shares.end(), [&](const Share& share) {
        return share.holder == self ||
               is_recent(heartbeats.ConfirmedAt(share.holder));
      });
  return static_cast<std::size_t>(confirmations) * 2 > roster.shares.size();
}

bool MajorityAppliedFence(const ShareRoster& roster, const DaemonRef& self,
                          Offset own_offset, const HeartbeatTable& heartbeats) {
  const auto applied = std::count_if(
      roster.shares.begin(), roster.shares.end(), [&](const Share& share) {
        const Offset offset = share.holder == self
                                  ? own_offset
                                  : heartbeats.OffsetOf(share.holder);
        return offset > roster.fenced_offset;
      });
  return static_cast<std::size_t>(applied) * 2 > roster.shares.size();
}

}  // namespace lycheewell::core::rate
