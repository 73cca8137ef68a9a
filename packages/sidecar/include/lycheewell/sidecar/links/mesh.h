// The members of the fleet and the links to them.
#ifndef LYCHEEWELL_SIDECAR_LINKS_MESH_H_
#define LYCHEEWELL_SIDECAR_LINKS_MESH_H_

#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "lycheewell/core/membership/unconfirmed_cancels.h"
#include "lycheewell/sidecar/decision_log.h"
#include "lycheewell/sidecar/hooks.h"
#include "lycheewell/sidecar/links/link.h"
#include "lycheewell/sidecar/records/fleet_records.h"
#include "lycheewell/sidecar/settings.h"
#include "lycheewell/sidecar/timer_queue.h"

namespace lycheewell::sidecar::links {

// A full mesh: every daemon dials every other one. A daemon sends its calls and
// requests on the link that it dialled and gets the replies on the same link.
// Members are learnt from the store and from the daemons that dial; where two
// daemons' digests of the members differ, one asks the other for its list.
class Mesh {
 public:
  struct Hooks {
    // Called for every frame except Hello and Member.
    std::function<void(const LinkPointer&, mesh::Frame&)> on_frame;
    // A call or a reply could not be read.
    std::function<void(const LinkPointer&, const UnreadableFrame&)>
        on_unreadable;
    // The peer's Hello described its local target.
    std::function<void(const std::string& member, const mesh::Target&)>
        on_target;
    // `member` became reachable or unreachable.
    std::function<void(const std::string& member, bool is_reachable)>
        on_reachable;
    // Link `link_id`, dialled to `member`, closed; requests pending on it get
    // no reply.
    std::function<void(const std::string& member, std::uint64_t link_id)>
        on_dialled_closed;
    // Nothing has come on the link for a long time. It stays open while calls
    // that must not be repeated wait for their replies; `member` is dialled
    // again for new calls.
    std::function<void(const std::string& member, std::uint64_t link_id)>
        on_silent;
    // Whether calls that must not be repeated wait for replies on the link.
    std::function<bool(std::uint64_t link_id)> has_unrepeatable_calls;
    // Call `call_id` could not be sent for too long. It has been taken back: it
    // has not run and never will.
    std::function<void(std::uint64_t call_id, core::Duration held_for)>
        on_held_back;
    // A link that a peer dialled closed; its calls need no reply.
    std::function<void(const LinkPointer&)> on_accepted_closed;
    // Time that a call and its reply currently lose on the way to `member` and
    // back; zero when it is negligible.
    std::function<void(const std::string& member, core::Duration delay)>
        on_path_delay;
    // `member` has left or timed out and must get no new calls.
    std::function<void(const std::string& member)> on_removed;
    // Fills the fields of a Hello other than `self` and the clock. `receiver`
    // is empty when it is not known yet.
    std::function<void(mesh::Hello&, const std::string& receiver)> fill_hello;
    std::function<void(const mesh::Hello&)> on_hello;
    // A record other than a member's was found in the store at the start.
    std::function<void(const records::FleetRecord&)> on_record;
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

  // Sends on the link dialled to `member`. Returns the link's id, or 0 when it
  // is not open or `member` cannot read the frame.
  std::uint64_t Send(const std::string& member, const mesh::Frame& frame);

  // Takes back a call that was sent on link `link_id`. Returns whether no part
  // of it has left: it has then not run and never will. Otherwise the call is
  // cancelled, on the next link to `member` if this one is silent or closed.
  bool Withdraw(const std::string& member, std::uint64_t link_id,
                std::uint64_t call_id);

  // Sends to all peers, on the links that they dialled.
  void Broadcast(const mesh::Frame& frame);

  // Sends to the peers of this data centre, on the links that they dialled.
  void BroadcastInDataCentre(const mesh::Frame& frame);

  // Sends them a proof of the manifest `version` that is `age` old now.
  void BroadcastProofInDataCentre(std::uint64_t version, core::Duration age);

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
  // Whether `member` accepts calls with text that is not valid UTF-8.
  bool accepts_non_utf8(const std::string& member) const;
  // Increases whenever the reachability of a member changes.
  std::uint64_t reachability_version() const { return this->reachability; }
  // When ping `id` was sent to `member` (time since boot). Empty when it is not
  // one of the latest.
  std::optional<core::Duration> PingSentAt(const std::string& member,
                                           std::uint64_t id) const;
  // Number of reachable members of this data centre with a higher rendezvous
  // score for `purpose` than this daemon.
  std::size_t rank_in_data_centre(std::string_view purpose) const;
  // Whether `member` has a higher score than this daemon.
  bool ranks_before_self(const std::string& member,
                         std::string_view purpose) const;
  // Whether `member` has it among the reachable members of its own one.
  bool is_first_of_its_data_centre(const std::string& member,
                                   std::string_view purpose) const;
  // Number of times that this process was paused for long enough for its peers
  // to replace it in its duties.
  std::uint64_t pause_count() const;
  // `when` on the clock of `member`, in microseconds; 0 when not known.
  std::uint64_t PeerTime(const std::string& member, core::Instant when) const;
  // Digest of the known members.
  std::uint64_t members_digest() const { return this->digest; }
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
    // The latest pings, pending or not, oldest first: id and time of sending.
    std::deque<std::pair<std::uint64_t, core::Duration>> sent_pings;
    core::Duration round_trip{};  // of the last ping that was answered
    core::Duration path_delay{};  // as last reported
    TimerQueue::Id redial_timer = 0;
    core::Duration redial_backoff{};
  };

