// Serves requests that begin on this VM: clients' and the target's own calls.
#ifndef LYCHEEWELL_SIDECAR_REQUESTS_FRONT_H_
#define LYCHEEWELL_SIDECAR_REQUESTS_FRONT_H_

#include <mesh.pb.h>

#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <unordered_map>

#include "lycheewell/core/overload/demand_model.h"
#include "lycheewell/core/retry/window_budget.h"
#include "lycheewell/core/routing/route_table.h"
#include "lycheewell/core/routing/target_selector.h"
#include "lycheewell/sidecar/counters.h"
#include "lycheewell/sidecar/decision_log.h"
#include "lycheewell/sidecar/hooks.h"
#include "lycheewell/sidecar/http/server.h"
#include "lycheewell/sidecar/links/mesh.h"
#include "lycheewell/sidecar/manifest/manifest_keeper.h"
#include "lycheewell/sidecar/requests/accounts.h"
#include "lycheewell/sidecar/requests/gate.h"
#include "lycheewell/sidecar/settings.h"

namespace lycheewell::sidecar::requests {

class Front {
 public:
  struct Options {
    const Settings& settings;
    const DialectHooks& dialect;
    manifest::ManifestKeeper& manifest;
    links::Mesh& mesh;
    Accounts& accounts;
    Gate& gate;
    Counters& counters;
  };

  Front(TimerQueue& timers, DecisionLog& log, const Options& options);

  // Commands.

  void Serve(http::ExchangePointer exchange);

  // What the daemon beside a target said about its load.
  void ReportLoad(const std::string& member, const mesh::Load& load);

  // A reply to a call that went to a peer.
  void OnReply(const std::string& member, mesh::Reply& reply);

  // Calls that `member` has not answered have no answer.
  void OnLost(const std::string& member);

  core::routing::TargetSelector& selector() { return this->targets; }
  core::overload::DemandModel& demand() { return this->demand_model; }

  // Queries.

  // Requests of clients that came here and that entered, by route.
  struct Entries {
    std::uint64_t offered = 0;
    std::uint64_t entered = 0;
  };
  const std::map<std::string, Entries>& entries() const {
    return this->entry_counts;
  }

  std::size_t open_requests() const { return this->open; }
  // When a call of the target beside this daemon last found no slot.
  core::Instant last_starved_call() const { return this->starved_at; }
  // When a call of that target last failed for any reason.
  core::Instant last_failed_call() const { return this->call_failed_at; }

 private:
  struct Pending;
  using PendingPointer = std::shared_ptr<Pending>;

  void Admit(const PendingPointer& pending);
  // Logs the parts of routes that have changed.
  void LogParts();
  // The client's request behind a call of the target beside this daemon.
  std::optional<CallOrigin> OriginOf(const PendingPointer& pending);
  // Whether the services downstream have room for a client's request.
  bool MayEnter(const PendingPointer& pending);
  void Dispatch(const PendingPointer& pending);
  void SendTo(const PendingPointer& pending,
              const core::routing::Choice& choice);
  void OnOutcome(const PendingPointer& pending, GateReply reply);
  void OnNotRun(const PendingPointer& pending, const GateReply& reply);
  void OnTimeout(const PendingPointer& pending);
  void Withdraw(const PendingPointer& pending);
  void Refuse(const PendingPointer& pending, unsigned status,
              std::string_view reason, core::Duration retry_after);
  void Fail(const PendingPointer& pending, unsigned status,
            std::string_view reason);
  // Targets' own calls carry no key.
  static bool IsTargetsCall(const PendingPointer& pending);
  void NoteStarved(const PendingPointer& pending);
  void NoteFailed(const PendingPointer& pending, unsigned status);
  void Close(const PendingPointer& pending);
  core::retry::WindowBudget& BudgetOf(const std::string& service);

  TimerQueue& timers;
  DecisionLog& log;
  Options options;
  core::routing::TargetSelector targets;
  core::overload::DemandModel demand_model;
  std::map<std::string, Entries> entry_counts;
  std::map<std::string, double> logged_parts;  // by route
  core::Instant starved_at;
  core::Instant call_failed_at;
  std::map<std::string, core::retry::WindowBudget> budgets;
  std::map<std::string, core::routing::WeightedRoundRobin> turns;
  std::unordered_map<std::uint64_t, PendingPointer> remote;  // by call id
  std::mt19937_64 generator;
  core::RandomSource random;
  std::uint64_t last_call = 0;
  std::size_t open = 0;
};

}  // namespace lycheewell::sidecar::requests

#endif  // LYCHEEWELL_SIDECAR_REQUESTS_FRONT_H_
