#include "lycheewell/core/rate/share_lease.h"

#include <algorithm>

#include "lycheewell/core/configuration/queries/shares.h"

namespace lycheewell::core::rate {

using configuration::Share;
using configuration::ShareRoster;

void HeartbeatTable::RecordAnswer(const DaemonRef& peer, Instant sent_at,
                                  Offset peer_offset, Offset own_offset) {
  Entry& entry = this->entries[peer];
  entry.answered = std::max(entry.answered, sent_at);
  entry.offset = std::max(entry.offset, peer_offset);
  if (peer_offset > own_offset) {
    return;
  }
  if (!entry.proof || *entry.proof < sent_at) {
    entry.proof = sent_at;
  }
}

void HeartbeatTable::RecordLogRead(Instant started_at) {
  if (!this->log_read_at || *this->log_read_at < started_at) {
    this->log_read_at = started_at;
  }
}

void HeartbeatTable::Forget(Instant before) {
  std::erase_if(this->entries, [&](const auto& entry) {
    return entry.second.answered < before;
  });
}

std::optional<Instant> HeartbeatTable::ProofFrom(const DaemonRef& peer) const {
  const auto found = this->entries.find(peer);
  return found == this->entries.end() ? std::nullopt : found->second.proof;
}

Offset HeartbeatTable::OffsetOf(const DaemonRef& peer) const {
  const auto found = this->entries.find(peer);
  return found == this->entries.end() ? 0 : found->second.offset;
}

bool LeaseIsValid(const ShareRoster& roster, const DaemonRef& self,
                  const HeartbeatTable& heartbeats, Instant now) {
  if (roster.fenced_holder == self ||
      !configuration::queries::HoldsShare(roster, self)) {
    return false;
  }
  const auto is_fresh = [&](std::optional<Instant> proof) {
    return proof && now - *proof < kFenceTime;
  };
  if (is_fresh(heartbeats.last_log_read())) {
    return true;
  }
  const auto proofs = std::count_if(
      roster.shares.begin(), roster.shares.end(), [&](const Share& share) {
        return share.holder == self ||
               is_fresh(heartbeats.ProofFrom(share.holder));
      });
  return static_cast<std::size_t>(proofs) * 2 > roster.shares.size();
}

bool MajorityKnowsFence(const ShareRoster& roster, const DaemonRef& self,
                        Offset own_offset, const HeartbeatTable& heartbeats) {
  const auto knowing = std::count_if(
      roster.shares.begin(), roster.shares.end(), [&](const Share& share) {
        const Offset offset = share.holder == self
                                  ? own_offset
                                  : heartbeats.OffsetOf(share.holder);
        return offset > roster.fenced_offset;
      });
  return static_cast<std::size_t>(knowing) * 2 > roster.shares.size();
}

}  // namespace lycheewell::core::rate