  // A silent link with calls that still wait for their replies.
  struct SilentLink {
    LinkPointer link;
    core::Instant since;
  };

  void Accept();
  void AddAccepted(boost::asio::ip::tcp::socket socket);
  // Writes this daemon's record to the store, then reads all records.
  void RegisterSelf();
  void ListRecords();
  void OnRecord(const StoredRecord& stored);
  // Adds or updates a member unless a record with the same or a newer
  // incarnation is known.
  void UpdateMember(const mesh::Member& member);
  // Closes the dialled and the silent links to the member.
  void CloseLinksTo(const std::string& name, const std::string& reason);
  // Drops a member; other daemons that still know this start of it do not bring
  // it back.
  void Forget(const std::string& name);
  void Dial(const std::string& name);
  // Doubles the backoff unless `reset_backoff` is true.
  void ScheduleRedial(const std::string& name, bool reset_backoff);
  void SendHello(const LinkPointer& link);
  void OnFrame(const LinkPointer& link, mesh::Frame& frame, bool is_dialled);
  // Adds the hooks for what cannot be read of a peer's bytes.
  Link::Hooks WithUnreadableHooks(Link::Hooks hooks);
  void OnUnreadable(const LinkPointer& link, const UnreadableFrame& unreadable);
  void LogLeftOut(const LinkPointer& link,
                  const std::vector<std::string_view>& fields);
  void OnDialledClosed(const LinkPointer& link, const std::string& reason);
  // Detaches the dialled link from its member, which becomes unreachable.
  void DetachDialled(Peer& peer, const std::string& reason);
  // Keeps a silent link for its waiting calls, or closes it if there are none.
  void RetireSilentLink(const LinkPointer& link);
  void CheckSilentLinks(core::Instant now);
  // Takes back the calls that have waited too long to be sent on `link`.
  void WithdrawHeldCalls(const LinkPointer& link, core::Instant now);
  void OnPong(const LinkPointer& link, const mesh::Pong& pong);
  void RepeatCancels(const LinkPointer& link);
  void SendMembers(const LinkPointer& link);
  void RefreshDigest();
  // Stops new calls to the member. Its entry stays until its dialled link
  // closes.
  void RemoveMember(const std::string& name, std::string_view reason);
  void SetReachable(Peer& peer, bool reachable);
  // Pings peers, closes silent links and drops unreachable members.
  void CheckLinks();
  // Measures the delays of the paths to the peers and takes back calls that
  // have waited too long to be sent.
  void CheckPaths();
  void CheckPathDelay(Peer& peer, core::Instant now);
  // The reachable member of `data_centre` with the highest rendezvous score for
  // `purpose`; empty if there is none.
  const std::string& FirstOf(const std::string& data_centre,
                             std::string_view purpose) const;

  boost::asio::io_context& context;
  TimerQueue& timers;
  DecisionLog& log;
  Options options;
  boost::asio::ip::tcp::acceptor acceptor;
  mesh::Member self;
  std::map<std::string, Peer> peers;
  std::set<LinkPointer> accepted;
  std::map<std::uint64_t, SilentLink> silent_links;  // by link id
  core::membership::UnconfirmedCancels cancels;
  // Incarnations of dropped members. Other daemons may still know them.
  std::map<std::string, std::uint64_t> dropped_incarnations;
  std::uint64_t last_link_id = 0;
  std::uint64_t last_ping_id = 0;
  std::uint64_t reachability = 1;
  std::uint64_t digest = 0;
  // Cached results of FirstOf(), valid for one reachability version.
  mutable std::map<std::pair<std::string, std::string>, std::string>
      first_members;
  mutable std::uint64_t first_members_version = 0;
  core::Instant checked_at;
  std::uint64_t pauses = 0;
  core::Instant members_wanted_at;
  bool listed = false;
};

}  // namespace lycheewell::sidecar::links

#endif  // LYCHEEWELL_SIDECAR_LINKS_MESH_H_
