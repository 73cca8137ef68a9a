#include "lycheewell/daemon/membership/gossip.h"

#include <algorithm>
#include <set>

namespace lycheewell::daemon::membership {

using core::membership::Health;
using core::membership::OutgoingPing;
using core::membership::Update;

namespace {

constexpr std::size_t kUpdatesPerMessage = 8;
constexpr auto kReportTime = std::chrono::milliseconds(200);
constexpr std::size_t kAskedAtOnce = 64;
constexpr auto kPingTimeout = std::chrono::milliseconds(400);
constexpr auto kIndirectTimeout = std::chrono::milliseconds(250);
constexpr auto kHeartbeatTime = std::chrono::milliseconds(300);

std::string_view HealthName(Health health) {
  switch (health) {
    case Health::kAlive:
      return "alive";
    case Health::kDraining:
      return "draining";
    case Health::kSuspected:
      return "suspected";
    case Health::kDead:
      return "dead";
  }
  return "dead";
}

core::DaemonRef TurnDaemon(const peers::Daemon& daemon) {
  return {daemon.id(), daemon.incarnation()};
}

void FillDaemon(const core::DaemonRef& daemon, peers::Daemon* message) {
  message->set_id(daemon.id);
  message->set_incarnation(daemon.incarnation);
}

void FillUpdates(const std::vector<Update>& updates,
                 google::protobuf::RepeatedPtrField<peers::MemberUpdate>* to) {
  for (const Update& update : updates) {
    peers::MemberUpdate* added = to->Add();
    FillDaemon(update.daemon, added->mutable_daemon());
    added->set_health(static_cast<peers::MemberHealth>(update.health));
    added->set_refutation(update.refutation_number);
  }
}

}  // namespace

Gossip::Gossip(Services& new_services, agreement::Follower& new_follower)
    : services(new_services), follower(new_follower) {}

void Gossip::Tick() {
  std::vector<OutgoingPing> orders;
  {
    auto membership = this->services.tables.membership.Lock();
    orders = membership->Tick(Now());
  }
  std::set<core::DaemonRef> pinged;
  for (const OutgoingPing& order : orders) {
    this->SendPing(order.to, order.subject);
    pinged.insert(order.to);
  }
  if (Now() - this->heartbeats_sent_at >= kHeartbeatTime) {
    this->heartbeats_sent_at = Now();
    for (const core::DaemonRef& holder : this->CoHolders()) {
      if (!pinged.contains(holder)) {
        this->SendPing(holder, std::nullopt);
      }
    }
  }
  // Looks at every member, so not at each tick.
  if (Now() - this->reported_at >= kReportTime) {
    this->reported_at = Now();
    this->ReportHealthChanges();
  }
}

// Other holders of the accounts of which this daemon holds shares.
std::set<core::DaemonRef> Gossip::CoHolders() {
  std::set<core::DaemonRef> holders;
  auto limiters = this->services.tables.limiters.Lock();
  for (const auto& [account, entry] : limiters->by_account) {
    const auto& roster = entry.limiter.roster();
    const bool holds_one = std::any_of(
        roster.shares.begin(), roster.shares.end(), [&](const auto& share) {
          return share.holder == this->services.self && !share.released;
        });
    if (!holds_one) {
      continue;
    }
    for (const auto& share : roster.shares) {
      if (share.holder != this->services.self) {
        holders.insert(share.holder);
      }
    }
  }
  return holders;
}

void Gossip::SendPing(const core::DaemonRef& to,
                      const std::optional<core::DaemonRef>& subject) {
  peers::Envelope envelope;
  peers::Ping* ping = envelope.mutable_ping();
  FillDaemon(this->services.self, ping->mutable_sender());
  ping->set_log_offset(this->services.tables.configuration.next());
  if (subject) {
    FillDaemon(*subject, ping->mutable_subject());
  }
  FillUpdates(
      this->services.tables.membership.Lock()->TakeUpdates(kUpdatesPerMessage),
      ping->mutable_updates());
  const core::Instant sent_at = Now();
  this->services.transport->Request(
      to.id, std::move(envelope), kPingTimeout,
      [this, to, subject, sent_at](const peers::Answer& answer) {
        this->ReceiveAnswer(to, subject, sent_at, answer);
      });
}

void Gossip::ReceiveAnswer(const core::DaemonRef& peer,
                           const std::optional<core::DaemonRef>& subject,
                           core::Instant sent_at, const peers::Answer& answer) {
  if (answer.kind != peers::AnswerKind::kAnswered) {
    return;
  }
  const peers::PingAck& ack = answer.envelope.ping_ack();
  const core::DaemonRef sender = TurnDaemon(ack.sender());
  const core::Offset own_offset = this->services.tables.configuration.next();
  {
    auto membership = this->services.tables.membership.Lock();
    if (sender == peer) {
      membership->RecordAnswer(peer);
    }
    if (subject && ack.subject_answered()) {
      membership->RecordAnswer(*subject);
    }
  }
  this->ApplyUpdates(ack.updates());
  this->services.tables.limiters.Lock()->heartbeats.RecordAnswer(
      sender, sent_at, ack.log_offset(), own_offset);
  (*this->offsets.Lock())[sender] = ack.log_offset();
  if (ack.log_offset() > own_offset) {
    this->follower.FetchFrom(sender.id);
  }
}

void Gossip::HandlePing(const peers::Incoming& message) {
  const peers::Ping& ping = message.envelope.ping();
  const core::DaemonRef sender = TurnDaemon(ping.sender());
  this->ApplyUpdates(ping.updates());
  (*this->offsets.Lock())[sender] = ping.log_offset();
  if (ping.has_subject()) {
    this->PingForOther(message);
    return;
  }
  const core::Offset own_offset = this->services.tables.configuration.next();
  peers::Envelope envelope;
  peers::PingAck* ack = envelope.mutable_ping_ack();
  FillDaemon(this->services.self, ack->mutable_sender());
  ack->set_log_offset(own_offset);
  FillUpdates(
      this->services.tables.membership.Lock()->TakeUpdates(kUpdatesPerMessage),
      ack->mutable_updates());
  this->services.transport->Reply(message, std::move(envelope));
  if (ping.log_offset() > own_offset) {
    this->follower.FetchFrom(sender.id);
  }
}

void Gossip::PingForOther(const peers::Incoming& message) {
  const core::DaemonRef subject = TurnDaemon(message.envelope.ping().subject());
  peers::Envelope envelope;
  peers::Ping* ping = envelope.mutable_ping();
  FillDaemon(this->services.self, ping->mutable_sender());
  ping->set_log_offset(this->services.tables.configuration.next());
  this->services.transport->Request(
      subject.id, std::move(envelope), kIndirectTimeout,
      [this, message, subject](const peers::Answer& answer) {
        const bool answered =
            answer.kind == peers::AnswerKind::kAnswered &&
            TurnDaemon(answer.envelope.ping_ack().sender()) == subject;
        peers::Envelope reply;
        peers::PingAck* ack = reply.mutable_ping_ack();
        FillDaemon(this->services.self, ack->mutable_sender());
        ack->set_log_offset(this->services.tables.configuration.next());
        ack->set_subject_answered(answered);
        this->services.transport->Reply(message, std::move(reply));
      });
}

void Gossip::ApplyUpdates(
    const google::protobuf::RepeatedPtrField<peers::MemberUpdate>& updates) {
  auto membership = this->services.tables.membership.Lock();
  for (const peers::MemberUpdate& update : updates) {
    const int health =
        std::clamp<int>(update.health(), 0, static_cast<int>(Health::kDead));
    membership->RecordUpdate({TurnDaemon(update.daemon()),
                              static_cast<Health>(health), update.refutation()},
                             Now());
  }
}

void Gossip::AskOffsets(const std::vector<core::DaemonRef>& daemons) {
  const std::size_t count = std::min(daemons.size(), kAskedAtOnce);
  for (std::size_t index = 0; index < count; ++index) {
    this->SendPing(daemons[index], std::nullopt);
  }
}

void Gossip::BeginDrain() {
  std::vector<core::DaemonRef> live;
  {
    auto membership = this->services.tables.membership.Lock();
    membership->BeginDrain();
    live = membership->LiveMembers();
  }
  for (const core::DaemonRef& daemon : live) {
    this->SendPing(daemon, std::nullopt);
  }
}

void Gossip::ApplyConfiguration(const core::configuration::State& state) {
  std::vector<core::DaemonRef> members;
  for (const auto& [id, member] : state.members) {
    members.push_back(member.daemon);
  }
  this->services.tables.membership.Lock()->SetMembers(members);
}

void Gossip::ReportHealthChanges() {
  const auto view = this->services.tables.configuration.view();
  std::vector<std::pair<core::DaemonRef, Health>> changed;
  {
    auto membership = this->services.tables.membership.Lock();
    auto known = this->reported.Lock();
    for (const auto& [id, member] : view->state().members) {
      const Health health = membership->HealthOf(member.daemon);
      const auto found = known->find(member.daemon);
      if (found == known->end() || found->second != health) {
        (*known)[member.daemon] = health;
        changed.emplace_back(member.daemon, health);
      }
    }
    std::erase_if(*known, [&](const auto& entry) {
      return !view->state().members.contains(entry.first.id);
    });
  }
  for (const auto& [daemon, health] : changed) {
    this->services.events.Write(
        events::Event::kMemberHealthChanged,
        {{"daemon", daemon.id}, {"health", HealthName(health)}});
    if (health == Health::kDead) {
      this->services.transport->FailRequests(daemon.id);
    }
  }
}

std::map<core::DaemonRef, core::Offset> Gossip::Offsets() {
  return *this->offsets.Lock();
}

}  // namespace lycheewell::daemon::membership
