#include "lycheewell/sidecar/links/mesh.h"

#include <unistd.h>

#include <algorithm>
#include <chrono>

#include "lycheewell/core/routing/rendezvous.h"
#include "lycheewell/io/http/address.h"
#include "lycheewell/sidecar/clock.h"
#include "lycheewell/sidecar/links/message_checks.h"
#include "lycheewell/sidecar/manifest/manifest_keeper.h"

namespace lycheewell::sidecar::links {
namespace asio = boost::asio;
using daemon::events::Event;
using tcp = asio::ip::tcp;

namespace {

constexpr core::Duration kLinkCheckPeriod = std::chrono::milliseconds(500);

// Time between two pings on a link. The reply also carries the target's load
// and the proof age of the manifest.
constexpr core::Duration kPingInterval = std::chrono::milliseconds(900);

// A member that has sent nothing for the suspicion timeout gets no new calls.
// After the link timeout its link is closed and redialled. Both exceed the time
// for a ping, its reply and one retransmission.
constexpr core::Duration kSuspicionTimeout = std::chrono::milliseconds(1800);
constexpr core::Duration kLinkTimeout = std::chrono::milliseconds(2800);

constexpr core::Duration kConnectTimeout = std::chrono::milliseconds(1000);

// Backoff between dials of a lost member: a restart may take a second, or the
// member may never return.
constexpr core::Duration kMinRedialBackoff = std::chrono::milliseconds(200);
constexpr core::Duration kMaxRedialBackoff = std::chrono::seconds(2);

// An unreachable member is redialled for this long before it is dropped.
// Restarts take seconds, outages of the store up to minutes.
constexpr core::Duration kUnreachableMemberTimeout = std::chrono::minutes(3);

// A silent link is kept for its calls for at most this long. The time limits of
// most calls are shorter.
constexpr core::Duration kMaxSilentLinkTime = std::chrono::seconds(10);

// A call that could not be handed to the kernel for this long is taken back, so
// that it can go to another target or be refused.
constexpr core::Duration kMaxHeldTime = std::chrono::milliseconds(250);
constexpr core::Duration kPathCheckPeriod = std::chrono::milliseconds(50);

// Round trips take less than this on paths in order.
constexpr core::Duration kNegligiblePathDelay = std::chrono::milliseconds(25);

// Links without a check for this long mean that the process was paused.
constexpr core::Duration kPauseThreshold = std::chrono::milliseconds(1500);

// Minimum time between two requests for the list of members.
constexpr core::Duration kMembersInterval = std::chrono::seconds(4);

constexpr std::size_t kMaxDroppedIncarnations = 16 * 1024;

// Delay after a failed accept or a failed store call.
constexpr core::Duration kRetryDelay = std::chrono::milliseconds(300);

// Pings to a member whose times of sending are kept.
constexpr std::size_t kMaxSentPings = 4;

// Rendezvous key that elects the daemon which sums the demand of its data
// centre for the other ones.
constexpr std::string_view kDemandAggregatorRole = "demand";

// Rendezvous key of the digest of the members.
constexpr std::string_view kDigestKey = "members";

}  // namespace

Mesh::Mesh(asio::io_context& new_context, TimerQueue& new_timers,
           DecisionLog& new_log, Options new_options)
    : context(new_context),
      timers(new_timers),
      log(new_log),
      options(std::move(new_options)),
      acceptor(new_context) {
  const Settings& settings = this->options.settings;
  const std::string address =
      settings.address + ":" + std::to_string(settings.links_port);
  const tcp::endpoint endpoint = io::http::ParseEndpoint(address);
  this->acceptor.open(endpoint.protocol());
  this->acceptor.set_option(asio::socket_base::reuse_address(true));
  this->acceptor.bind(endpoint);
  this->acceptor.listen();
  this->self.set_name(settings.name);
  this->self.set_address(settings.address + ":" +
                         std::to_string(settings.advertised_links_port));
  this->self.set_data_centre(settings.data_centre);
  // Increases with each restart unless the system clock is set back.
  const auto now = std::chrono::system_clock::now().time_since_epoch();
  this->self.set_incarnation(static_cast<std::uint64_t>(
      std::chrono::duration_cast<std::chrono::microseconds>(now).count()));
}

void Mesh::Start() {
  this->Accept();
  this->RegisterSelf();
  this->RefreshDigest();
  this->checked_at = Now();
  this->CheckLinks();
  this->CheckPaths();
}

void Mesh::Accept() {
  this->acceptor.async_accept(
      [this](const boost::system::error_code& error, tcp::socket socket) {
        if (error) {
          this->log.Write(Event::kAcceptFailed,
                          {{"server", "links"},
                           {"detail", error.message()},
                           {"open", std::to_string(this->accepted.size())}});
          this->timers.After(kRetryDelay, [this] { this->Accept(); });
          return;
        }
        this->AddAccepted(std::move(socket));
        this->Accept();
      });
}

Link::Hooks Mesh::WithUnreadableHooks(Link::Hooks hooks) {
  hooks.on_unreadable = [this](const LinkPointer& source,
                               const UnreadableFrame& unreadable) {
    this->OnUnreadable(source, unreadable);
  };
  hooks.on_left_out = [this](const LinkPointer& source,
                             const std::vector<std::string_view>& fields) {
    this->LogLeftOut(source, fields);
  };
  return hooks;
}

void Mesh::AddAccepted(tcp::socket socket) {
  const auto link = std::make_shared<Link>(
      std::move(socket),
      this->WithUnreadableHooks(Link::Hooks{
          .on_frame =
              [this](const LinkPointer& source, mesh::Frame& frame) {
                this->OnFrame(source, frame, false);
              },
          .on_closed =
              [this](const LinkPointer& source, const std::string&) {
                this->accepted.erase(source);
                this->options.hooks.on_accepted_closed(source);
              }}));
  this->accepted.insert(link);
  link->Start();
  this->SendHello(link);
}

void Mesh::RegisterSelf() {
  this->options.store.put_records(
      {{.key = this->self.name(), .value = this->self.SerializeAsString()}},
      [this](auto result) {
        if (std::holds_alternative<StoreError>(result)) {
          this->timers.After(kRetryDelay, [this] { this->RegisterSelf(); });
          return;
        }
        this->log.Write(Event::kMemberAnnounced,
                        {{"address", this->self.address()}});
        this->ListRecords();
      });
}

void Mesh::ListRecords() {
  this->options.store.list_records([this](auto result) {
    const auto* stored = std::get_if<StoredRecords>(&result);
    if (stored == nullptr) {
      this->timers.After(kRetryDelay, [this] { this->ListRecords(); });
      return;
    }
    this->listed = true;
    if (stored->unreadable > 0) {
      this->log.Write(Event::kBadPeerMessage,
                      {{"source", "store"},
                       {"reason", "unreadable records"},
                       {"records", std::to_string(stored->unreadable)}});
    }
    for (const StoredRecord& record : stored->records) {
      this->OnRecord(record);
    }
  });
}

void Mesh::OnRecord(const StoredRecord& stored) {
  const records::FleetRecord record = records::DecodeFleetRecord(stored);
  if (const auto* member = std::get_if<mesh::Member>(&record)) {
    this->UpdateMember(*member);
    return;
  }
  if (const auto* problem = std::get_if<Unusable>(&record)) {
    this->log.Write(Event::kBadPeerMessage, {{"source", "store"},
                                             {"key", stored.key},
                                             {"reason", problem->reason}});
    return;
  }
  this->options.hooks.on_record(record);
}

void Mesh::UpdateMember(const mesh::Member& member) {
  if (member.name() == this->self.name()) {
    return;
  }
  const auto [found, is_new] = this->peers.try_emplace(member.name());
  Peer& peer = found->second;
  if (!is_new && peer.member.incarnation() >= member.incarnation()) {
    return;
  }
  peer.member = member;
  peer.last_seen = Now();
  this->RefreshDigest();
  this->log.Write(Event::kMemberLearnt,
                  {{"member", member.name()},
                   {"address", member.address()},
                   {"incarnation", std::to_string(member.incarnation())}});
  if (!is_new) {
    this->CloseLinksTo(member.name(), "member restarted");
  }
  if (member.is_leaving()) {
    this->RemoveMember(member.name(), "member left");
    return;
  }
  this->Dial(member.name());
}

void Mesh::CloseLinksTo(const std::string& name, const std::string& reason) {
  std::vector<LinkPointer> links;
  for (const auto& [id, silent] : this->silent_links) {
    if (silent.link->member == name) {
      links.push_back(silent.link);
    }
  }
  const auto found = this->peers.find(name);
  if (found != this->peers.end() && found->second.dialled) {
    links.push_back(found->second.dialled);
  }
  for (const LinkPointer& link : links) {
    link->Close();
    this->OnDialledClosed(link, reason);
  }
}

void Mesh::Forget(const std::string& name) {
  const auto found = this->peers.find(name);
  if (this->dropped_incarnations.size() >= kMaxDroppedIncarnations) {
    this->dropped_incarnations.erase(this->dropped_incarnations.begin());
  }
  this->dropped_incarnations[name] = found->second.member.incarnation();
  this->peers.erase(found);
  this->cancels.Forget(name);
}

void Mesh::Dial(const std::string& name) {
  const auto found = this->peers.find(name);
  if (found == this->peers.end() || found->second.dialled) {
    return;
  }
  Peer& peer = found->second;
  this->timers.Cancel(peer.redial_timer);
  const auto link = std::make_shared<Link>(
      this->context,
      this->WithUnreadableHooks(Link::Hooks{
          .on_frame =
              [this](const LinkPointer& source, mesh::Frame& frame) {
                this->OnFrame(source, frame, true);
              },
          .on_closed =
              [this](const LinkPointer& source, const std::string& reason) {
                this->OnDialledClosed(source, reason);
              },
          .on_connected =
              [this](const LinkPointer& source) { this->SendHello(source); }}));
  link->member = name;
  link->id = ++this->last_link_id;
  peer.dialled = link;
  peer.established = false;
  peer.dialled_or_pinged_at = Now();
  link->Connect(io::http::ParseEndpoint(peer.member.address()));
}

void Mesh::SendHello(const LinkPointer& link) {
  mesh::Frame frame;
  mesh::Hello& hello = *frame.mutable_hello();
  *hello.mutable_self() = this->self;
  hello.set_clock_us(ClockMicroseconds());
  hello.set_accepts_non_utf8(true);
  this->options.hooks.fill_hello(hello, link->member);
  link->Send(frame);
}

void Mesh::OnFrame(const LinkPointer& link, mesh::Frame& frame,
                   bool is_dialled) {
  if (frame.has_member()) {
    const std::string& name = frame.member().name();
    const auto found = this->peers.find(name);
    if (frame.member().is_leaving() && found != this->peers.end() &&
        found->second.member.incarnation() == frame.member().incarnation()) {
      this->RemoveMember(name, "member is leaving");
    }
    return;
  }
  if (frame.has_members_wanted()) {
    this->SendMembers(link);
    return;
  }
  if (frame.has_members()) {
    for (const mesh::Member& member : frame.members().members()) {
      const auto dropped = this->dropped_incarnations.find(member.name());
      if (!this->peers.contains(member.name()) &&
          (dropped == this->dropped_incarnations.end() ||
           dropped->second < member.incarnation())) {
        this->UpdateMember(member);
      }
    }
    return;
  }
  if (!frame.has_hello()) {
    if (frame.has_pong()) {
      this->OnPong(link, frame.pong());
    } else if (frame.has_ping()) {
      link->received_ping = frame.ping().id();
      link->ping_received_at = Now();
    }
    if (!link->member.empty()) {
      this->options.hooks.on_frame(link, frame);
    }
    return;
  }
  const mesh::Hello& hello = frame.hello();
  const std::string name = hello.self().name();
  link->RecordPeerClock(hello.clock_us());
  link->peer_accepts_non_utf8 = hello.accepts_non_utf8();
  if (is_dialled && name != link->member) {
    // Another daemon has taken over the address.
    link->Close();
    this->OnDialledClosed(link, "another daemon answered: " + name);
    this->UpdateMember(hello.self());
    return;
  }
  link->member = name;
  this->UpdateMember(hello.self());
  const auto found = this->peers.find(name);
  if (found == this->peers.end()) {
    return;
  }
  found->second.last_seen = Now();
  if (!is_dialled) {
    this->Dial(name);
  } else if (found->second.dialled == link) {
    found->second.established = true;
    found->second.redial_backoff = {};
    this->log.Write(Event::kLinkOpened, {{"member", name}});
    this->RepeatCancels(link);
    this->options.hooks.on_target(name, hello.target());
    this->SetReachable(found->second, true);
  }
  this->options.hooks.on_hello(hello);
}

void Mesh::OnUnreadable(const LinkPointer& link,
                        const UnreadableFrame& unreadable) {
  this->log.Write(Event::kBadPeerMessage,
                  {{"member", link->member},
                   {"reason", unreadable.reason},
                   {"call", std::to_string(unreadable.call_id)}});
  if (unreadable.call_id != 0) {
    this->options.hooks.on_unreadable(link, unreadable);
  }
}

void Mesh::LogLeftOut(const LinkPointer& link,
                      const std::vector<std::string_view>& fields) {
  for (const std::string_view field : fields) {
    this->log.Write(
        Event::kBadPeerMessage,
        {{"member", link->member}, {"reason", "left out"}, {"field", field}});
  }
}

void Mesh::RepeatCancels(const LinkPointer& link) {
  for (const std::uint64_t call :
       this->cancels.SendAgain(link->member, Now())) {
    mesh::Frame frame;
    frame.mutable_cancel()->set_call_id(call);
    frame.mutable_cancel()->set_is_repeated(true);
    link->Send(frame);
  }
}

void Mesh::OnPong(const LinkPointer& link, const mesh::Pong& pong) {
  link->RecordPeerClock(pong.clock_us());
  if (const auto ping_sent_at = this->PingSentAt(link->member, pong.id())) {
    this->cancels.Confirm(link->member, core::Instant(*ping_sent_at));
  }
  const core::Instant now = Now();
  const auto found = this->peers.find(link->member);
  if (found != this->peers.end() && found->second.ping_id == pong.id()) {
    found->second.round_trip =
        now.time_since_epoch() - found->second.ping_sent_at;
  }
  if (pong.members_digest() == this->digest ||
      now - this->members_wanted_at < kMembersInterval) {
    return;
  }
  this->members_wanted_at = now;
  mesh::Frame frame;
  frame.mutable_members_wanted();
  link->Send(frame);
}

void Mesh::SendMembers(const LinkPointer& link) {
  mesh::Frame frame;
  mesh::Members& members = *frame.mutable_members();
  *members.add_members() = this->self;
  for (const auto& [name, peer] : this->peers) {
    if (!peer.member.is_leaving()) {
      *members.add_members() = peer.member;
    }
  }
  link->Send(frame);
}

void Mesh::RefreshDigest() {
  using core::routing::RendezvousScore;
  this->digest = RendezvousScore(kDigestKey, this->self.name());
  for (const auto& [name, peer] : this->peers) {
    if (!peer.member.is_leaving()) {
      this->digest ^= RendezvousScore(kDigestKey, name);
    }
  }
}

void Mesh::OnDialledClosed(const LinkPointer& link, const std::string& reason) {
  if (this->silent_links.erase(link->id) > 0) {
    this->options.hooks.on_dialled_closed(link->member, link->id);
    return;
  }
  const auto found = this->peers.find(link->member);
  if (found == this->peers.end() || found->second.dialled != link) {
    return;
  }
  this->DetachDialled(found->second, reason);
  this->options.hooks.on_dialled_closed(link->member, link->id);
}

void Mesh::DetachDialled(Peer& peer, const std::string& reason) {
  const std::string name = peer.member.name();
  const bool was_established = peer.established;
  peer.dialled.reset();
  peer.established = false;
  peer.round_trip = {};
  this->SetReachable(peer, false);
  if (was_established) {
    this->log.Write(Event::kLinkLost, {{"member", name}, {"reason", reason}});
  }
  this->ScheduleRedial(name, was_established);
}

void Mesh::RetireSilentLink(const LinkPointer& link) {
  const auto found = this->peers.find(link->member);
  if (found == this->peers.end() || found->second.dialled != link) {
    return;
  }
  if (!this->options.hooks.has_unrepeatable_calls(link->id)) {
    link->Close();
    this->OnDialledClosed(link, "silent");
    return;
  }
  this->silent_links.emplace(link->id,
                             SilentLink{.link = link, .since = Now()});
  this->DetachDialled(found->second, "silent, kept for its calls");
  this->options.hooks.on_silent(link->member, link->id);
}

void Mesh::CheckSilentLinks(core::Instant now) {
  std::vector<LinkPointer> finished;
  for (const auto& [id, silent] : this->silent_links) {
    if (now - silent.since > kMaxSilentLinkTime ||
        !this->options.hooks.has_unrepeatable_calls(id)) {
      finished.push_back(silent.link);
    }
  }
  for (const LinkPointer& link : finished) {
    link->Close();
    this->OnDialledClosed(link, "silent");
  }
}

void Mesh::WithdrawHeldCalls(const LinkPointer& link, core::Instant now) {
  const auto since = link->oldest_unsent_since();
  if (!since || now - *since < kMaxHeldTime) {
    return;
  }
  for (const std::uint64_t call : link->CallsHeldSince(now - kMaxHeldTime)) {
    if (link->Withdraw(call)) {
      this->options.hooks.on_held_back(call, now - *since);
    }
  }
}

void Mesh::ScheduleRedial(const std::string& name, bool reset_backoff) {
  const auto found = this->peers.find(name);
  if (found == this->peers.end()) {
    return;
  }
  Peer& peer = found->second;
  peer.redial_backoff = reset_backoff
                            ? kMinRedialBackoff
                            : std::clamp(peer.redial_backoff * 2,
                                         kMinRedialBackoff, kMaxRedialBackoff);
  this->timers.Cancel(peer.redial_timer);
  peer.redial_timer = this->timers.After(peer.redial_backoff,
                                         [this, name] { this->Dial(name); });
}

void Mesh::RemoveMember(const std::string& name, std::string_view reason) {
  const auto found = this->peers.find(name);
  if (found == this->peers.end()) {
    return;
  }
  this->log.Write(Event::kMemberForgotten,
                  {{"member", name}, {"reason", reason}});
  Peer& peer = found->second;
  this->timers.Cancel(peer.redial_timer);
  // The link stays open, so that pending calls still get their replies.
  peer.established = false;
  this->SetReachable(peer, false);
  peer.member.set_is_leaving(true);
  this->RefreshDigest();
  this->options.hooks.on_removed(name);
  if (!peer.dialled) {
    this->Forget(name);
  }
}

void Mesh::SetReachable(Peer& peer, bool reachable) {
  if (peer.reachable == reachable) {
    return;
  }
  peer.reachable = reachable;
  ++this->reachability;
  this->options.hooks.on_reachable(peer.member.name(), reachable);
}

void Mesh::CheckPathDelay(Peer& peer, core::Instant now) {
  core::Duration delay = peer.round_trip;
  if (peer.ping_id != 0) {
    delay = std::max(delay, now.time_since_epoch() - peer.ping_sent_at);
  }
  if (const auto since = peer.dialled->oldest_unsent_since()) {
    delay = std::max(delay, now - *since);
  }
  if (delay < kNegligiblePathDelay) {
    delay = core::Duration::zero();
  }
  if (delay != peer.path_delay) {
    peer.path_delay = delay;
    this->options.hooks.on_path_delay(peer.member.name(), delay);
  }
}

void Mesh::CheckPaths() {
  const core::Instant now = Now();
  std::vector<LinkPointer> waiting;
  for (auto& [name, peer] : this->peers) {
    if (!peer.dialled || !peer.established) {
      continue;
    }
    this->CheckPathDelay(peer, now);
    if (peer.dialled->oldest_unsent_since()) {
      waiting.push_back(peer.dialled);
    }
  }
  for (const LinkPointer& link : waiting) {
    this->WithdrawHeldCalls(link, now);
  }
  this->timers.After(kPathCheckPeriod, [this] { this->CheckPaths(); });
}

void Mesh::CheckLinks() {
  const core::Instant now = Now();
  this->pauses = this->pause_count();
  this->checked_at = now;
  this->CheckSilentLinks(now);
  std::vector<std::string> removable;
  for (auto& [name, peer] : this->peers) {
    if (!peer.dialled) {
      if (peer.member.is_leaving() ||
          now - peer.last_seen > kUnreachableMemberTimeout) {
        removable.push_back(name);
      }
      continue;
    }
    if (peer.member.is_leaving()) {
      continue;  // pending calls may still get their replies
    }
    const LinkPointer link = peer.dialled;
    if (!link->is_open() || !peer.established) {
      if (now - peer.dialled_or_pinged_at > kConnectTimeout + kLinkTimeout ||
          (!link->is_open() &&
           now - peer.dialled_or_pinged_at > kConnectTimeout)) {
        asio::post(this->context, [this, link] {
          link->Close();
          this->OnDialledClosed(link, "connection timed out");
        });
      }
      continue;
    }
    peer.last_seen = std::max(peer.last_seen, link->last_received());
    const core::Duration silence = now - link->last_received();
    if (silence > kLinkTimeout) {
      asio::post(this->context, [this, link] { this->RetireSilentLink(link); });
      continue;
    }
    this->SetReachable(peer, silence <= kSuspicionTimeout);
    if (now - peer.dialled_or_pinged_at >= kPingInterval) {
      peer.dialled_or_pinged_at = now;
      mesh::Frame frame;
      peer.ping_id = ++this->last_ping_id;
      peer.ping_sent_at = manifest::TimeSinceBoot();
      peer.sent_pings.emplace_back(peer.ping_id, peer.ping_sent_at);
      if (peer.sent_pings.size() > kMaxSentPings) {
        peer.sent_pings.pop_front();
      }
      frame.mutable_ping()->set_id(peer.ping_id);
      frame.mutable_ping()->set_wants_data_centre_demand(
          peer.member.data_centre() != this->self.data_centre() &&
          this->is_first_of_its_data_centre(name, kDemandAggregatorRole));
      link->Send(frame);
    }
  }
  for (const std::string& name : removable) {
    this->options.hooks.on_removed(name);
    this->Forget(name);
  }
  if (!removable.empty()) {
    this->RefreshDigest();
  }
  this->timers.After(kLinkCheckPeriod, [this] { this->CheckLinks(); });
}

std::uint64_t Mesh::Send(const std::string& member, const mesh::Frame& frame) {
  const auto found = this->peers.find(member);
  if (found == this->peers.end() || !found->second.dialled ||
      !found->second.dialled->is_open()) {
    return 0;
  }
  if (frame.has_call() && HasNonUtf8Text(frame.call()) &&
      !found->second.dialled->peer_accepts_non_utf8) {
    return 0;  // it would close the link, with the calls of others
  }
  found->second.dialled->Send(frame);
  return found->second.dialled->id;
}

bool Mesh::Withdraw(const std::string& member, std::uint64_t link_id,
                    std::uint64_t call_id) {
  LinkPointer link;
  const auto silent = this->silent_links.find(link_id);
  if (silent != this->silent_links.end()) {
    link = silent->second.link;
  } else if (const auto found = this->peers.find(member);
             found != this->peers.end() && found->second.dialled &&
             found->second.dialled->id == link_id) {
    link = found->second.dialled;
  }
  if (link && link->Withdraw(call_id)) {
    return true;
  }
  if (this->peers.contains(member)) {
    this->cancels.Record(member, call_id, Now());
  }
  if (link) {
    mesh::Frame frame;
    frame.mutable_cancel()->set_call_id(call_id);
    link->Send(frame);
  }
  return false;
}

void Mesh::Broadcast(const mesh::Frame& frame) {
  for (const LinkPointer& link : this->accepted) {
    link->Send(frame);
  }
}

void Mesh::BroadcastInDataCentre(const mesh::Frame& frame) {
  for (const LinkPointer& link : this->accepted) {
    if (this->data_centre_of(link->member) ==
        this->options.settings.data_centre) {
      link->Send(frame);
    }
  }
}

void Mesh::BroadcastProofInDataCentre(std::uint64_t version,
                                      core::Duration age) {
  using std::chrono::milliseconds;
  const core::Instant now = Now();
  mesh::Frame frame;
  mesh::ManifestProof& proof = *frame.mutable_manifest_proof();
  proof.set_version(version);
  proof.set_age_ms(
      static_cast<std::uint32_t>(std::chrono::ceil<milliseconds>(age).count()));
  for (const LinkPointer& link : this->accepted) {
    if (link->received_ping == 0 || this->data_centre_of(link->member) !=
                                        this->options.settings.data_centre) {
      continue;
    }
    proof.set_ping_id(link->received_ping);
    proof.set_since_ping_ms(static_cast<std::uint32_t>(
        std::chrono::floor<milliseconds>(now - link->ping_received_at)
            .count()));
    link->Send(frame);
  }
}

void Mesh::AnnounceLeaving() {
  this->self.set_is_leaving(true);
  mesh::Frame frame;
  *frame.mutable_member() = this->self;
  this->Broadcast(frame);
}

std::optional<core::Duration> Mesh::TakePingSentAt(const std::string& member,
                                                   std::uint64_t id) {
  const auto found = this->peers.find(member);
  if (found == this->peers.end() || found->second.ping_id != id) {
    return std::nullopt;
  }
  found->second.ping_id = 0;
  return found->second.ping_sent_at;
}

std::optional<core::Duration> Mesh::PingSentAt(const std::string& member,
                                               std::uint64_t id) const {
  const auto found = this->peers.find(member);
  if (found != this->peers.end()) {
    for (const auto& [ping, sent_at] : found->second.sent_pings) {
      if (ping == id) {
        return sent_at;
      }
    }
  }
  return std::nullopt;
}

std::string Mesh::data_centre_of(const std::string& member) const {
  const auto found = this->peers.find(member);
  return found == this->peers.end() ? std::string()
                                    : found->second.member.data_centre();
}

std::size_t Mesh::rank_in_data_centre(std::string_view purpose) const {
  return static_cast<std::size_t>(std::count_if(
      this->peers.begin(), this->peers.end(), [&](const auto& peer) {
        return peer.second.reachable &&
               peer.second.member.data_centre() == this->self.data_centre() &&
               this->ranks_before_self(peer.first, purpose);
      }));
}

bool Mesh::ranks_before_self(const std::string& member,
                             std::string_view purpose) const {
  using core::routing::RendezvousScore;
  return RendezvousScore(purpose, member) >
         RendezvousScore(purpose, this->self.name());
}

bool Mesh::is_first_of_its_data_centre(const std::string& member,
                                       std::string_view purpose) const {
  return this->FirstOf(this->data_centre_of(member), purpose) == member;
}

const std::string& Mesh::FirstOf(const std::string& data_centre,
                                 std::string_view purpose) const {
  const auto key = std::pair(data_centre, std::string(purpose));
  if (this->first_members_version != this->reachability) {
    this->first_members_version = this->reachability;
    this->first_members.clear();
  }
  const auto known = this->first_members.find(key);
  if (known != this->first_members.end()) {
    return known->second;
  }
  using core::routing::RendezvousScore;
  std::string first;
  std::uint64_t best = 0;
  const auto consider = [&](const std::string& name) {
    const std::uint64_t score = RendezvousScore(purpose, name);
    if (first.empty() || score > best) {
      best = score;
      first = name;
    }
  };
  if (data_centre == this->self.data_centre()) {
    consider(this->self.name());
  }
  for (const auto& [name, peer] : this->peers) {
    if (peer.reachable && peer.member.data_centre() == data_centre) {
      consider(name);
    }
  }
  return this->first_members.emplace(key, first).first->second;
}

std::uint64_t Mesh::pause_count() const {
  // The check that counts the pause may not have run yet.
  return this->pauses + (Now() - this->checked_at > kPauseThreshold ? 1 : 0);
}

std::uint64_t Mesh::PeerTime(const std::string& member,
                             core::Instant when) const {
  const auto found = this->peers.find(member);
  return found == this->peers.end() || !found->second.dialled
             ? 0
             : found->second.dialled->PeerTime(when).value_or(0);
}

bool Mesh::accepts_non_utf8(const std::string& member) const {
  const auto found = this->peers.find(member);
  return found != this->peers.end() && found->second.dialled &&
         found->second.dialled->peer_accepts_non_utf8;
}

bool Mesh::is_reachable(const std::string& member) const {
  const auto found = this->peers.find(member);
  return found != this->peers.end() && found->second.reachable;
}

std::size_t Mesh::daemon_count() const {
  return 1 + static_cast<std::size_t>(std::count_if(
                 this->peers.begin(), this->peers.end(), [](const auto& peer) {
                   return !peer.second.member.is_leaving();
                 }));
}

double Mesh::reachable_fraction() const {
  const std::size_t reachable = 1 + this->reachable_members().size();
  return static_cast<double>(reachable) /
         static_cast<double>(this->daemon_count());
}

std::vector<std::string> Mesh::reachable_members() const {
  std::vector<std::string> names;
  for (const auto& [name, peer] : this->peers) {
    if (peer.reachable) {
      names.push_back(name);
    }
  }
  return names;
}

}  // namespace lycheewell::sidecar::links
