// Limits client accounts to their rates across the fleet.
#ifndef LYCHEEWELL_SIDECAR_REQUESTS_ACCOUNT_LIMITER_H_
#define LYCHEEWELL_SIDECAR_REQUESTS_ACCOUNT_LIMITER_H_

#include <mesh.pb.h>

#include <deque>
#include <functional>
#include <map>
#include <string>

#include "lycheewell/core/manifest/manifest.h"
#include "lycheewell/core/rate/fleet_tokens.h"
#include "lycheewell/sidecar/links/mesh.h"
#include "lycheewell/sidecar/timer_queue.h"

namespace lycheewell::sidecar::requests {

// Each account has an owner, a reachable daemon that holds the account's token
// bucket. Rendezvous hashing of the account over the reachable members selects
// the owner. While the owner does not answer, a daemon uses its own fraction of
// the rate. core::rate::AccountLimiter is the limiter of daemons with their own
// control path; it uses shares of the rate instead of an owner.
class AccountLimiter {
 public:
  // Says whether the request is allowed; otherwise when to retry it.
  using Callback =
      std::function<void(bool allowed, core::Duration retry_after)>;

  AccountLimiter(TimerQueue& timers, links::Mesh& mesh, core::Duration window);

  // Commands.

  // Takes a token for a request. `done` may be called before Acquire returns.
  void Acquire(const core::manifest::Account& account, Callback done);

  // Returns the token of a request that was allowed but did not run.
  void Return(const core::manifest::Account& account);

  // Answers a peer that takes this daemon for the account's owner. `account` is
  // null if this daemon's manifest does not contain it.
  void OnTokenRequest(const links::LinkPointer& link,
                      const mesh::TokenAsk& request,
                      const core::manifest::Account* account);

  void OnTokenGrant(const mesh::TokenGrant& grant);

  // Falls back for the unanswered token requests to `member`.
  void OnLinkLost(const std::string& member);

 private:
  struct Waiting {
    Callback done;
  };
  struct TokenRequest {
    std::string account;
    std::string owner;
    int amount = 0;
    core::Instant sent_at;
    TimerQueue::Id timer = 0;
  };
  struct AccountState {
    core::rate::LocalTokenPool pool;
    core::rate::AccountRate rate;
    std::deque<Waiting> waiting;
    std::uint64_t request_id = 0;  // 0: no token request is in flight
  };

  AccountState& StateOf(const std::string& account);
  std::string OwnerOf(const std::string& account);
  void RequestTokens(const std::string& account, AccountState& state);
  void FallBack(std::uint64_t request_id);
  bool TakeFallback(AccountState& state, core::Instant now);
  // While this daemon was paused, another one may have granted tokens as the
  // owner. The buckets start like those of a new owner.
  void ForgetGrantsBeforePause();
  core::Duration RetryAfter(const AccountState& state) const;

  TimerQueue& timers;
  links::Mesh& mesh;
  core::rate::AccountBuckets owned_buckets;
  std::map<std::string, AccountState> account_states;
  std::map<std::uint64_t, TokenRequest> token_requests;
  std::uint64_t last_request_id = 0;
  std::uint64_t known_pauses = 0;
  // Cached owners by account, valid for one reachability version of the mesh.
  std::map<std::string, std::string> owners;
  std::uint64_t owners_version = 0;
};

}  // namespace lycheewell::sidecar::requests

#endif  // LYCHEEWELL_SIDECAR_REQUESTS_ACCOUNT_LIMITER_H_
