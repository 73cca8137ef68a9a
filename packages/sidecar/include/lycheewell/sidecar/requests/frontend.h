// Serves the requests that arrive on this VM: those of clients and the calls
// that the target makes to other services.
#ifndef LYCHEEWELL_SIDECAR_REQUESTS_FRONTEND_H_
#define LYCHEEWELL_SIDECAR_REQUESTS_FRONTEND_H_

#include <mesh.pb.h>

#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "lycheewell/core/overload/account_turns.h"
#include "lycheewell/core/overload/demand_model.h"
#include "lycheewell/core/overload/return_promises.h"
#include "lycheewell/core/retry/window_budget.h"
#include "lycheewell/core/routing/route_table.h"
#include "lycheewell/core/routing/target_selector.h"
#include "lycheewell/sidecar/counters.h"
#include "lycheewell/sidecar/decision_log.h"
#include "lycheewell/sidecar/hooks.h"
#include "lycheewell/sidecar/http/server.h"
#include "lycheewell/sidecar/links/mesh.h"
#include "lycheewell/sidecar/manifest/manifest_keeper.h"
#include "lycheewell/sidecar/requests/account_limiter.h"
#include "lycheewell/sidecar/requests/gate.h"
#include "lycheewell/sidecar/requests/quarantine.h"
#include "lycheewell/sidecar/requests/request_costs.h"
#include "lycheewell/sidecar/settings.h"

namespace lycheewell::sidecar::requests {

class Frontend {
 public:
  struct Options {
    const Settings& settings;
    const DialectHooks& dialect;
    manifest::ManifestKeeper& manifest;
    links::Mesh& mesh;
    AccountLimiter& accounts;
    Gate& gate;
    const Quarantine& quarantine;
    Counters& counters;
  };

  Frontend(TimerQueue& timers, DecisionLog& log, const Options& options);

  // Commands.

  void Serve(http::ExchangePointer exchange);

  // Records the load of the target beside daemon `member`.
  void ReportLoad(const std::string& member, const mesh::Load& load);

  // Handles the reply of daemon `member` to a call that was sent to it.
  void OnReply(const std::string& member, mesh::Reply& reply);
  // The reply to a call that was sent on link `link_id` could not be read.
  void OnUnreadableReply(std::uint64_t link_id, std::uint64_t call_id,
                         const std::string& reason);

  // Ends the unanswered calls on link `link_id`: they may have run.
  void OnLinkLost(std::uint64_t link_id);

  // Repeats the idempotent calls on the silent link `link_id` elsewhere. The
  // others wait for their replies: their work may go on.
  void OnLinkSilent(std::uint64_t link_id);

  // Sends call `call_id`, which its link could not send for `held_for`, to
  // another target or refuses it. It has not run.
  void OnHeldBack(std::uint64_t call_id, core::Duration held_for);

  core::routing::TargetSelector& selector() { return this->targets; }
  core::overload::DemandModel& demand() { return this->demand_model; }

  // Queries.

  // Client requests of one route that arrived at this daemon, and those of them
  // that it admitted.
  struct EntryCounts {
    std::uint64_t offered = 0;
    std::uint64_t entered = 0;
  };
  // By route.
  const std::map<std::string, EntryCounts>& entry_counts() const {
    return this->counts_by_route;
  }

  // Time from the first bytes of a request with this head within which it must
  // be answered.
  core::Duration TimeLimitOf(const io::http::Request& head) const;

  std::size_t open_requests() const { return this->open; }
  // Whether calls that must not be repeated wait for replies on the link.
  bool has_unrepeatable_calls(std::uint64_t link_id) const;
  // When a call made by the target beside this daemon last got no slot.
  core::Instant last_starved_call() const { return this->starved_call_at; }
  // When a call made by that target last failed for any reason.
  core::Instant last_failed_call() const { return this->failed_call_at; }

 private:
  struct Pending;
  using PendingPointer = std::shared_ptr<Pending>;

