// Admits requests to the target beside this daemon and runs them there. No
// request reaches the target by another path.
#ifndef LYCHEEWELL_SIDECAR_REQUESTS_GATE_H_
#define LYCHEEWELL_SIDECAR_REQUESTS_GATE_H_

#include <mesh.pb.h>

#include <boost/asio/io_context.hpp>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "lycheewell/core/membership/target_starts.h"
#include "lycheewell/core/overload/call_tracker.h"
#include "lycheewell/core/overload/named_limit.h"
#include "lycheewell/core/overload/slot_gate.h"
#include "lycheewell/core/quarantine/crash_detector.h"
#include "lycheewell/core/routing/failure_rate.h"
#include "lycheewell/core/routing/target_speed.h"
#include "lycheewell/core/routing/work_model.h"
#include "lycheewell/sidecar/decision_log.h"
#include "lycheewell/sidecar/hooks.h"
#include "lycheewell/sidecar/http/client_connection.h"
#include "lycheewell/sidecar/requests/cold_watch.h"
#include "lycheewell/sidecar/requests/quarantine.h"
#include "lycheewell/sidecar/settings.h"
#include "lycheewell/sidecar/timer_queue.h"

namespace lycheewell::sidecar::requests {

// A request for the target beside this daemon.
struct GateCall {
  std::string instance;  // of the target, as chosen by the sending daemon
  std::string request_id;
  std::string route;
  // Route of the client request that caused this call; empty if not known.
  std::string origin;
  std::string method;
  std::string path_and_query;
  std::string header_lines;
  std::string body;
  core::Instant deadline;
  // A request that is not expected to be answered by then is refused.
  core::Instant soft_deadline;
  int rank = 0;
  // Of a call that waits with patience; see core::overload::CallTimes.
  std::optional<core::Instant> root_arrived_at;
  bool is_root_known = false;
  bool is_idempotent = false;
  // Another target of the service has refused it.
  bool was_refused = false;
  std::string fingerprint;  // see core::quarantine::FingerprintOf
  // The sending daemon knows that it was running when a target crashed.
  bool is_suspect = false;
  // At a target of mean speed, as the sending daemon expects.
  core::routing::WorkEstimate expected;
};

// The client request on whose behalf a target makes a call.
struct CallOrigin {
  std::string route;  // of the client request
  int rank = 0;
  // Arrival of the client request; empty if the request is only a likely one.
  std::optional<core::Instant> root_arrived_at;

  bool operator==(const CallOrigin&) const = default;
};

// Reason for refusing a request that gets no slot of the target in time.
inline constexpr std::string_view kNoSlot = "no slot in time";
// Reason for refusing a request beyond the rate that the target takes.
inline constexpr std::string_view kOverLimit = "over the target's limit";
// Reason for refusing a request that has crashed targets.
inline constexpr std::string_view kQuarantined = "it has crashed targets";
// Reason for refusing a request because the target's data centre is evacuated.
inline constexpr std::string_view kEvacuated = "data centre is evacuated";

enum class Outcome { kAnswered, kNotRun, kMayHaveRun };

struct GateReply {
  Outcome outcome = Outcome::kNotRun;
  unsigned status = 0;
  std::string header_lines;
  std::string body;
  std::string reason;
  core::Duration retry_after{};
  // The run failed after a call that the target made got no slot, at the called
  // service or further downstream.
  bool is_starved = false;
  // Time for which it held its slot; zero if that says nothing about its work.
  core::Duration work{};
};

class Gate {
 public:
  using Ticket = std::uint64_t;
  using Callback = std::function<void(GateReply)>;

  struct Options {
    const Settings& settings;
    const DialectHooks& dialect;
    // Called when the target's state has changed.
    std::function<void()> on_change;
    // Called when an answer of the target has said that `start` leaves.
    std::function<void(const core::DaemonRef& start)> on_departure;
    // When a call made by the target last got no slot.
    std::function<core::Instant()> last_starved_call;
    // When a call made by the target last failed for any reason.
    std::function<core::Instant()> last_failed_call;
    Quarantine& quarantine;
    // Daemons that may send requests to the target, this one included.
    std::function<std::size_t()> daemon_count;
    // Whether a call must be refused because the data centre is evacuated.
    std::function<bool()> refuses_for_evacuation;
  };

  Gate(boost::asio::io_context& context, TimerQueue& timers, DecisionLog& log,
       Options options);

  // Commands.

  // `done` is called once, possibly before Submit returns.
  Ticket Submit(GateCall call, Callback done);

  // Cancels a request whose answer is no longer needed; `done` is not called. A
  // running request that is not idempotent is left to finish. Returns whether
  // the request has not run and never will.
  bool Cancel(Ticket ticket);

  // Returns whether the announcement was taken into account. It must not be
  // acknowledged otherwise.
  bool OnAnnouncement(const Announcement& announcement);

  // Returns the origin of a call of `route` that the target makes now, or
  // nothing if it is not known.
  std::optional<CallOrigin> Attribute(const std::string& route,
                                      core::Instant call_deadline,
                                      core::RandomSource& random);

  // Records that `start` has left, as peers or the store remember.
  void Retire(const core::DaemonRef& start);

  // Records that `start` had named a limit, as peers remember.
  void RecallLimit(const core::DaemonRef& start, double per_second);

  // What the manifest says of the target's service; null: nothing.
  void Configure(const core::manifest::Service* service) {
    this->cold.Configure(service);
  }

  // The target may have become cold for the reason given: until it shows
  // otherwise it gets no more requests than a cold one.
  void AssumeCold(std::string_view reason) { this->cold.Assume(reason); }

  // Refuses new work because this daemon stops.
  void BeginDrain();

