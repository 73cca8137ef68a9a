#include "lycheewell/sidecar/requests/account_limiter.h"

#include <algorithm>

#include "lycheewell/core/routing/rendezvous.h"
#include "lycheewell/sidecar/clock.h"

namespace lycheewell::sidecar::requests {
namespace {

// An owner in another data centre answers within a few milliseconds, and within
// this time if it is slowed down.
constexpr core::Duration kTokenRequestTimeout = std::chrono::milliseconds(250);

// Bounds of the Retry-After of requests over their account's rate.
constexpr core::Duration kMinRetryAfter = std::chrono::milliseconds(200);
constexpr core::Duration kMaxRetryAfter = std::chrono::seconds(2);

// The owner takes tokens from its own bucket one by one, without prefetching.
constexpr int kSelfGrantAmount = 1;

core::rate::AccountRate RateOf(const core::manifest::Account& account) {
  return {.per_second = account.rate_per_second, .burst = account.burst};
}

}  // namespace

AccountLimiter::AccountLimiter(TimerQueue& new_timers, links::Mesh& new_mesh,
                               core::Duration window)
    : timers(new_timers), mesh(new_mesh), owned_buckets(window) {}

AccountLimiter::AccountState& AccountLimiter::StateOf(
    const std::string& account) {
  return this->account_states
      .try_emplace(account,
                   AccountState{.pool = core::rate::LocalTokenPool(Now())})
      .first->second;
}

std::string AccountLimiter::OwnerOf(const std::string& account) {
  if (this->owners_version != this->mesh.reachability_version()) {
    this->owners_version = this->mesh.reachability_version();
    this->owners.clear();
  }
  const auto known = this->owners.find(account);
  if (known != this->owners.end()) {
    return known->second;
  }
  std::string owner = this->mesh.self_name();
  std::uint64_t best = core::routing::RendezvousScore(account, owner);
  for (const std::string& member : this->mesh.reachable_members()) {
    const std::uint64_t score = core::routing::RendezvousScore(account, member);
    if (score > best) {
      best = score;
      owner = member;
    }
  }
  this->owners.emplace(account, owner);
  return owner;
}

void AccountLimiter::Return(const core::manifest::Account& account) {
  if (account.rate_per_second > 0) {
    this->StateOf(account.name).pool.Return(Now());
  }
}

void AccountLimiter::Acquire(const core::manifest::Account& account,
                             Callback done) {
  if (account.rate_per_second <= 0) {
    done(true, {});
    return;
  }
  const core::Instant now = Now();
  AccountState& state = this->StateOf(account.name);
  state.rate = RateOf(account);
  if (state.waiting.empty() && state.pool.Take(now)) {
    done(true, {});
    return;
  }
  const std::string owner_name = this->OwnerOf(account.name);
  this->ForgetGrantsBeforePause();
  if (owner_name == this->mesh.self_name()) {
    const int granted =
        this->owned_buckets.Grant(account.name, kSelfGrantAmount, state.rate,
                                  this->mesh.reachable_fraction(), now);
    done(granted > 0,
         granted > 0 ? core::Duration::zero() : this->RetryAfter(state));
    return;
  }
  if (state.pool.IsExhausted(now)) {
    done(false, this->RetryAfter(state));
    return;
  }
  state.waiting.push_back({std::move(done)});
  this->RequestTokens(account.name, state);
}

core::Duration AccountLimiter::RetryAfter(const AccountState& state) const {
  const auto period =
      std::chrono::duration_cast<core::Duration>(std::chrono::duration<double>(
          1.0 / std::max(0.1, state.rate.per_second)));
  // Refused requests of all daemons compete for the next tokens.
  return std::clamp<core::Duration>(
      period * static_cast<core::Duration::rep>(this->mesh.daemon_count()),
      kMinRetryAfter, kMaxRetryAfter);
}

void AccountLimiter::RequestTokens(const std::string& account,
                                   AccountState& state) {
  if (state.request_id != 0 || state.waiting.empty()) {
    return;
  }
  const std::uint64_t request_id = ++this->last_request_id;
  const std::string owner_name = this->OwnerOf(account);
  const int amount =
      static_cast<int>(state.waiting.size()) + state.pool.PrefetchAmount();
  TokenRequest& request = this->token_requests[request_id];
  request = {.account = account,
             .owner = owner_name,
             .amount = amount,
             .sent_at = Now()};
  state.request_id = request_id;
  mesh::Frame frame;
  frame.mutable_token_ask()->set_ask_id(request_id);
  frame.mutable_token_ask()->set_account(account);
  frame.mutable_token_ask()->set_amount(static_cast<std::uint32_t>(amount));
  if (!this->mesh.Send(owner_name, frame)) {
    this->FallBack(request_id);
    return;
  }
  request.timer = this->timers.After(kTokenRequestTimeout, [this, request_id] {
    this->token_requests[request_id].timer = 0;
    this->FallBack(request_id);
  });
}

void AccountLimiter::OnTokenRequest(const links::LinkPointer& link,
                                    const mesh::TokenAsk& request,
                                    const core::manifest::Account* account) {
  mesh::Frame frame;
  mesh::TokenGrant& grant = *frame.mutable_token_grant();
  grant.set_ask_id(request.ask_id());
  this->ForgetGrantsBeforePause();
  if (account == nullptr ||
      this->OwnerOf(account->name) != this->mesh.self_name()) {
    grant.set_is_not_keeper(true);
  } else {
    const int granted = this->owned_buckets.Grant(
        account->name, static_cast<int>(request.amount()), RateOf(*account),
        this->mesh.reachable_fraction(), Now());
    grant.set_amount(static_cast<std::uint32_t>(granted));
  }
  link->Send(frame);
}

void AccountLimiter::OnTokenGrant(const mesh::TokenGrant& grant) {
  const auto found = this->token_requests.find(grant.ask_id());
  if (found == this->token_requests.end()) {
    return;  // the request has timed out; the granted tokens are discarded
  }
  // After a pause, an answer may be read before the timer has run.
  if (grant.is_not_keeper() ||
      Now() - found->second.sent_at > kTokenRequestTimeout) {
    this->FallBack(grant.ask_id());
    return;
  }
  TokenRequest request = found->second;
  this->timers.Cancel(request.timer);
  this->token_requests.erase(found);
  AccountState& state = this->StateOf(request.account);
  state.request_id = 0;
  const core::Instant now = Now();
  state.pool.AddGrant(static_cast<int>(grant.amount()), request.amount,
                      request.sent_at, now);
  const bool is_empty = static_cast<int>(grant.amount()) < request.amount;
  std::deque<Waiting> waiting;
  std::swap(waiting, state.waiting);
  while (!waiting.empty()) {
    const bool allowed = state.pool.Take(now);
    if (!allowed && !is_empty) {
      break;  // the rest arrived after the token request was sent
    }
    const Callback done = std::move(waiting.front().done);
    waiting.pop_front();
    done(allowed, allowed ? core::Duration::zero() : this->RetryAfter(state));
  }
  AccountState& after = this->StateOf(request.account);
  after.waiting.insert(after.waiting.begin(),
                       std::make_move_iterator(waiting.begin()),
                       std::make_move_iterator(waiting.end()));
  this->RequestTokens(request.account, after);
}

void AccountLimiter::ForgetGrantsBeforePause() {
  if (this->known_pauses != this->mesh.pause_count()) {
    this->known_pauses = this->mesh.pause_count();
    this->owned_buckets.Clear();
  }
}

bool AccountLimiter::TakeFallback(AccountState& state, core::Instant now) {
  return state.pool.TakeFallback(state.rate, this->mesh.daemon_count(), now);
}

void AccountLimiter::FallBack(std::uint64_t request_id) {
  const auto found = this->token_requests.find(request_id);
  if (found == this->token_requests.end()) {
    return;
  }
  TokenRequest request = found->second;
  this->timers.Cancel(request.timer);
  this->token_requests.erase(found);
  AccountState& state = this->StateOf(request.account);
  state.request_id = 0;
  std::deque<Waiting> waiting;
  std::swap(waiting, state.waiting);
  for (Waiting& entry : waiting) {
    const bool allowed = this->TakeFallback(state, Now());
    entry.done(allowed,
               allowed ? core::Duration::zero() : this->RetryAfter(state));
  }
}

void AccountLimiter::OnLinkLost(const std::string& member) {
  std::vector<std::uint64_t> lost;
  for (const auto& [id, request] : this->token_requests) {
    if (request.owner == member) {
      lost.push_back(id);
    }
  }
  for (const std::uint64_t id : lost) {
    this->FallBack(id);
  }
}

}  // namespace lycheewell::sidecar::requests
