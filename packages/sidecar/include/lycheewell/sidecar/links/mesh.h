// The members of the fleet and the links to them.
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

// A full mesh: every daemon dials every other one. A daemon sends its calls and
// requests on the link that it dialled and gets the replies on the same link.
class Mesh {
 public:
  struct Hooks {
    // Called for every frame except Hello and Member.
    std::function<void(const LinkPointer&, mesh::Frame&)> on_frame;
    // The peer's Hello described its local target.
    std::function<void(const std::string& member, const mesh::Target&)>
        on_target;
    // `member` became reachable or unreachable.
    std::function<void(const std::string& member, bool is_reachable)>
        on_reachable;
    // The dialled link to `member` closed; requests pending on it get no reply.
    std::function<void(const std::string& member)> on_dialled_closed;
    // A link that a peer dialled closed; its calls need no reply.
    std::function<void(const LinkPointer&)> on_accepted_closed;
    // `member` has left or timed out and must get no new calls.
    std::function<void(const std::string& member)> on_removed;
    // Fills the fields of a Hello other than the members.
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

  // Sends on the link dialled to `member`. Returns false when it is not open.
  bool Send(const std::string& member, const mesh::Frame& frame);

  // Sends to all peers, on the links that they dialled.
  void Broadcast(const mesh::Frame& frame);

  // Sends to the peers of this data centre, on the links that they dialled.
  void BroadcastInDataCentre(const mesh::Frame& frame);

  // Returns when ping `id` was sent to `member` (time since boot) and forgets
  // the ping. Empty when `id` is not the pending ping of `member`.
  std::optional<core::Duration> TakePingSentAt(const std::string& member,
                                               std::uint64_t id);

  // Tells all peers that this daemon is leaving the fleet.
  void AnnounceLeaving();

  // Queries.

  const std::string& self_name() const { return this->self.name(); }
  bool is_reachable(const std::string& member) const;
  // Number of members that are not leaving, reachable or not, with this one.
  std::size_t daemon_count() const;
  // Fraction of these daemons that are reachable, with this one.
  double reachable_fraction() const;
  std::vector<std::string> reachable_members() const;
  // Increases whenever the reachability of a member changes.
  std::uint64_t reachability_version() const { return this->reachability; }
  // Whether this daemon has the highest rendezvous score for `purpose` among
  // the reachable members of its data centre.
  bool is_first_in_data_centre(std::string_view purpose) const;
  // Empty when `member` is unknown.
  std::string data_centre_of(const std::string& member) const;
  // Whether the list of members has been read from the store.
  bool has_listed_members() const { return this->listed; }

 private:
  struct Peer {
    mesh::Member member;
    LinkPointer dialled;
    bool established = false;  // the dialled link has received its Hello
    bool reachable = false;
    core::Instant last_seen;
    core::Instant dialled_or_pinged_at;
    std::uint64_t ping_id = 0;  // 0: no ping is pending
    core::Duration ping_sent_at{};
    TimerQueue::Id redial_timer = 0;
    core::Duration redial_backoff{};
  };

  void Accept();
  // Writes this daemon's record to the store, then reads the others'.
  void RegisterSelf();
  void ListMembers();
  // Adds or updates a member unless a record with the same or a newer
  // incarnation is known.
  void UpdateMember(const mesh::Member& member);
  void Dial(const std::string& name);
  // Doubles the backoff unless `reset_backoff` is true.
  void ScheduleRedial(const std::string& name, bool reset_backoff);
  void SendHello(const LinkPointer& link);
  void OnFrame(const LinkPointer& link, mesh::Frame& frame, bool is_dialled);
  void OnDialledClosed(const LinkPointer& link, const std::string& reason);
  // Stops new calls to the member. Its entry stays until its dialled link
  // closes.
  void RemoveMember(const std::string& name, std::string_view reason);
  void SetReachable(Peer& peer, bool reachable);
  // Pings peers, closes silent links and drops unreachable members.
  void CheckLinks();

  boost::asio::io_context& context;
  TimerQueue& timers;
  DecisionLog& log;
  Options options;
  boost::asio::ip::tcp::acceptor acceptor;
  mesh::Member self;
  std::map<std::string, Peer> peers;
  std::set<LinkPointer> accepted;
  std::uint64_t last_ping_id = 0;
  std::uint64_t reachability = 1;
  bool listed = false;
};

}  // namespace lycheewell::sidecar::links

#endif  // LYCHEEWELL_SIDECAR_LINKS_MESH_H_
