#include "lycheewell/sidecar/links/mesh.h"

#include <unistd.h>

#include <algorithm>
#include <chrono>

#include "lycheewell/core/routing/rendezvous.h"
#include "lycheewell/io/http/address.h"
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

// Delay after a failed accept or a failed store call.
constexpr core::Duration kRetryDelay = std::chrono::milliseconds(300);

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
  this->self.set_address(address);
  this->self.set_data_centre(settings.data_centre);
  // Increases with each restart unless the system clock is set back.
  const auto now = std::chrono::system_clock::now().time_since_epoch();
  this->self.set_incarnation(static_cast<std::uint64_t>(
      std::chrono::duration_cast<std::chrono::microseconds>(now).count()));
}

void Mesh::Start() {
  this->Accept();
  this->RegisterSelf();
  this->CheckLinks();
}

void Mesh::Accept() {
  this->acceptor.async_accept([this](const boost::system::error_code& error,
                                     tcp::socket socket) {
    if (error) {
      this->timers.After(kRetryDelay, [this] { this->Accept(); });
      return;
    }
    const auto link = std::make_shared<Link>(
        std::move(socket),
        Link::Hooks{.on_frame =
                        [this](const LinkPointer& source, mesh::Frame& frame) {
                          this->OnFrame(source, frame, false);
                        },
                    .on_closed =
                        [this](const LinkPointer& source, const std::string&) {
                          this->accepted.erase(source);
                          this->options.hooks.on_accepted_closed(source);
                        }});
    this->accepted.insert(link);
    link->Start();
    this->SendHello(link);
    this->Accept();
  });
}

void Mesh::RegisterSelf() {
  this->options.store.put_member(
      {.key = this->self.name(), .value = this->self.SerializeAsString()},
      [this](auto result) {
        if (std::holds_alternative<StoreError>(result)) {
          this->timers.After(kRetryDelay, [this] { this->RegisterSelf(); });
          return;
        }
        this->log.Write(Event::kMemberAnnounced,
                        {{"address", this->self.address()}});
        this->ListMembers();
      });
}

void Mesh::ListMembers() {
  this->options.store.list_members([this](auto result) {
    auto* members = std::get_if<std::vector<StoredMember>>(&result);
    if (members == nullptr) {
      this->timers.After(kRetryDelay, [this] { this->ListMembers(); });
      return;
    }
    this->listed = true;
    for (const StoredMember& stored : *members) {
      mesh::Member member;
      if (!member.ParseFromString(stored.value)) {
        this->log.Write(Event::kBadPeerMessage,
                        {{"source", "store"}, {"key", stored.key}});
        continue;
      }
      this->UpdateMember(member);
    }
  });
}

void Mesh::UpdateMember(const mesh::Member& member) {
  if (member.name() == this->self.name() || member.name().empty() ||
      !io::http::TryParseEndpoint(member.address())) {
    return;
  }
  const auto [found, is_new] = this->peers.try_emplace(member.name());
  Peer& peer = found->second;
  if (!is_new && peer.member.incarnation() >= member.incarnation()) {
    return;
  }
  peer.member = member;
  peer.last_seen = std::chrono::steady_clock::now();
  this->log.Write(Event::kMemberLearnt,
                  {{"member", member.name()},
                   {"address", member.address()},
                   {"incarnation", std::to_string(member.incarnation())}});
  if (!is_new && peer.dialled) {
    const LinkPointer old = peer.dialled;
    old->Close();
    this->OnDialledClosed(old, "member restarted");
  }
  if (member.is_leaving()) {
    this->RemoveMember(member.name(), "member left");
    return;
  }
  this->Dial(member.name());
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
      Link::Hooks{
          .on_frame =
              [this](const LinkPointer& source, mesh::Frame& frame) {
                this->OnFrame(source, frame, true);
              },
          .on_closed =
              [this](const LinkPointer& source, const std::string& reason) {
                this->OnDialledClosed(source, reason);
              },
          .on_connected =
              [this](const LinkPointer& source) { this->SendHello(source); }});
  link->member = name;
  peer.dialled = link;
  peer.established = false;
  peer.dialled_or_pinged_at = std::chrono::steady_clock::now();
  link->Connect(io::http::ParseEndpoint(peer.member.address()));
}