  static core::Duration TimeLimitOf(const ClientRequest& request,
                                    const core::manifest::Route* route);
  void Admit(const PendingPointer& pending);
  // Lets the admitted fractions follow demand and queues.
  void UpdateDemand(core::Instant now);
  // Logs the admitted fractions of routes that have changed noticeably.
  void LogAdmittedFractions();
  // Returns the client request that caused a call made by the target beside
  // this daemon, or nothing if it is not known.
  std::optional<CallOrigin> OriginOf(const PendingPointer& pending);
  // Admits or rejects a client request by the capacity of the downstream
  // services, and counts it.
  bool AdmitByDemand(const PendingPointer& pending);
  // Decides by the account which of a route's requests enter.
  bool AdmitByAccount(const PendingPointer& pending, bool is_granted,
                      bool goes_first);
  // Whether a request that was refused has come back as told and goes first.
  bool TakeReturn(const PendingPointer& pending, core::Instant now);
  // Retry-After of a request without room: the fraction of its latency target,
  // or a time that is kept for it.
  core::Duration ReturnAfter(const PendingPointer& pending, double fraction);
  void SetFingerprint(const PendingPointer& pending);
  void Dispatch(const PendingPointer& pending);
  std::optional<core::routing::Choice> ChooseTarget(
      const PendingPointer& pending, core::Instant now);
  void SendTo(const PendingPointer& pending,
              const core::routing::Choice& choice);
  void OnOutcome(const PendingPointer& pending, GateReply reply);
  void OnNotRun(const PendingPointer& pending, const GateReply& reply);
  // Whether to send a request that has been refused to another target.
  static bool MayTry(const PendingPointer& pending,
                     const core::routing::Choice& choice,
                     const GateReply& refusal, core::Instant now);
  void OnTimeout(const PendingPointer& pending);
  // Cancels the current call, if any. Returns whether it may have run.
  bool CancelCall(const PendingPointer& pending);
  void Refuse(const PendingPointer& pending, unsigned status,
              std::string_view reason, core::Duration retry_after);
  void Fail(const PendingPointer& pending, unsigned status,
            std::string_view reason);
  // Calls made by targets carry no key.
  static bool IsCallByTarget(const PendingPointer& pending);
  // Refuses a request that has crashed targets; returns whether it did.
  bool RefuseQuarantined(const PendingPointer& pending);
  void RecordStarvedCall(const PendingPointer& pending);
  void RecordFailedCall(const PendingPointer& pending, unsigned status);
  void Close(const PendingPointer& pending);
  // Calls on the link, all or the idempotent ones.
  std::vector<PendingPointer> CallsOn(std::uint64_t link_id,
                                      bool only_idempotent) const;
  core::retry::WindowBudget& BudgetOf(const std::string& service);

  TimerQueue& timers;
  DecisionLog& log;
  Options options;
  core::routing::TargetSelector targets;
  RequestCosts costs;
  core::overload::DemandModel demand_model;
  // By route and priority of the request.
  std::map<std::pair<std::string, int>, core::overload::AccountTurns>
      account_turns;
  std::map<std::string, core::overload::ReturnPromises>
      return_promises;                                 // by route
  std::map<std::string, core::Duration> answer_times;  // by route
  std::map<std::string, EntryCounts> counts_by_route;
  std::map<std::string, double> logged_fractions;  // by route
  double logged_brake_factor = 1;
  core::Instant starved_call_at;
  core::Instant failed_call_at;
  std::map<std::string, core::retry::WindowBudget> budgets;
  std::map<std::string, core::routing::WeightedRoundRobin> service_rotations;
  std::unordered_map<std::uint64_t, PendingPointer> remote_calls;  // by call id
  std::mt19937_64 generator;
  core::RandomSource random;
  std::uint64_t last_call = 0;
  std::size_t open = 0;
};

}  // namespace lycheewell::sidecar::requests

#endif  // LYCHEEWELL_SIDECAR_REQUESTS_FRONTEND_H_
