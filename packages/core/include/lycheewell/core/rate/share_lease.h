// Whether a daemon may use the shares that the roster gives it.
//
// A share may be given to another daemon while its holder is silent. The
// re-issuer appends a fence record, waits until a majority of the shares'
// holders has folded it, and then waits for the fence time. The holder uses its
// shares only while, within the fence time, it has read the log to its end or a
// majority has answered heartbeats that it sent, none of them from further
// ahead in the log than itself. So when the re-issuer's wait is over, the
// holder either knows the fence or has stopped.
#ifndef LYCHEEWELL_CORE_RATE_SHARE_LEASE_H_
#define LYCHEEWELL_CORE_RATE_SHARE_LEASE_H_

#include <map>
#include <optional>

#include "lycheewell/core/configuration/objects.h"
#include "lycheewell/core/types.h"

namespace lycheewell::core::rate {

// How long a proof that no fence is known stays good at the holder.
inline constexpr Duration kFenceTime = std::chrono::milliseconds(1500);

// What one daemon knows about the other daemons' positions in the log. Shared
// by the leases of all accounts.
class HeartbeatTable {
 public:
  // Commands.

  // `peer` answered, at log position `peer_offset`, a heartbeat sent at
  // `sent_at`; this daemon had then folded every record below `own_offset`.
  void RecordAnswer(const DaemonRef& peer, Instant sent_at, Offset peer_offset,
                    Offset own_offset);

  // A read of the log that began at `started_at` found nothing that is not
  // folded.
  void RecordLogRead(Instant started_at);

  // Drops peers that have not answered since `before`.
  void Forget(Instant before);

  // Queries.

  // When the last heartbeat was sent that `peer` answered without being ahead.
  std::optional<Instant> ProofFrom(const DaemonRef& peer) const;

  // The highest position at which `peer` is known to be.
  Offset OffsetOf(const DaemonRef& peer) const;

  std::optional<Instant> last_log_read() const { return this->log_read_at; }

 private:
  struct Entry {
    std::optional<Instant> proof;
    Instant answered;
    Offset offset = 0;
  };

  std::map<DaemonRef, Entry> entries;
  std::optional<Instant> log_read_at;
};

// Whether `self` may use its shares in `roster` at `now`.
bool LeaseIsValid(const configuration::ShareRoster& roster,
                  const DaemonRef& self, const HeartbeatTable& heartbeats,
                  Instant now);

// Whether holders of a majority of the shares are known to have folded the
// roster's fence. `self` is at `own_offset`.
bool MajorityKnowsFence(const configuration::ShareRoster& roster,
                        const DaemonRef& self, Offset own_offset,
                        const HeartbeatTable& heartbeats);

}  // namespace lycheewell::core::rate

#endif  // LYCHEEWELL_CORE_RATE_SHARE_LEASE_H_