void Mesh::SendHello(const LinkPointer& link) {
  mesh::Frame frame;
  mesh::Hello& hello = *frame.mutable_hello();
  *hello.mutable_self() = this->self;
  for (const auto& [name, peer] : this->peers) {
    *hello.add_members() = peer.member;
  }
  this->options.hooks.fill_hello(hello);
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
  if (!frame.has_hello()) {
    if (!link->member.empty()) {
      this->options.hooks.on_frame(link, frame);
    }
    return;
  }
  const mesh::Hello& hello = frame.hello();
  const std::string name = hello.self().name();
  if (is_dialled && name != link->member) {
    // Another daemon has taken over the address.
    link->Close();
    this->OnDialledClosed(link, "another daemon answered: " + name);
    this->UpdateMember(hello.self());
    return;
  }
  link->member = name;
  this->UpdateMember(hello.self());
  for (const mesh::Member& member : hello.members()) {
    if (!this->peers.contains(member.name())) {
      this->UpdateMember(member);
    }
  }
  const auto found = this->peers.find(name);
  if (found == this->peers.end()) {
    return;
  }
  found->second.last_seen = std::chrono::steady_clock::now();
  if (!is_dialled) {
    this->Dial(name);
  } else if (found->second.dialled == link) {
    found->second.established = true;
    found->second.redial_backoff = {};
    this->log.Write(Event::kLinkOpened, {{"member", name}});
    this->options.hooks.on_target(name, hello.target());
    this->SetReachable(found->second, true);
  }
  this->options.hooks.on_hello(hello);
}

void Mesh::OnDialledClosed(const LinkPointer& link, const std::string& reason) {
  const auto found = this->peers.find(link->member);
  if (found == this->peers.end() || found->second.dialled != link) {
    return;
  }
  Peer& peer = found->second;
  const bool was_established = peer.established;
  peer.dialled.reset();
  peer.established = false;
  this->SetReachable(peer, false);
  if (was_established) {
    this->log.Write(Event::kLinkLost,
                    {{"member", link->member}, {"reason", reason}});
  }
  this->options.hooks.on_dialled_closed(link->member);
  this->ScheduleRedial(link->member, was_established);
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
  this->options.hooks.on_removed(name);
  if (!peer.dialled) {
    this->peers.erase(found);
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

void Mesh::CheckLinks() {
  const core::Instant now = std::chrono::steady_clock::now();
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
      asio::post(this->context, [this, link] {
        link->Close();
        this->OnDialledClosed(link, "silent");
      });
      continue;
    }
    this->SetReachable(peer, silence <= kSuspicionTimeout);
    if (now - peer.dialled_or_pinged_at >= kPingInterval) {
      peer.dialled_or_pinged_at = now;
      mesh::Frame frame;
      peer.ping_id = ++this->last_ping_id;
      peer.ping_sent_at = manifest::TimeSinceBoot();
      frame.mutable_ping()->set_id(peer.ping_id);
      link->Send(frame);
    }
  }
  for (const std::string& name : removable) {
    this->options.hooks.on_removed(name);
    this->peers.erase(name);
  }
  this->timers.After(kLinkCheckPeriod, [this] { this->CheckLinks(); });
}

bool Mesh::Send(const std::string& member, const mesh::Frame& frame) {
  const auto found = this->peers.find(member);
  if (found == this->peers.end() || !found->second.dialled ||
      !found->second.dialled->is_open()) {
    return false;
  }
  found->second.dialled->Send(frame);
  return true;
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

std::string Mesh::data_centre_of(const std::string& member) const {
  const auto found = this->peers.find(member);
  return found == this->peers.end() ? std::string()
                                    : found->second.member.data_centre();
}

bool Mesh::is_first_in_data_centre(std::string_view purpose) const {
  using core::routing::RendezvousScore;
  const std::uint64_t own = RendezvousScore(purpose, this->self.name());
  return std::none_of(
      this->peers.begin(), this->peers.end(), [&](const auto& entry) {
        const auto& [name, peer] = entry;
        return peer.reachable &&
               peer.member.data_centre() == this->self.data_centre() &&
               RendezvousScore(purpose, name) > own;
      });
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
