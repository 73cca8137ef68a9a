// Appends the records that keep the agreed state whole: this daemon's
// membership, share rosters, evictions and snapshots.
#ifndef LYCHEEWELL_DAEMON_AGREEMENT_CARETAKER_H_
#define LYCHEEWELL_DAEMON_AGREEMENT_CARETAKER_H_

#include <boost/asio/awaitable.hpp>
#include <string>

#include "lycheewell/core/rate/share_issuer.h"
#include "lycheewell/daemon/agreement/follower.h"
#include "lycheewell/daemon/services.h"

namespace lycheewell::daemon::agreement {

class Caretaker {
 public:
  Caretaker(Services& services, Follower& follower);

  // Commands.

  // Runs until Stop.
  boost::asio::awaitable<void> Run();
  void Stop() { this->stopping = true; }

  // The service of the target beside this daemon, to be told on the log.
  void SetService(const std::string& service);

  // Hands back all shares and leaves the members. Ends at `deadline` when the
  // log cannot be reached.
  boost::asio::awaitable<void> Leave(core::Instant deadline);

 private:
  boost::asio::awaitable<void> KeepMembership();
  boost::asio::awaitable<void> KeepRosters();
  boost::asio::awaitable<void> KeepShareBalance();
  bool StopUsingShare(const std::string& account);
  boost::asio::awaitable<void> AppendReleases();
  boost::asio::awaitable<void> EvictDead();
  boost::asio::awaitable<void> WriteSnapshot();
  boost::asio::awaitable<bool> WaitUntilFolded(core::Instant deadline,
                                               core::Offset offset);
  bool IsFirstFor(const std::string& duty);
  core::membership::Health HealthOf(const core::DaemonRef& daemon);

  Services& services;
  Follower& follower;
  core::rate::ShareIssuer issuer;
  std::atomic<bool> stopping = false;
  std::atomic<bool> leaving = false;
  tables::Guarded<std::string> service;
  // Releases that are not folded yet.
  std::vector<core::configuration::ShareReleased> releases;
  core::Instant balanced_at;
  core::Instant joined_at;
  core::Offset snapshot_tried_at = 0;
};

}  // namespace lycheewell::daemon::agreement

#endif  // LYCHEEWELL_DAEMON_AGREEMENT_CARETAKER_H_
