// Keeps the share rosters of all accounts complete: decides which record one
// daemon should append next.
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
    // Whether a daemon is believed to be running, by the gossip membership.
    std::function<bool(const DaemonRef&)> is_running;
    // Whether a running daemon may be given shares: it is not leaving.
    std::function<bool(const DaemonRef&)> takes_shares;
  };

  explicit ShareIssuer(Options options);

  // Commands.

  // Records to append now. The same record is proposed again only after
  // kRepeatTime.
  std::vector<configuration::Record> Propose(const configuration::State& state,
                                             const HeartbeatTable& heartbeats,
                                             Instant now);

 private:
  struct AccountProgress {
    std::uint64_t epoch = 0;
    Offset fenced_at = 0;
    std::optional<Instant> majority_knew_at;
    Instant proposed_at;
    bool has_proposed = false;
  };

  std::optional<configuration::Record> ProposeFor(
      const configuration::State& state, const std::string& account,
      const HeartbeatTable& heartbeats, Instant now);
  bool IsResponsible(const configuration::State& state,
                     const std::string& account) const;
  bool FencePassed(const configuration::State& state,
                   const configuration::ShareRoster& roster,
                   AccountProgress& progress, const HeartbeatTable& heartbeats,
                   Instant now) const;

  Options options;
  std::map<std::string, AccountProgress> progress_by_account;
};

}  // namespace lycheewell::core::rate

#endif  // LYCHEEWELL_CORE_RATE_SHARE_ISSUER_H_
