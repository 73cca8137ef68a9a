// Holds client accounts to their rates across the fleet.
#ifndef LYCHEEWELL_SIDECAR_REQUESTS_ACCOUNTS_H_
#define LYCHEEWELL_SIDECAR_REQUESTS_ACCOUNTS_H_

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

// One reachable daemon keeps each account's bucket; which one follows from a
// hash of the account and the members. While the keeper is out of reach, a
// daemon spends its own part of the rate.
class Accounts {
 public:
  // Whether the request may go on; otherwise when to come back.
  using Callback =
      std::function<void(bool allowed, core::Duration retry_after)>;

  Accounts(TimerQueue& timers, links::Mesh& mesh, core::Duration window);

  // Commands.

  // `done` may be called before Acquire returns.
  void Acquire(const core::manifest::Account& account, Callback done);

  // A request of the account that was allowed has not run.
  void Return(const core::manifest::Account& account);

  // A peer asks this daemon as keeper. `account` is null when the manifest
  // here does not know it.
  void OnAsk(const links::LinkPointer& link, const mesh::TokenAsk& ask,
             const core::manifest::Account* account);

  void OnGrant(const mesh::TokenGrant& grant);

  // The keeper at `member` answers no more.
  void OnLost(const std::string& member);

 private:
  struct Waiting {
    Callback done;
  };
  struct Ask {
    std::string account;
    std::string keeper;
    int amount = 0;
    TimerQueue::Id timer = 0;
  };
  struct Holding {
    core::rate::LocalTokenPool holder;
    core::rate::AccountRate rate;
    std::deque<Waiting> waiting;
    std::uint64_t ask_id = 0;  // 0: none under way
  };

  Holding& HoldingOf(const std::string& account);
  std::string KeeperOf(const std::string& account);
  void AskKeeper(const std::string& account, Holding& holding);
  void Settle(Holding& holding);
  void FallBack(std::uint64_t ask_id);
  core::Duration RetryAfter(const Holding& holding) const;

  TimerQueue& timers;
  links::Mesh& mesh;
  core::rate::AccountBuckets keeper;
  std::map<std::string, Holding> holdings;
  std::map<std::uint64_t, Ask> asks;
  std::uint64_t last_ask = 0;
  // Keepers by account, for one state of the mesh.
  std::map<std::string, std::string> keepers;
  std::uint64_t keepers_known_at = 0;
};

}  // namespace lycheewell::sidecar::requests

#endif  // LYCHEEWELL_SIDECAR_REQUESTS_ACCOUNTS_H_
