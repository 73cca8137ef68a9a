// Lease under which a daemon may use the shares that the roster assigns to it.
//
// The shares of an unresponsive holder can be reassigned. The daemon that does
// this appends a fence record to the log, waits until the holders of a majority
// of the shares have applied it, and then waits for the lease duration,
// extended for clock drift. A holder uses its shares only while its lease is
// valid: within the lease duration it has read the log to its end, or the
// holders of a majority of the shares have answered heartbeats that it sent,
// and none of them was ahead of it in the log. When the wait is over, the
// fenced holder has therefore either applied the fence record or stopped using
// its shares.
#ifndef LYCHEEWELL_CORE_RATE_SHARE_LEASE_H_
#define LYCHEEWELL_CORE_RATE_SHARE_LEASE_H_

#include <map>
#include <optional>

#include "lycheewell/core/configuration/objects.h"
#include "lycheewell/core/types.h"

namespace lycheewell::core::rate {

// How long a holder may use its shares after the start of the log read or the
// sending of the heartbeats that confirmed that it is up to date.
inline constexpr Duration kLeaseDuration = std::chrono::milliseconds(1500);

// The other daemons' positions in the log, as far as one daemon knows them. The
// leases of all accounts share one table.
class HeartbeatTable {
 public:
  // Commands.

  // Records that `peer`, at log position `peer_offset`, answered the heartbeat
  // sent at `sent_at`. This daemon had processed every record below
  // `own_offset`.
  void RecordAnswer(const DaemonRef& peer, Instant sent_at, Offset peer_offset,
                    Offset own_offset);

  // Records that this daemon has processed the log to its end, after a log read
  // that began at `started_at`.
  void RecordLogRead(Instant started_at);

  // Drops peers whose last answered heartbeat was sent before `before`.
  void DropSilentPeers(Instant before);

  // Queries.

  // Time at which the last heartbeat was sent that `peer` answered without
  // being ahead in the log. Empty if there is none.
  std::optional<Instant> ConfirmedAt(const DaemonRef& peer) const;

  // The highest log position that `peer` has reported, or 0.
  Offset OffsetOf(const DaemonRef& peer) const;

  std::optional<Instant> last_log_read() const { return this->log_read_at; }

 private:
  struct PeerState {
    std::optional<Instant> confirmed_at;
    Instant answered_at;
    Offset offset = 0;
  };

  std::map<DaemonRef, PeerState> peers;
  std::optional<Instant> log_read_at;
};

// Whether `self` may use its shares in `roster` at `now`.
bool LeaseIsValid(const configuration::ShareRoster& roster,
                  const DaemonRef& self, const HeartbeatTable& heartbeats,
                  Instant now);

// Whether the holders of a majority of the shares are known to have applied the
// roster's fence record. `self` is at log position `own_offset`.
bool MajorityAppliedFence(const configuration::ShareRoster& roster,
                          const DaemonRef& self, Offset own_offset,
                          const HeartbeatTable& heartbeats);

}  // namespace lycheewell::core::rate

#endif  // LYCHEEWELL_CORE_RATE_SHARE_LEASE_H_
