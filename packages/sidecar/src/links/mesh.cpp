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

// How often links are looked after.
constexpr core::Duration kWatchPeriod = std::chrono::milliseconds(500);

// A link on which nothing came for this long is asked for a sign of life. The
// answer also carries load and proof of the manifest.
constexpr core::Duration kPingAfter = std::chrono::milliseconds(900);

// Without a sign of life for this long a member gets no new calls, and after
// the second limit its link is closed and dialled anew. Both exceed a ping, an
// answer and one retransmission.
constexpr core::Duration kSuspectAfter = std::chrono::milliseconds(1800);
constexpr core::Duration kCloseAfter = std::chrono::milliseconds(2800);

constexpr core::Duration kConnectTimeout = std::chrono::milliseconds(1000);

// Pauses between dials of a lost member: it may be back in a second, or never.
constexpr core::Duration kFirstRedialPause = std::chrono::milliseconds(200);
constexpr core::Duration kLongestRedialPause = std::chrono::seconds(2);

// A member out of reach is dialled for this long. Restarts take seconds,
// outages of the store up to minutes.
constexpr core::Duration kForgetAfter = std::chrono::minutes(3);

constexpr core::Duration kStorePause = std::chrono::milliseconds(300);

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
  // Only inequality matters: a jump of the clock does no harm.
  const auto now = std::chrono::system_clock::now().time_since_epoch();
  this->self.set_incarnation(static_cast<std::uint64_t>(
      std::chrono::duration_cast<std::chrono::microseconds>(now).count()));
}

void Mesh::Start() {
  this->Accept();
  this->Announce();
  this->Watch();
}

void Mesh::Accept() {
  this->acceptor.async_accept([this](const boost::system::error_code& error,
                                     tcp::socket socket) {
    if (error) {
      this->timers.After(kStorePause, [this] { this->Accept(); });
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
                          this->options.hooks.on_caller_lost(source);
                        }});
    this->accepted.insert(link);
    link->Start();
    this->Greet(link);
    this->Accept();
  });
}

void Mesh::Announce() {
  this->options.store.put_member(
      {.key = this->self.name(), .value = this->self.SerializeAsString()},
      [this](auto result) {
        if (std::holds_alternative<StoreError>(result)) {
          this->timers.After(kStorePause, [this] { this->Announce(); });
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
      this->timers.After(kStorePause, [this] { this->ListMembers(); });
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
      this->Learn(member);
    }
  });
}

void Mesh::Learn(const mesh::Member& member) {
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
    this->OnDialledClosed(old, "the member has restarted");
  }
  if (member.is_leaving()) {
    this->Forget(member.name(), "it left");
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
  this->timers.Cancel(peer.redial);
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
              [this](const LinkPointer& source) { this->Greet(source); }});
  link->member = name;
  peer.dialled = link;
  peer.greeted = false;
  peer.pinged_at = std::chrono::steady_clock::now();
  link->Connect(io::http::ParseEndpoint(peer.member.address()));
}

void Mesh::Greet(const LinkPointer& link) {
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
      this->Forget(name, "it leaves");
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
    // The address belongs to another daemon by now.
    link->Close();
    this->OnDialledClosed(link, "another daemon answered: " + name);
    this->Learn(hello.self());
    return;
  }
  link->member = name;
  this->Learn(hello.self());
  for (const mesh::Member& member : hello.members()) {
    if (!this->peers.contains(member.name())) {
      this->Learn(member);
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
    found->second.greeted = true;
    found->second.redial_pause = {};
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
  const bool was_greeted = peer.greeted;
  peer.dialled.reset();
  peer.greeted = false;
  this->SetReachable(peer, false);
  if (was_greeted) {
    this->log.Write(Event::kLinkLost,
                    {{"member", link->member}, {"reason", reason}});
  }
  this->options.hooks.on_lost(link->member);
  this->DialLater(link->member, was_greeted);
}

void Mesh::DialLater(const std::string& name, bool soon) {
  const auto found = this->peers.find(name);
  if (found == this->peers.end()) {
    return;
  }
  Peer& peer = found->second;
  peer.redial_pause = soon ? kFirstRedialPause
                           : std::clamp(peer.redial_pause * 2,
                                        kFirstRedialPause, kLongestRedialPause);
  this->timers.Cancel(peer.redial);
  peer.redial =
      this->timers.After(peer.redial_pause, [this, name] { this->Dial(name); });
}

void Mesh::Forget(const std::string& name, std::string_view reason) {
  const auto found = this->peers.find(name);
  if (found == this->peers.end()) {
    return;
  }
  this->log.Write(Event::kMemberForgotten,
                  {{"member", name}, {"reason", reason}});
  Peer& peer = found->second;
  this->timers.Cancel(peer.redial);
  // Calls that are under way there still get their answers.
  peer.greeted = false;
  this->SetReachable(peer, false);
  peer.member.set_is_leaving(true);
  this->options.hooks.on_forgotten(name);
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

void Mesh::Watch() {
  const core::Instant now = std::chrono::steady_clock::now();
  std::vector<std::string> forgotten;
  for (auto& [name, peer] : this->peers) {
    if (!peer.dialled) {
      if (peer.member.is_leaving() || now - peer.last_seen > kForgetAfter) {
        forgotten.push_back(name);
      }
      continue;
    }
    if (peer.member.is_leaving()) {
      continue;  // its last answers are on their way
    }
    const LinkPointer link = peer.dialled;
    if (!link->is_open() || !peer.greeted) {
      if (now - peer.pinged_at > kConnectTimeout + kCloseAfter ||
          (!link->is_open() && now - peer.pinged_at > kConnectTimeout)) {
        asio::post(this->context, [this, link] {
          link->Close();
          this->OnDialledClosed(link, "no connection in time");
        });
      }
      continue;
    }
    peer.last_seen = std::max(peer.last_seen, link->last_received());
    const core::Duration silence = now - link->last_received();
    if (silence > kCloseAfter) {
      asio::post(this->context, [this, link] {
        link->Close();
        this->OnDialledClosed(link, "silent");
      });
      continue;
    }
    this->SetReachable(peer, silence <= kSuspectAfter);
    if (now - peer.pinged_at >= kPingAfter) {
      peer.pinged_at = now;
      mesh::Frame frame;
      peer.ping_id = ++this->last_ping;
      peer.ping_sent_at = manifest::TimeSinceBoot();
      frame.mutable_ping()->set_id(peer.ping_id);
      link->Send(frame);
    }
  }
  for (const std::string& name : forgotten) {
    this->options.hooks.on_forgotten(name);
    this->peers.erase(name);
  }
  this->timers.After(kWatchPeriod, [this] { this->Watch(); });
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

void Mesh::SayLeaving() {
  this->self.set_is_leaving(true);
  mesh::Frame frame;
  *frame.mutable_member() = this->self;
  this->Broadcast(frame);
}

std::optional<core::Duration> Mesh::TakePing(const std::string& member,
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

double Mesh::reachable_part() const {
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
