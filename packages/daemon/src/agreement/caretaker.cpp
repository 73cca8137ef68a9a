#include "lycheewell/daemon/agreement/caretaker.h"

#include <algorithm>
#include <boost/asio/steady_timer.hpp>

#include "lycheewell/core/configuration/queries/shares.h"
#include "lycheewell/core/digest.h"
#include "lycheewell/core/routing/rendezvous.h"

namespace lycheewell::daemon::agreement {
namespace asio = boost::asio;
namespace configuration = core::configuration;

using configuration::ShareReleased;
using core::membership::Health;

namespace {

constexpr auto kTickTime = std::chrono::milliseconds(100);
constexpr auto kBalanceTime = std::chrono::milliseconds(2000);
constexpr auto kJoinRepeatTime = std::chrono::milliseconds(1000);
constexpr auto kEvictAfter = std::chrono::seconds(10);

asio::awaitable<void> Pause(core::Duration duration) {
  asio::steady_timer timer(co_await asio::this_coro::executor, duration);
  co_await timer.async_wait(asio::use_awaitable);
}

}  // namespace

Caretaker::Caretaker(Services& new_services, Follower& new_follower)
    : services(new_services),
      follower(new_follower),
      issuer({.self = new_services.self,
              .is_running =
                  [this](const core::DaemonRef& daemon) {
                    return this->HealthOf(daemon) != Health::kDead;
                  },
              .takes_shares =
                  [this](const core::DaemonRef& daemon) {
                    const Health health = this->HealthOf(daemon);
                    return health == Health::kAlive ||
                           health == Health::kSuspected;
                  }}) {}

core::membership::Health Caretaker::HealthOf(const core::DaemonRef& daemon) {
  return this->services.tables.membership.Lock()->HealthOf(daemon);
}

asio::awaitable<void> Caretaker::Run() {
  while (!this->stopping) {
    co_await Pause(kTickTime);
    if (!this->follower.IsReady() || this->leaving) {
      continue;
    }
    co_await this->KeepMembership();
    co_await this->KeepRosters();
    co_await this->KeepShareBalance();
    co_await this->EvictDead();
    co_await this->WriteSnapshot();
  }
}

void Caretaker::SetService(const std::string& new_service) {
  *this->service.Lock() = new_service;
}

asio::awaitable<void> Caretaker::KeepMembership() {
  const auto view = this->services.tables.configuration.view();
  const auto& members = view->state().members;
  const auto own = members.find(this->services.self.id);
  const std::string wanted = *this->service.Lock();
  const bool is_member =
      own != members.end() && own->second.daemon == this->services.self;
  const bool is_current = is_member && own->second.service == wanted;
  if (is_current || Now() - this->joined_at < kJoinRepeatTime) {
    co_return;
  }
  this->joined_at = Now();
  if (is_member) {
    configuration::Record record =
        configuration::TargetAnnounced{this->services.self, wanted};
    co_await this->follower.Append(std::move(record));
    co_return;
  }
  const settings::Settings& settings = this->services.settings;
  configuration::Record record = configuration::MemberJoined{
      {.daemon = this->services.self,
       .data_centre = settings.data_centre,
       .service = wanted,
       .callers_address = settings.callers_address,
       .operators_address = settings.operators_address,
       .joined_time_ms = WallClockMs()}};
  co_await this->follower.Append(std::move(record));
}

asio::awaitable<void> Caretaker::KeepRosters() {
  const auto view = this->services.tables.configuration.view();
  core::rate::HeartbeatTable heartbeats;
  {
    auto limiters = this->services.tables.limiters.Lock();
    heartbeats = limiters->heartbeats;
  }
  const auto records = this->issuer.Propose(view->state(), heartbeats, Now());
  for (const configuration::Record& record : records) {
    this->services.events.Write(
        events::Event::kShareRecordProposed,
        {{"record", configuration::EncodeRecord(record)}});
    co_await this->follower.Append(record);
  }
}

// Gives away one share of each account of which this daemon holds several
// while another member holds none.
asio::awaitable<void> Caretaker::KeepShareBalance() {
  if (Now() - this->balanced_at < kBalanceTime) {
    co_return;
  }
  this->balanced_at = Now();
  if (!this->releases.empty()) {
    co_await this->AppendReleases();
    co_return;
  }
  const auto view = this->services.tables.configuration.view();
  for (const auto& [account, roster] : view->state().rosters) {
    const std::size_t own =
        configuration::queries::CountShares(roster, this->services.self);
    if (own < 2 || roster.fenced_holder) {
      continue;
    }
    bool someone_has_none = false;
    for (const auto& [id, member] : view->state().members) {
      const Health health = this->HealthOf(member.daemon);
      someone_has_none =
          someone_has_none ||
          (health == Health::kAlive && !view->IsRetired(id) &&
           !configuration::queries::HoldsShare(roster, member.daemon));
    }
    if (!someone_has_none) {
      continue;
    }
    this->StopUsingShare(account);
  }
  co_await this->AppendReleases();
}

// Returns whether there was a share to stop using.
bool Caretaker::StopUsingShare(const std::string& account) {
  auto limiters = this->services.tables.limiters.Lock();
  const auto entry = limiters->by_account.find(account);
  if (entry == limiters->by_account.end()) {
    return false;
  }
  auto release = entry->second.limiter.ReleaseShare(Now());
  if (release) {
    this->releases.push_back(std::move(*release));
  }
  return release.has_value();
}

// Appends every release that is not folded yet. An append may get lost, and a
// repeated one has no effect.
asio::awaitable<void> Caretaker::AppendReleases() {
  const auto view = this->services.tables.configuration.view();
  std::erase_if(this->releases, [&](const ShareReleased& release) {
    const auto roster = view->state().rosters.find(release.account);
    return roster == view->state().rosters.end() ||
           roster->second.epoch != release.epoch ||
           roster->second.shares[release.share].released;
  });
  const std::vector<ShareReleased> pending = this->releases;
  for (const ShareReleased& release : pending) {
    configuration::Record record = release;
    co_await this->follower.Append(std::move(record));
  }
}

asio::awaitable<void> Caretaker::EvictDead() {
  const std::vector<core::DaemonRef> dead =
      this->services.tables.membership.Lock()->DeadSince(Now() - kEvictAfter);
  for (const core::DaemonRef& daemon : dead) {
    if (!this->IsFirstFor("evict/" + daemon.id)) {
      continue;
    }
    this->services.events.Write(events::Event::kMemberEvicted,
                                {{"daemon", daemon.id}});
    configuration::Record record = configuration::MemberLeft{daemon};
    co_await this->follower.Append(std::move(record));
  }
}

asio::awaitable<void> Caretaker::WriteSnapshot() {
  const core::Offset next = this->services.tables.configuration.next();
  const core::Offset last =
      std::max(this->services.tables.configuration.last_snapshot(),
               this->snapshot_tried_at);
  const bool is_due =
      next - last >= this->services.settings.snapshot_every_records;
  if (!is_due || !this->IsFirstFor("snapshot")) {
    co_return;
  }
  const auto view = this->services.tables.configuration.view();
  std::string state = configuration::EncodeState(view->state());
  const core::Offset offset = view->state().next_offset;
  std::string content_hash = core::Sha256Hex(state);
  configuration::Record record =
      configuration::SnapshotWritten{.offset = offset,
                                     .content_hash = std::move(content_hash),
                                     .state = std::move(state)};
  const auto result = co_await this->follower.Append(std::move(record));
  const auto* written = std::get_if<std::uint64_t>(&result);
  const bool is_valid = written != nullptr && *written == offset;
  if (is_valid) {
    this->snapshot_tried_at = offset;
    this->services.events.Write(events::Event::kSnapshotWritten,
                                {{"offset", std::to_string(offset)}});
  }
}

bool Caretaker::IsFirstFor(const std::string& duty) {
  std::vector<core::routing::Candidate> candidates;
  for (const core::DaemonRef& daemon :
       this->services.tables.membership.Lock()->LiveMembers()) {
    candidates.push_back({daemon, {}});
  }
  candidates.push_back({this->services.self, {}});
  const auto ranked =
      core::routing::RankAcrossDataCentres(duty, std::move(candidates));
  return ranked.front() == this->services.self;
}

asio::awaitable<void> Caretaker::Leave(core::Instant deadline) {
  this->leaving = true;
  const auto view = this->services.tables.configuration.view();
  for (const auto& [account, roster] : view->state().rosters) {
    while (this->StopUsingShare(account)) {
    }
  }
  co_await this->AppendReleases();
  if (Now() >= deadline) {
    co_return;
  }
  configuration::Record record = configuration::MemberLeft{this->services.self};
  const auto result = co_await this->follower.Append(std::move(record));
  const auto* offset = std::get_if<std::uint64_t>(&result);
  if (offset != nullptr) {
    co_await this->WaitUntilFolded(deadline, *offset);
  }
}

asio::awaitable<bool> Caretaker::WaitUntilFolded(core::Instant deadline,
                                                 core::Offset offset) {
  while (Now() < deadline) {
    if (this->services.tables.configuration.next() > offset) {
      co_return true;
    }
    co_await Pause(kTickTime);
  }
  co_return false;
}

}  // namespace lycheewell::daemon::agreement
