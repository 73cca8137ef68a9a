// Failure detection among the members on the log: random pings, indirect pings,
// suspicion with refutation, and updates that ride on the pings (SWIM). A
// daemon's cost does not grow with the number of members.
#ifndef LYCHEEWELL_CORE_MEMBERSHIP_DETECTOR_H_
#define LYCHEEWELL_CORE_MEMBERSHIP_DETECTOR_H_

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "lycheewell/core/types.h"

namespace lycheewell::core::membership {

enum class Health : std::uint8_t { kAlive, kDraining, kSuspected, kDead };

// What one daemon says of another. A higher refutation wins; with an equal one
// the worse health wins.
struct Update {
  DaemonRef daemon;
  Health health = Health::kAlive;
  std::uint64_t refutation = 0;

  bool operator==(const Update&) const = default;
};

// A ping to send: to `to`, or to `subject` by way of `to`.
struct PingOrder {
  DaemonRef to;
  std::optional<DaemonRef> subject;

  bool operator==(const PingOrder&) const = default;
};

class Detector {
 public:
  struct Options {
    DaemonRef self;
    RandomSource random;
    Duration ping_interval = std::chrono::milliseconds(200);
    Duration answer_time = std::chrono::milliseconds(250);
    Duration suspicion_time = std::chrono::milliseconds(900);
  };

  explicit Detector(Options options);

  // Commands.

  // The members on the log. A member that is new here counts as alive.
  void SetMembers(const std::vector<DaemonRef>& members);

  // Pings to send now. Called more often than the ping interval.
  std::vector<PingOrder> Tick(Instant now);

  // `daemon` answered a ping, directly or through another daemon.
  void RecordAnswer(const DaemonRef& daemon);

  void RecordUpdate(const Update& update, Instant now);

  // This daemon takes no more work.
  void BeginDrain();

  // Updates to put on a message, those told least often first.
  std::vector<Update> TakeUpdates(std::size_t most);

  // Queries.

  // Dead for daemons that are no members.
  Health HealthOf(const DaemonRef& daemon) const;
  bool IsLive(const DaemonRef& daemon) const {
    return this->HealthOf(daemon) != Health::kDead;
  }
  std::vector<DaemonRef> LiveMembers() const;

  // Members that have been dead since before `since`.
  std::vector<DaemonRef> DeadSince(Instant since) const;

 private:
  struct Entry {
    Update update;
    Instant changed_at;
    int told = 0;
  };

  struct Probe {
    Instant sent_at;
    bool is_indirect = false;
  };

  void Store(const Update& update, Instant now);
  std::optional<DaemonRef> NextToPing();
  void EscalateProbes(Instant now, std::vector<PingOrder>& orders);

  Options options;
  std::uint64_t own_refutation = 0;
  bool draining = false;
  bool must_tell_self = false;
  int own_told = 0;
  std::map<DaemonRef, Entry> members;
  std::vector<DaemonRef> round;  // members still to ping in this round
  std::map<DaemonRef, Probe> probes;
  std::optional<Instant> pinged_at;
};

}  // namespace lycheewell::core::membership

#endif  // LYCHEEWELL_CORE_MEMBERSHIP_DETECTOR_H_
