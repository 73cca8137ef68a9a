// Assigns the shares of all accounts to running daemons. Decides which roster
// and fence records a daemon appends to the log.
#ifndef LYCHEEWELL_CORE_RATE_SHARE_ISSUER_H_
#define LYCHEEWELL_CORE_RATE_SHARE_ISSUER_H_

#include <functional>
#include <map>
#include <string>
#include <vector>

#include "lycheewell/core/configuration/state.h"
#include "lycheewell/core/rate/share_lease.h"

namespace lycheewell::core::rate {

class ShareIssuer {
 public:
  struct Options {
    DaemonRef self;
    // Whether the failure detector considers a daemon live, that is, not dead.
    std::function<bool(const DaemonRef&)> is_running;
    // Whether a daemon may be assigned shares: it is live and not draining.
    std::function<bool(const DaemonRef&)> takes_shares;
  };

  explicit ShareIssuer(Options options);

  // Commands.

  // Returns the records to append now. After a proposal for an account, the
  // next one follows only after kProposalRetryInterval.
  std::vector<configuration::Record> Propose(const configuration::State& state,
                                             const HeartbeatTable& heartbeats,
                                             Instant now);

 private:
  struct AccountProgress {
    std::uint64_t epoch = 0;
    Offset fenced_at = 0;
    std::optional<Instant> majority_applied_at;
    Instant proposed_at;
    bool has_proposed = false;
  };

  std::optional<configuration::Record> ProposeFor(
      const configuration::State& state, const std::string& account,
      const HeartbeatTable& heartbeats, Instant now);
  bool IsResponsible(const configuration::State& state,
                     const std::string& account) const;
  // Updates `progress` with the fence of `roster`: which fence it is and when a
  // majority was first seen to have applied the fence record. Returns whether
  // the wait that follows is over; false if `roster` has no fence.
  bool UpdateFenceProgress(const configuration::State& state,
                           const configuration::ShareRoster& roster,
                           AccountProgress& progress,
                           const HeartbeatTable& heartbeats, Instant now) const;

  Options options;
  std::map<std::string, AccountProgress> progress_by_account;
};

}  // namespace lycheewell::core::rate

#endif  // LYCHEEWELL_CORE_RATE_SHARE_ISSUER_H_
