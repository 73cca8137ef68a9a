// Failure detection among the members on the log with the SWIM protocol: random
// pings, indirect pings, suspicion with refutation, and updates that are
// piggybacked on the pings. A daemon's message rate does not grow with the
// number of members.
#ifndef LYCHEEWELL_CORE_MEMBERSHIP_FAILURE_DETECTOR_H_
#define LYCHEEWELL_CORE_MEMBERSHIP_FAILURE_DETECTOR_H_

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "lycheewell/core/types.h"

namespace lycheewell::core::membership {

// In ascending order of severity: of two updates with equal refutation numbers,
// the one with the more severe health takes precedence.
enum class Health : std::uint8_t { kAlive, kDraining, kSuspected, kDead };

// What one daemon reports of another, or of itself. An update with a higher
// refutation number takes precedence.
struct Update {
  DaemonRef daemon;
  Health health = Health::kAlive;
  // Incremented only by `daemon` itself, to override what others report of it
  // (SWIM's incarnation number).
  std::uint64_t refutation_number = 0;

  bool operator==(const Update&) const = default;
};

// A ping to send to `to`. With a `subject` it is indirect: `to` pings `subject`
// and reports whether it answered.
struct OutgoingPing {
  DaemonRef to;
  std::optional<DaemonRef> subject;

  bool operator==(const OutgoingPing&) const = default;
};

class FailureDetector {
 public:
  struct Options {
    DaemonRef self;
    RandomSource random;
    Duration ping_interval = std::chrono::milliseconds(200);
    Duration ping_timeout = std::chrono::milliseconds(250);
    Duration suspicion_timeout = std::chrono::milliseconds(900);
  };

  explicit FailureDetector(Options options);

  // Commands.

  // Replaces the members by those on the log. A member that was not known
  // before counts as alive.
  void SetMembers(const std::vector<DaemonRef>& members);

  // Handles timeouts and returns the pings to send now. Must be called more
  // often than once per ping interval.
  std::vector<OutgoingPing> Tick(Instant now);

  // Records that `daemon` answered a ping, directly or through another daemon.
  void RecordAnswer(const DaemonRef& daemon);

  // Records an update from another daemon, unless a known one takes precedence.
  // If it reports this daemon as suspected or dead, this daemon refutes it.
  void RecordUpdate(const Update& update, Instant now);

  // Announces that this daemon takes no more requests.
  void BeginDrain();

  // Returns at most `max_count` updates to piggyback on a message: a pending
  // one of this daemon first, then those sent least often. Counts them as sent.
  std::vector<Update> TakeUpdates(std::size_t max_count);

  // Queries.

  // kDead for a daemon that is not a member.
  Health HealthOf(const DaemonRef& daemon) const;
  bool IsLive(const DaemonRef& daemon) const {
    return this->HealthOf(daemon) != Health::kDead;
  }
  // Members that are not dead, without this daemon.
  std::vector<DaemonRef> LiveMembers() const;

  // Members that have been dead since `since` or longer.
  std::vector<DaemonRef> DeadSince(Instant since) const;

 private:
  struct Entry {
    Update update;
    Instant changed_at;
    int transmit_count = 0;  // times that `update` was sent
  };

  // A member that was pinged and has not answered yet.
  struct Probe {
    Instant sent_at;
    bool is_indirect = false;
  };

  void Store(const Update& update, Instant now);
  std::optional<DaemonRef> NextToPing();
  // Pings members indirectly that did not answer a direct ping in time, and
  // suspects those that did not answer the indirect pings either.
  void EscalateProbes(Instant now, std::vector<OutgoingPing>& pings);

  Options options;
  std::uint64_t own_refutation_number = 0;
  bool draining = false;
  bool own_update_pending = false;
  int own_transmit_count = 0;
  std::map<DaemonRef, Entry> members;
  // Members still to ping, in random order, before all are pinged again.
  std::vector<DaemonRef> ping_queue;
  std::map<DaemonRef, Probe> probes;
  std::optional<Instant> last_ping_at;
};

}  // namespace lycheewell::core::membership

#endif  // LYCHEEWELL_CORE_MEMBERSHIP_FAILURE_DETECTOR_H_