  // Refuses the requests that wait; the data centre is evacuated.
  void RefuseForEvacuation();

  // Queries.

  mesh::Target DescribeTarget() const;
  mesh::Load DescribeLoad() const;
  const ColdWatch& cold_watch() const { return this->cold; }
  std::size_t running() const { return this->running_calls; }
  int slot_count() const { return this->slots.slots(); }
  bool accepts_work() const;
  // Use of the target by the client requests of one route and the calls that
  // result from them.
  struct OriginWork {
    core::Duration held{};   // time for which they held slots
    core::Duration unmet{};  // expected work of those that got no slot
    // Client requests that ran, and those of them that failed because a call
    // got no slot.
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
    std::unique_ptr<http::BodyAllowance> body_allowance;
    std::shared_ptr<http::ClientConnection> connection;
    core::Instant submitted_at;
    core::Instant started_at;
    core::DaemonRef start;  // of the target, when the run began
    TimerQueue::Id timer = 0;
    bool is_running = false;
    bool is_abandoned = false;
    bool is_suspect = false;         // admitted as the target's only suspect
    bool holds_limit_token = false;  // of the target's limit, not sent yet
    bool holds_cold_place = false;   // of ColdWatch, not written yet
    std::optional<core::Instant> written_at;  // to the target
  };

  // The end of a run whose connection broke. It is held back until it is known
  // whether the target crashed, so that the caller learns that first.
  struct BrokenRun {
    Callback done;
    GateReply reply;
  };

  ColdWatch::Options ColdWatchOptions();
  core::Duration MeanWorkOf(const std::string& route) const;
  // Expected work of the call at this target; mean zero: not known.
  core::routing::WorkEstimate ExpectedWorkOf(const GateCall& call) const;
  // Runs, queues or refuses a call by the slots of the target.
  void OfferSlot(Ticket ticket);
  // Offers the call now if it is the only suspect, or else after the others.
  void OfferSuspect(Ticket ticket);
  void OfferNextSuspect();
  // Forgets the call; the next suspect takes its turn.
  void EraseCall(Ticket ticket);
  // When the call's answer is no longer of use.
  core::Instant AnswerBy(const GateCall& call) const;
  core::Instant LatestStart(const GateCall& call) const;
  void RecordRun(const Call& call, GateReply& reply, core::Instant now);
  void LogLongWait(const Call& call, core::Instant now);
  void Run(Ticket ticket);
  void OnWritten(Ticket ticket);
  // Accounts for the end of a running call.
  void ReleaseSlot(Ticket ticket, const Call& call, core::Instant now);
  void Finish(Ticket ticket, http::ExchangeOutcome outcome);
  // Ends a run without an answer.
  void FinishBroken(Ticket ticket, const http::ExchangeProblem& problem);
  // Takes what an answer to `call` says of the target itself.
  void TakeNotices(const Call& call, const TargetAnswer& answer);
  void TakeLimit(const Call& call, const TargetAnswer& answer);
  void TakeDeparture(const Call& call);
  void OnLimitChange(bool was_limited);
  // Finds out whether the target still takes connections.
  void CheckForCrash();
  // The target's process is gone or replaced; it has not announced that.
  void ConfirmCrash();
  void ReleaseBrokenRuns();
  bool has_usable_connection() const;
  // Whether a request that was written before `begin` still runs.
  bool has_older_run(core::Instant begin) const;
  void Reply(Ticket ticket, GateReply reply);
  void Refuse(Ticket ticket, std::string_view reason,
              core::Duration retry_after);
  void DispatchWaiting();
  void ScheduleExpiry();
  void RefuseWaiting(std::string_view reason);
  void SetState(TargetState state, std::string_view reason);
  void CheckAnnouncements();
  // Time without an announcement after which the target is considered gone.
  core::Duration AnnouncementTimeout() const;
  std::shared_ptr<http::ClientConnection> TakeConnection(bool is_idempotent);
  void ReturnConnection(std::shared_ptr<http::ClientConnection> connection);

  boost::asio::io_context& context;
  TimerQueue& timers;
  DecisionLog& log;
  Options options;
  boost::asio::ip::tcp::endpoint target_endpoint;
  http::ByteBudgetPointer request_bodies;  // of calls that wait or are sent
  http::ByteBudgetPointer answer_bodies;   // that are being received
  core::overload::SlotGate slots;
  std::unordered_map<Ticket, Call> calls;
  std::deque<std::shared_ptr<http::ClientConnection>>
      idle_connections;  // newest last
  Ticket last_ticket = 0;
  std::size_t running_calls = 0;
  TimerQueue::Id expiry_timer = 0;
  core::Instant expiry_at = core::Instant::max();

  std::map<std::string, core::Duration> mean_work;  // by route
  std::map<std::string, OriginWork> work_of_origin;
  core::overload::CallTracker tracker;
  core::quarantine::CrashDetector crash_detector;
  std::vector<BrokenRun> broken_runs;
  bool is_checking_for_crash = false;
  std::optional<Ticket> suspect;  // the one that has its turn
  std::deque<Ticket> waiting_suspects;
  core::routing::FailureRate failures;
  core::routing::TargetSpeed speed;
  core::overload::NamedLimit limit;
  // Limits of starts that have not announced themselves yet, as peers remember.
  std::map<std::string, double> recalled_limits;  // by the start's name

  Announcement target;  // the latest announcement
  TargetState state = TargetState::kGone;
  core::Instant announced_at;
  core::membership::TargetStarts starts;
  ColdWatch cold;
  bool draining = false;
};

}  // namespace lycheewell::sidecar::requests

#endif  // LYCHEEWELL_SIDECAR_REQUESTS_GATE_H_
