// The only way to the target beside this daemon.
#ifndef LYCHEEWELL_SIDECAR_REQUESTS_GATE_H_
#define LYCHEEWELL_SIDECAR_REQUESTS_GATE_H_

#include <mesh.pb.h>

#include <boost/asio/io_context.hpp>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "lycheewell/core/overload/call_tracker.h"
#include "lycheewell/core/overload/slot_gate.h"
#include "lycheewell/core/routing/failure_rate.h"
#include "lycheewell/sidecar/decision_log.h"
#include "lycheewell/sidecar/hooks.h"
#include "lycheewell/sidecar/http/client_connection.h"
#include "lycheewell/sidecar/settings.h"
#include "lycheewell/sidecar/timer_queue.h"

namespace lycheewell::sidecar::requests {

// A request for the target beside this daemon.
struct GateCall {
  std::string instance;  // the start of the target that was chosen
  std::string request_id;
  std::string route;
  // Route of the client's request that this call follows from; empty when that
  // is not known.
  std::string origin;
  std::string method;
  std::string path_and_query;
  std::string header_lines;
  std::string body;
  core::Instant deadline;
  // The answer is wanted by then; a request that cannot make it is refused.
  core::Instant wanted_by;
  int rank = 0;
  bool is_idempotent = false;
  // Another target of the service had no slot for it.
  bool was_refused = false;
};

// The request on whose behalf a target makes a call.
struct CallOrigin {
  std::string route;  // of the client's request
  int rank = 0;

  bool operator==(const CallOrigin&) const = default;
};

// Reason of a refusal because the target's slots are taken for too long.
inline constexpr std::string_view kNoSlot = "no slot in time";

enum class Outcome { kAnswered, kNotRun, kMayHaveRun };

struct GateReply {
  Outcome outcome = Outcome::kNotRun;
  unsigned status = 0;
  std::string header_lines;
  std::string body;
  std::string reason;
  core::Duration retry_after{};
  // The run failed after a call that the target made had found no slot, here
  // or further down.
  bool is_starved = false;
};

class Gate {
 public:
  using Ticket = std::uint64_t;
  using Callback = std::function<void(GateReply)>;

  struct Options {
    const Settings& settings;
    const DialectHooks& dialect;
    // The target's state has changed.
    std::function<void()> on_change;
    // When a call that the target made last found no slot.
    std::function<core::Instant()> last_starved_call;
    // When a call that the target made last failed for any reason.
    std::function<core::Instant()> last_failed_call;
  };

  Gate(boost::asio::io_context& context, TimerQueue& timers, DecisionLog& log,
       Options options);

  // Commands.

  // `done` is called once, possibly before Submit returns.
  Ticket Submit(GateCall call, Callback done);

  // Nobody waits for the answer any more; `done` is not called. A running
  // request that is not idempotent goes on.
  void Cancel(Ticket ticket);

  void Announce(const Announcement& announcement);

  // The client's request behind a call of `route` that the target makes now.
  std::optional<CallOrigin> Attribute(const std::string& route,
                                      core::Instant call_deadline,
                                      core::RandomSource& random);

  // A start of a target that a peer saw leaving; see retired_starts.
  void Retire(const std::string& start);

  // This daemon stops: refuse new work.
  void BeginDrain();

  // Queries.

  mesh::Target DescribeTarget() const;
  mesh::Load DescribeLoad() const;
  // Starts of targets that leave or have left, as "instance@born".
  const std::set<std::string>& retired_starts() const { return this->retired; }
  std::size_t running() const { return this->running_calls; }
  bool accepts_work() const;
  // What the target has done for the requests of one route and their calls,
  // and the time for which they wanted slots in vain.
  struct OriginWork {
    core::Duration held{};
    core::Duration unmet{};
    // Runs of clients' requests, and those that were starved.
    std::uint64_t ended = 0;
    std::uint64_t starved = 0;
  };
  const std::map<std::string, OriginWork>& work_by_origin() const {
    return this->work_of_origin;
  }

 private:
  struct Call {
    GateCall request;
    Callback done;
    std::shared_ptr<http::ClientConnection> connection;
    core::Instant started_at;
    TimerQueue::Id timer = 0;
    bool is_running = false;
    bool is_abandoned = false;
  };

  core::Duration WorkOf(const std::string& route) const;
  void RecordRun(const Call& call, GateReply& reply, core::Instant now);
  void Run(Ticket ticket);
  // A running call holds no slot any more.
  void LeaveSlot(Ticket ticket, const Call& call, core::Instant now);
  void Finish(Ticket ticket, http::ExchangeOutcome outcome);
  void Reply(Ticket ticket, GateReply reply);
  void Refuse(Ticket ticket, std::string_view reason,
              core::Duration retry_after);
  void TakeTurns();
  void ScheduleExpiry();
  void RefuseWaiting(std::string_view reason);
  void SetState(TargetState state, std::string_view reason);
  void WatchSilence();
  std::shared_ptr<http::ClientConnection> TakeConnection(bool is_idempotent);
  void KeepConnection(std::shared_ptr<http::ClientConnection> connection);

  boost::asio::io_context& context;
  TimerQueue& timers;
  DecisionLog& log;
  Options options;
  boost::asio::ip::tcp::endpoint target_endpoint;
  core::overload::SlotGate slots;
  std::unordered_map<Ticket, Call> calls;
  std::deque<std::shared_ptr<http::ClientConnection>> idle;  // newest last
  Ticket last_ticket = 0;
  std::size_t running_calls = 0;
  TimerQueue::Id expiry = 0;
  core::Instant expiry_at = core::Instant::max();

  std::map<std::string, core::Duration> mean_work;  // by route
  std::map<std::string, OriginWork> work_of_origin;
  core::overload::CallTracker tracker;
  core::routing::FailureRate failures;

  Announcement target;  // newest word of the target
  TargetState state = TargetState::kGone;
  core::Instant heard_at;
  core::Instant cold_until;
  std::set<std::string> retired;
  std::set<std::string> earlier_starts;
  bool draining = false;
};

}  // namespace lycheewell::sidecar::requests

#endif  // LYCHEEWELL_SIDECAR_REQUESTS_GATE_H_
