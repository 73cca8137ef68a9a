// The daemons of the fleet and the links to them.
#ifndef LYCHEEWELL_SIDECAR_LINKS_MESH_H_
#define LYCHEEWELL_SIDECAR_LINKS_MESH_H_

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "lycheewell/sidecar/decision_log.h"
#include "lycheewell/sidecar/hooks.h"
#include "lycheewell/sidecar/links/link.h"
#include "lycheewell/sidecar/settings.h"
#include "lycheewell/sidecar/timer_queue.h"

namespace lycheewell::sidecar::links {

// Every daemon dials every other one: calls and questions go out on the link
// that this daemon dialled, answers come back on it.
class Mesh {
 public:
  struct Hooks {
    // Every frame but those about members.
    std::function<void(const LinkPointer&, mesh::Frame&)> on_frame;
    // The target that a peer said stands beside it.
    std::function<void(const std::string& member, const mesh::Target&)>
        on_target;
    // Answers from `member` can or cannot be expected.
    std::function<void(const std::string& member, bool is_reachable)>
        on_reachable;
    // The dialled link to `member` ended; what was asked there has no answer.
    std::function<void(const std::string& member)> on_lost;
    // A peer's link ended; its calls need no answer.
    std::function<void(const LinkPointer&)> on_caller_lost;
    std::function<void(const std::string& member)> on_forgotten;
    // Fills what a Hello says beyond members.
    std::function<void(mesh::Hello&)> fill_hello;
    std::function<void(const mesh::Hello&)> on_hello;
  };

  struct Options {
    const Settings& settings;
    const StoreHooks& store;
    Hooks hooks;
  };

  Mesh(boost::asio::io_context& context, TimerQueue& timers, DecisionLog& log,
       Options options);

  // Commands.

  void Start();

  // Sends on the link dialled to `member`; false when it is not open.
  bool Send(const std::string& member, const mesh::Frame& frame);

  // Sends on every link that a peer dialled.
  void Broadcast(const mesh::Frame& frame);

  // Sends on the links that peers of this data centre dialled.
  void BroadcastInDataCentre(const mesh::Frame& frame);

  // When ping `id` was sent to `member` (time since boot); once for each ping.
  std::optional<core::Duration> TakePing(const std::string& member,
                                         std::uint64_t id);

  // Tells all peers that this daemon stops.
  void SayLeaving();

  // Queries.

  const std::string& self_name() const { return this->self.name(); }
  bool is_reachable(const std::string& member) const;
  // This daemon and all others that have not left, reachable or not.
  std::size_t daemon_count() const;
  // The part of these daemons that are reachable, this one included.
  double reachable_part() const;
  std::vector<std::string> reachable_members() const;
  // Grows whenever a member becomes reachable or is no longer.
  std::uint64_t reachability_version() const { return this->reachability; }
  // Whether this daemon ranks first for `purpose` among the reachable members
  // of its data centre.
  bool is_first_in_data_centre(std::string_view purpose) const;
  // Empty for a member that is not known.
  std::string data_centre_of(const std::string& member) const;
  bool has_listed_members() const { return this->listed; }

 private:
  struct Peer {
    mesh::Member member;
    LinkPointer dialled;
    bool greeted = false;  // its Hello has come on the dialled link
    bool reachable = false;
    core::Instant last_seen;
    core::Instant pinged_at;
    std::uint64_t ping_id = 0;  // 0: answered
    core::Duration ping_sent_at{};
    TimerQueue::Id redial = 0;
    core::Duration redial_pause{};
  };

  void Accept();
  void Announce();
  void ListMembers();
  void Learn(const mesh::Member& member);
  void Dial(const std::string& name);
  void DialLater(const std::string& name, bool soon);
  void Greet(const LinkPointer& link);
  void OnFrame(const LinkPointer& link, mesh::Frame& frame, bool is_dialled);
  void OnDialledClosed(const LinkPointer& link, const std::string& reason);
  void Forget(const std::string& name, std::string_view reason);
  void SetReachable(Peer& peer, bool reachable);
  void Watch();

  boost::asio::io_context& context;
  TimerQueue& timers;
  DecisionLog& log;
  Options options;
  boost::asio::ip::tcp::acceptor acceptor;
  mesh::Member self;
  std::map<std::string, Peer> peers;
  std::set<LinkPointer> accepted;
  std::uint64_t last_ping = 0;
  std::uint64_t reachability = 1;
  bool listed = false;
};

}  // namespace lycheewell::sidecar::links

#endif  // LYCHEEWELL_SIDECAR_LINKS_MESH_H_
