// Sends the failure detector's pings and the shares' heartbeats, and answers
// those of peers.
#ifndef LYCHEEWELL_DAEMON_MEMBERSHIP_GOSSIP_H_
#define LYCHEEWELL_DAEMON_MEMBERSHIP_GOSSIP_H_

#include <map>

#include "lycheewell/daemon/agreement/follower.h"
#include "lycheewell/daemon/services.h"

namespace lycheewell::daemon::membership {

class Gossip {
 public:
  Gossip(Services& services, agreement::Follower& follower);

  // Commands.

  // Called every few milliseconds.
  void Tick();

  // Tells all live members at once that this daemon takes no more work.
  void BeginDrain();

  // Takes over the members from the configuration.
  void ApplyConfiguration(const core::configuration::State& state);

  void HandlePing(const peers::Incoming& message);

  // Asks some of `daemons` for their log positions, without waiting.
  void AskOffsets(const std::vector<core::DaemonRef>& daemons);

  // Queries.

  // The highest log position heard from each daemon, for operators.
  std::map<core::DaemonRef, core::Offset> Offsets();

 private:
  void SendPing(const core::DaemonRef& to,
                const std::optional<core::DaemonRef>& subject);
  void ReceiveAnswer(const core::DaemonRef& peer,
                     const std::optional<core::DaemonRef>& subject,
                     core::Instant sent_at, const peers::Answer& answer);
  void PingForOther(const peers::Incoming& message);
  void ApplyUpdates(
      const google::protobuf::RepeatedPtrField<peers::MemberUpdate>& updates);
  void ReportHealthChanges();
  std::set<core::DaemonRef> CoHolders();

  Services& services;
  agreement::Follower& follower;
  tables::Guarded<std::map<core::DaemonRef, core::Offset>> offsets;
  tables::Guarded<std::map<core::DaemonRef, core::membership::Health>> reported;
  core::Instant heartbeats_sent_at;
  core::Instant reported_at;
};

}  // namespace lycheewell::daemon::membership

#endif  // LYCHEEWELL_DAEMON_MEMBERSHIP_GOSSIP_H_
