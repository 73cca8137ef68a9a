#include "lycheewell/sidecar/requests/accounts.h"

#include <algorithm>

#include "lycheewell/core/routing/rendezvous.h"

namespace lycheewell::sidecar::requests {
namespace {

// A keeper in another data centre answers within a few milliseconds; a slowed
// one within this time.
constexpr core::Duration kAskTimeout = std::chrono::milliseconds(250);

// Bounds of the Retry-After of a request beyond its account's rate.
constexpr core::Duration kLeastRetryAfter = std::chrono::milliseconds(200);
constexpr core::Duration kMostRetryAfter = std::chrono::seconds(2);

// Tokens of a daemon that grants itself need no prefetch.
constexpr int kOne = 1;

core::rate::AccountRate RateOf(const core::manifest::Account& account) {
  return {.per_second = account.rate_per_second, .burst = account.burst};
}

}  // namespace

Accounts::Accounts(TimerQueue& new_timers, links::Mesh& new_mesh,
                   core::Duration window)
    : timers(new_timers), mesh(new_mesh), keeper(window) {}

Accounts::Holding& Accounts::HoldingOf(const std::string& account) {
  return this->holdings
      .try_emplace(account, Holding{.holder = core::rate::LocalTokenPool(
                                        std::chrono::steady_clock::now())})
      .first->second;
}

std::string Accounts::KeeperOf(const std::string& account) {
  if (this->keepers_known_at != this->mesh.reachability_version()) {
    this->keepers_known_at = this->mesh.reachability_version();
    this->keepers.clear();
  }
  const auto known = this->keepers.find(account);
  if (known != this->keepers.end()) {
    return known->second;
  }
  std::string keeper = this->mesh.self_name();
  std::uint64_t best = core::routing::RendezvousScore(account, keeper);
  for (const std::string& member : this->mesh.reachable_members()) {
    const std::uint64_t score = core::routing::RendezvousScore(account, member);
    if (score > best) {
      best = score;
      keeper = member;
    }
  }
  this->keepers.emplace(account, keeper);
  return keeper;
}

void Accounts::Return(const core::manifest::Account& account) {
  if (account.rate_per_second > 0) {
    this->HoldingOf(account.name)
        .holder.Return(std::chrono::steady_clock::now());
  }
}

void Accounts::Acquire(const core::manifest::Account& account, Callback done) {
  if (account.rate_per_second <= 0) {
    done(true, {});
    return;
  }
  const core::Instant now = std::chrono::steady_clock::now();
  Holding& holding = this->HoldingOf(account.name);
  holding.rate = RateOf(account);
  if (holding.waiting.empty() && holding.holder.Take(now)) {
    done(true, {});
    return;
  }
  const std::string keeper_name = this->KeeperOf(account.name);
  if (keeper_name == this->mesh.self_name()) {
    const int granted = this->keeper.Grant(
        account.name, kOne, holding.rate, this->mesh.reachable_fraction(), now);
    done(granted > 0,
         granted > 0 ? core::Duration::zero() : this->RetryAfter(holding));
    return;
  }
  if (holding.holder.IsExhausted(now)) {
    done(false, this->RetryAfter(holding));
    return;
  }
  holding.waiting.push_back({std::move(done)});
  this->AskKeeper(account.name, holding);
}

core::Duration Accounts::RetryAfter(const Holding& holding) const {
  const auto period =
      std::chrono::duration_cast<core::Duration>(std::chrono::duration<double>(
          1.0 / std::max(0.1, holding.rate.per_second)));
  // All daemons' refused requests share the next tokens.
  return std::clamp<core::Duration>(
      period * static_cast<core::Duration::rep>(this->mesh.daemon_count()),
      kLeastRetryAfter, kMostRetryAfter);
}

void Accounts::AskKeeper(const std::string& account, Holding& holding) {
  if (holding.ask_id != 0 || holding.waiting.empty()) {
    return;
  }
  const std::uint64_t ask_id = ++this->last_ask;
  const std::string keeper_name = this->KeeperOf(account);
  const int amount = static_cast<int>(holding.waiting.size()) +
                     holding.holder.PrefetchAmount();
  Ask& ask = this->asks[ask_id];
  ask = {.account = account, .keeper = keeper_name, .amount = amount};
  holding.ask_id = ask_id;
  mesh::Frame frame;
  frame.mutable_token_ask()->set_ask_id(ask_id);
  frame.mutable_token_ask()->set_account(account);
  frame.mutable_token_ask()->set_amount(static_cast<std::uint32_t>(amount));
  if (!this->mesh.Send(keeper_name, frame)) {
    this->FallBack(ask_id);
    return;
  }
  ask.timer = this->timers.After(kAskTimeout, [this, ask_id] {
    this->asks[ask_id].timer = 0;
    this->FallBack(ask_id);
  });
}

void Accounts::OnAsk(const links::LinkPointer& link, const mesh::TokenAsk& ask,
                     const core::manifest::Account* account) {
  mesh::Frame frame;
  mesh::TokenGrant& grant = *frame.mutable_token_grant();
  grant.set_ask_id(ask.ask_id());
  if (account == nullptr ||
      this->KeeperOf(account->name) != this->mesh.self_name()) {
    grant.set_is_not_keeper(true);
  } else {
    const int granted = this->keeper.Grant(
        account->name, static_cast<int>(ask.amount()), RateOf(*account),
        this->mesh.reachable_fraction(), std::chrono::steady_clock::now());
    grant.set_amount(static_cast<std::uint32_t>(granted));
  }
  link->Send(frame);
}

void Accounts::OnGrant(const mesh::TokenGrant& grant) {
  const auto found = this->asks.find(grant.ask_id());
  if (found == this->asks.end()) {
    return;  // given up meanwhile; the tokens lapse
  }
  if (grant.is_not_keeper()) {
    this->FallBack(grant.ask_id());
    return;
  }
  Ask ask = found->second;
  this->timers.Cancel(ask.timer);
  this->asks.erase(found);
  Holding& holding = this->HoldingOf(ask.account);
  holding.ask_id = 0;
  const core::Instant now = std::chrono::steady_clock::now();
  holding.holder.AddGrant(static_cast<int>(grant.amount()), ask.amount, now);
  const bool is_empty = static_cast<int>(grant.amount()) < ask.amount;
  std::deque<Waiting> waiting;
  std::swap(waiting, holding.waiting);
  while (!waiting.empty()) {
    const bool allowed = holding.holder.Take(now);
    if (!allowed && !is_empty) {
      break;  // these came after the question
    }
    const Callback done = std::move(waiting.front().done);
    waiting.pop_front();
    done(allowed, allowed ? core::Duration::zero() : this->RetryAfter(holding));
  }
  Holding& after = this->HoldingOf(ask.account);
  after.waiting.insert(after.waiting.begin(),
                       std::make_move_iterator(waiting.begin()),
                       std::make_move_iterator(waiting.end()));
  this->AskKeeper(ask.account, after);
}

void Accounts::FallBack(std::uint64_t ask_id) {
  const auto found = this->asks.find(ask_id);
  if (found == this->asks.end()) {
    return;
  }
  Ask ask = found->second;
  this->timers.Cancel(ask.timer);
  this->asks.erase(found);
  Holding& holding = this->HoldingOf(ask.account);
  holding.ask_id = 0;
  std::deque<Waiting> waiting;
  std::swap(waiting, holding.waiting);
  for (Waiting& entry : waiting) {
    const bool allowed =
        holding.holder.TakeFallback(holding.rate, this->mesh.daemon_count(),
                                    std::chrono::steady_clock::now());
    entry.done(allowed,
               allowed ? core::Duration::zero() : this->RetryAfter(holding));
  }
}

void Accounts::OnLost(const std::string& member) {
  std::vector<std::uint64_t> lost;
  for (const auto& [id, ask] : this->asks) {
    if (ask.keeper == member) {
      lost.push_back(id);
    }
  }
  for (const std::uint64_t id : lost) {
    this->FallBack(id);
  }
}

}  // namespace lycheewell::sidecar::requests
