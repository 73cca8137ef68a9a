#include "lycheewell/core/overload/account_turns.h"

#include <algorithm>
#include <cmath>
#include <utility>
#include <vector>

namespace lycheewell::core::overload {
namespace {

// A request counts as recent with a weight that decays with this time constant.
// It spans several requests of an ordinary account at one daemon, and a burst
// shows within a fraction of it.
constexpr Duration kMemory = std::chrono::seconds(5);

constexpr Duration kLevelPeriod = std::chrono::milliseconds(200);

// Accounts with fewer recent requests are forgotten.
constexpr double kMinRecentRequests = 0.05;

// With more accounts, further ones are admitted by the granted requests alone.
constexpr std::size_t kMaxAccounts = 1024;

// Requests that an account may be admitted in a row after a pause.
constexpr double kMaxCredit = 4;

// Requests that are admitted ahead of the grants: of accounts that ask for less
// than their part, and of others. Grants that wait for accounts with a part
// left before anybody may use them.
constexpr double kMaxDebt = 8;
constexpr double kMaxDebtOverPart = 4;
constexpr double kMaxReserve = 2;

}  // namespace

double AccountTurns::RecentCount::Decay(Instant now) {
  const std::chrono::duration<double> age = now - this->decayed_at;
  this->count *= std::exp(-age / std::chrono::duration<double>(kMemory));
  this->decayed_at = now;
  return this->count;
}

double AccountTurns::PartOf(const Account& account, double level) {
  return account.offered.count <= level * account.weight
             ? 1.0
             : level * account.weight / account.offered.count;
}

double AccountTurns::PartOf(const std::string& account) const {
  const auto found = this->accounts.find(account);
  return found == this->accounts.end() ? 1.0
                                       : PartOf(found->second, this->level);
}

void AccountTurns::UpdateLevel(Instant now) {
  this->level_updated_at = now;
  double weights = 0;
  double left = this->granted.Decay(now);  // requests to divide
  std::vector<std::pair<double, const Account*>> by_demand;
  for (auto& [name, account] : this->accounts) {
    account.offered.Decay(now);
  }
  std::erase_if(this->accounts, [](const auto& entry) {
    return entry.second.offered.count < kMinRecentRequests;
  });
  for (const auto& [name, account] : this->accounts) {
    weights += account.weight;
    by_demand.emplace_back(account.offered.count / account.weight, &account);
  }
  std::sort(by_demand.begin(), by_demand.end(),
            [](const auto& a, const auto& b) { return a.first < b.first; });
  this->level = 0;
  for (const auto& [demand, account] : by_demand) {
    this->level = left / weights;
    if (demand >= this->level) {
      return;
    }
    left -= account->offered.count;
    weights -= account->weight;
  }
}

AccountVerdict AccountTurns::Offer(const AccountOffer& offer, Instant now,
                                   const RandomSource& random) {
  const auto admit_if = [](bool is_admitted) {
    return is_admitted ? AccountVerdict::kAdmit : AccountVerdict::kWithinPart;
  };
  if (now - this->level_updated_at >= kLevelPeriod) {
    this->UpdateLevel(now);
  }
  this->granted.Decay(now);
  this->granted.count += offer.is_granted ? 1 : 0;
  auto found = this->accounts.find(offer.account);
  if (found == this->accounts.end()) {
    if (this->accounts.size() >= kMaxAccounts) {
      return admit_if(offer.is_granted);
    }
    constexpr std::uint64_t kSteps = 1024;
    // A random first credit: requests of accounts that send rarely are admitted
    // by their part on average.
    const double credit = static_cast<double>(random() % kSteps) / kSteps;
    found =
        this->accounts.emplace(offer.account, Account{.credit = credit}).first;
  }
  Account& account = found->second;
  this->max_weight = std::max(this->max_weight, offer.weight);
  account.weight = offer.weight > 0 ? offer.weight : this->max_weight;
  account.offered.Decay(now);
  ++account.offered.count;
  if (offer.admitted_fraction >= 1) {
    this->budget = 0;
    return AccountVerdict::kAdmit;
  }
  this->budget += offer.is_granted ? 1 : 0;
  if (offer.is_granted && offer.goes_first) {
    this->budget -= 1;
    return AccountVerdict::kAdmit;
  }
  const double part = PartOf(account, this->level);
  account.credit = std::min(kMaxCredit, account.credit + part);
  if (account.credit >= 1 &&
      this->budget > -(part < 1 ? kMaxDebtOverPart : kMaxDebt)) {
    account.credit -= 1;
    this->budget -= 1;
    return AccountVerdict::kAdmit;
  }
  if (this->budget > kMaxReserve) {
    this->budget -= 1;
    return AccountVerdict::kAdmit;
  }
  return account.credit >= 1 ? AccountVerdict::kWithinPart
                             : AccountVerdict::kOverPart;
}

}  // namespace lycheewell::core::overload
