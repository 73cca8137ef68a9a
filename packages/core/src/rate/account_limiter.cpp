#include "lycheewell/core/rate/account_limiter.h"

#include <algorithm>
#include <cmath>
#include <set>

#include "lycheewell/core/configuration/queries/shares.h"

namespace lycheewell::core::rate {
namespace {

// Time constant of the exponential moving average of demand.
constexpr double kDemandTimeConstantSeconds = 1.0;

// Tokens are prefetched for this much demand.
constexpr double kPrefetchSeconds = 0.1;

// Below this demand nothing is prefetched.
constexpr double kMinPrefetchDemandPerSecond = 0.5;

// A loan request without an answer for this long is considered lost.
constexpr Duration kLoanRequestTimeout = std::chrono::milliseconds(50);

// A share with a new holder is used only after the loans of its previous holder
// have expired.
constexpr Duration kTakeoverDelay =
    kLoanLifetime + std::chrono::milliseconds(10);

double Seconds(Duration duration) {
  return std::chrono::duration<double>(duration).count();
}

}  // namespace

AccountLimiter::AccountLimiter(Options new_options, Instant now)
    : options(std::move(new_options)),
      bucket({}, now),
      demand_updated_at(now) {}

void AccountLimiter::Configure(const configuration::Account& account,
                               const configuration::ShareRoster& roster,
                               Instant now) {
  using configuration::queries::CountShares;
  const bool is_first = roster.epoch == 1 && this->share_roster.epoch == 0;
  const configuration::ShareRoster previous = std::move(this->share_roster);
  this->limits = account;
  this->share_roster = roster;
  if (roster.epoch != previous.epoch) {
    this->stopped_shares.clear();
    this->pending_shares = 0;
    this->pending_shares_usable_at = now + kTakeoverDelay;
    MicroTokens level = 0;
    MicroTokens lent = 0;
    for (std::size_t index = 0; index < roster.shares.size(); ++index) {
      const configuration::Share& share = roster.shares[index];
      const bool held_before = index < previous.shares.size() &&
                               previous.shares[index].holder == share.holder &&
                               !previous.shares[index].released;
      if (share.holder != this->options.self || held_before || is_first) {
        continue;
      }
      level += share.remaining_micro_tokens;
      lent += share.lent_micro_tokens;
      this->pending_shares += share.handed_over ? 0 : 1;
    }
    this->ResizeBucket(now);
    this->bucket.TakeOver(level, lent, now);
  }
  this->ResizeBucket(now);
  if (is_first) {
    this->bucket.Fill();
  }
}

std::optional<configuration::ShareReleased> AccountLimiter::ReleaseShare(
    Instant now) {
  for (std::size_t index = 0; index < this->share_roster.shares.size();
       ++index) {
    const configuration::Share& share = this->share_roster.shares[index];
    const bool is_used = share.holder == this->options.self &&
                         !share.released &&
                         !this->stopped_shares.contains(index);
    if (!is_used) {
      continue;
    }
    this->bucket.Refill(now);
    const MicroTokens capacity_before = this->bucket.capacity();
    const MicroTokens level_before = this->bucket.level();
    this->stopped_shares.insert(index);
    this->ResizeBucket(now);
    const MicroTokens share_capacity =
        capacity_before - this->bucket.capacity();
    const MicroTokens lent = std::min(this->bucket.lent(), share_capacity);
    // ResizeBucket lowered the level to the new capacity; the excess tokens go
    // into the release record.
    const MicroTokens excess_level = level_before - this->bucket.level();
    return configuration::ShareReleased{
        .account = this->options.account,
        .epoch = this->share_roster.epoch,
        .holder = this->options.self,
        .share = index,
        .remaining_micro_tokens = std::min(excess_level, share_capacity - lent),
        .lent_micro_tokens = lent};
  }
  return std::nullopt;
}

void AccountLimiter::ActivatePendingShares(Instant now) {
  if (this->pending_shares > 0 && now >= this->pending_shares_usable_at) {
    this->ResizeBucket(now);
  }
}

void AccountLimiter::ResizeBucket(Instant now) {
  const std::size_t held = configuration::queries::CountShares(
      this->share_roster, this->options.self);
  if (now >= this->pending_shares_usable_at) {
    this->pending_shares = 0;
  }
  const auto stopped =
      std::count_if(this->stopped_shares.begin(), this->stopped_shares.end(),
                    [this](std::size_t index) {
                      return !this->share_roster.shares[index].released;
                    });
  const std::size_t unused =
      static_cast<std::size_t>(stopped) + this->pending_shares;
  const std::size_t used = held - std::min(held, unused);
  const std::size_t total =
      std::max<std::size_t>(1, this->share_roster.shares.size());
  const double fraction =
      static_cast<double>(used) / static_cast<double>(total);
  const double capacity =
      this->limits.burst * static_cast<double>(kOneToken) * fraction;
  this->bucket.Resize(this->limits.rate_per_second * fraction,
                      static_cast<MicroTokens>(std::floor(capacity)), now);
}

bool AccountLimiter::TryAdmit(const HeartbeatTable& heartbeats, Instant now) {
  this->UpdateDemand(now);
  this->ActivatePendingShares(now);
  if (LeaseIsValid(this->share_roster, this->options.self, heartbeats, now) &&
      this->bucket.Take(kOneToken, kOneToken, now) == kOneToken) {
    return true;
  }
  return this->borrowed.Spend(kOneToken, now);
}

std::vector<LoanRequest> AccountLimiter::RequestLoans(std::size_t waiting,
                                                      Instant now) {
  const double since_demand = Seconds(now - this->demand_updated_at);
  const double demand = this->demand_per_second *
                        std::exp(-since_demand / kDemandTimeConstantSeconds);
  const double prefetch = demand < kMinPrefetchDemandPerSecond
                              ? 0
                              : std::max(1.0, demand * kPrefetchSeconds);
  const double wanted = (static_cast<double>(waiting) + prefetch) *
                            static_cast<double>(kOneToken) -
                        static_cast<double>(this->Available(now));
  const bool urgent = waiting > 0;
  if (wanted <= 0 ||
      (!urgent && wanted * 2 < prefetch * static_cast<double>(kOneToken))) {
    return {};
  }
  std::set<DaemonRef> lenders;
  for (const configuration::Share& share : this->share_roster.shares) {
    const bool is_lender =
        share.holder != this->options.self && !share.released;
    if (is_lender && !this->borrowed.HasPendingRequest(
                         share.holder, now - kLoanRequestTimeout)) {
      lenders.insert(share.holder);
    }
  }
  if (lenders.empty()) {
    return {};
  }
  const std::size_t first = this->options.random() % lenders.size();
  std::vector<DaemonRef> order(lenders.begin(), lenders.end());
  std::rotate(order.begin(), order.begin() + static_cast<std::ptrdiff_t>(first),
              order.end());
  if (!urgent) {
    order.resize(1);
  }
  std::vector<LoanRequest> requests;
  for (const DaemonRef& lender : order) {
    const std::uint64_t loan_id = this->options.random();
    this->borrowed.ExpectLoan(loan_id, lender, now);
    requests.push_back({.account = this->options.account,
                        .lender = lender,
                        .loan_id = loan_id,
                        .amount = static_cast<MicroTokens>(std::max(
                            wanted / static_cast<double>(order.size()),
                            std::min(wanted, static_cast<double>(kOneToken)))),
                        .urgent = urgent});
  }
  return requests;
}

MicroTokens AccountLimiter::Lend(const LoanRequest& request,
                                 const HeartbeatTable& heartbeats,
                                 Instant now) {
  if (!LeaseIsValid(this->share_roster, this->options.self, heartbeats, now)) {
    return 0;
  }
  this->ActivatePendingShares(now);
  const MicroTokens keep = request.urgent ? 0 : this->bucket.capacity() / 2;
  return this->bucket.Lend(request.loan_id, request.amount, keep, now);
}

void AccountLimiter::AddLoan(std::uint64_t loan_id, MicroTokens amount,
                             Instant now) {
  this->borrowed.AddLoan(loan_id, amount, now);
}

void AccountLimiter::SettleLoan(const LoanSettlement& settlement, Instant now) {
  this->bucket.SettleLoan(settlement.loan_id, settlement.spent,
                          settlement.returned, now);
}

std::vector<LoanSettlement> AccountLimiter::TakeSettlements(Instant now) {
  return this->borrowed.TakeSettlements(this->options.account, now);
}

bool AccountLimiter::HasPendingLoanRequest(Instant now) const {
  return std::any_of(this->share_roster.shares.begin(),
                     this->share_roster.shares.end(),
                     [&](const configuration::Share& share) {
                       return this->borrowed.HasPendingRequest(
                           share.holder, now - kLoanRequestTimeout);
                     });
}

Duration AccountLimiter::TimePerToken() const {
  if (this->limits.rate_per_second <= 0) {
    return std::chrono::seconds(1);
  }
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(1.0 / this->limits.rate_per_second));
}

MicroTokens AccountLimiter::Available(Instant now) const {
  return this->bucket.level() + this->borrowed.Available(now);
}

void AccountLimiter::UpdateDemand(Instant now) {
  const double elapsed = Seconds(now - this->demand_updated_at);
  this->demand_per_second *= std::exp(-elapsed / kDemandTimeConstantSeconds);
  this->demand_per_second += 1.0 / kDemandTimeConstantSeconds;
  this->demand_updated_at = now;
}

}  // namespace lycheewell::core::rate
