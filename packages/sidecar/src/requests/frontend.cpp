#include "lycheewell/sidecar/requests/frontend.h"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <span>

#include "lycheewell/core/names.h"
#include "lycheewell/core/overload/call_patience.h"
#include "lycheewell/sidecar/clock.h"

namespace lycheewell::sidecar::requests {
using core::manifest::Route;
using core::quarantine::QuarantineStatus;
using core::routing::Distance;
using daemon::events::Event;

namespace {

// Time limit of a request that states none.
constexpr core::Duration kDefaultTimeLimit = std::chrono::seconds(30);

// Retry-After while the daemon itself is not ready: discovery and the first
// manifest take a few hundred milliseconds.
constexpr core::Duration kNotReadyRetryAfter = std::chrono::milliseconds(300);

// Bounds of the Retry-After of refused requests.
constexpr core::Duration kMinRetryAfter = std::chrono::milliseconds(100);
constexpr core::Duration kMaxRetryAfter = std::chrono::seconds(2);

// Retry-After of requests refused for lack of capacity, as a fraction of the
// route's latency target: a later retry could not be answered within the
// target.
constexpr double kNotAdmittedRetryFraction = 0.4;
constexpr double kNoSlotRetryFraction = 0.25;

// Replaces the latency target of a route that has none. The admitted fractions
// are recomputed once a second.
constexpr core::Duration kDefaultLatencyTarget =
    std::chrono::milliseconds(1000);

// Refusals after which no other target is tried. Each costs a round trip.
constexpr int kMaxRefusals = 3;

// Fraction of the fleet's retry budget that is used: daemons see different
// parts of the traffic, and calls made by retried requests count too.
constexpr double kRetryBudgetFraction = 0.5;

// The proof of the manifest must be younger than the bound by this margin,
// which covers clock drift and the transit time of the client's request.
constexpr core::Duration kProofMargin = std::chrono::milliseconds(300);

// With less time left until the deadline, an answer cannot reach the client in
// time.
constexpr core::Duration kMinTimeLeft = std::chrono::milliseconds(2);

// A route's admitted fraction is logged when it has changed by this much.
constexpr double kMinLoggedFractionChange = 0.1;

// Client requests have ranks from here on, so that calls made by requests that
// already run go before all of them.
constexpr int kClientRequestRankBase = 1 << 16;

// Weight of the moving average of a route's time to answer: about this many
// recent requests count.
constexpr int kAnswerTimeRequests = 20;

constexpr std::string_view kNoSlotExpected = "no slot expected in time";

std::string_view PathOf(std::string_view path_and_query) {
  return path_and_query.substr(0, path_and_query.find('?'));
}

std::uint32_t MillisecondsLeft(core::Instant end, core::Instant now) {
  const auto left =
      std::chrono::duration_cast<std::chrono::milliseconds>(end - now).count();
  return static_cast<std::uint32_t>(std::max<std::int64_t>(0, left));
}

std::string MillisecondsText(core::Duration duration) {
  return std::to_string(
      std::chrono::duration_cast<std::chrono::milliseconds>(duration).count());
}

std::uint64_t Microseconds(core::Duration duration) {
  return static_cast<std::uint64_t>(
      std::chrono::duration_cast<std::chrono::microseconds>(duration).count());
}

core::Duration FractionOfLatencyTarget(const Route& route, double fraction) {
  const core::Duration target = route.latency_target > core::Duration::zero()
                                    ? route.latency_target
                                    : kDefaultLatencyTarget;
  return std::chrono::duration_cast<core::Duration>(target * fraction);
}

std::string RetryAfterLine(core::Duration wait) {
  const auto milliseconds =
      std::chrono::duration_cast<std::chrono::milliseconds>(wait).count();
  std::string digits = std::to_string(milliseconds % 1000);
  digits.insert(0, 3 - digits.size(), '0');
  return "Retry-After: " + std::to_string(milliseconds / 1000) + "." + digits +
         "\r\n";
}

}  // namespace

// A request between its arrival and its answer.
struct Frontend::Pending {
  http::ExchangePointer exchange;
  ClientRequest request;
  std::shared_ptr<const core::routing::RouteTable> table;
  const Route* route = nullptr;
  const core::manifest::Account* account = nullptr;
  std::string service;
  std::string origin;  // route of the client request; empty if not known
  std::string fingerprint;
  core::Instant arrived_at;
  core::Instant deadline;
  core::Instant soft_deadline;
  int rank = 0;
  // Of a call that waits with patience; see core::overload::CallTimes.
  std::optional<core::Instant> root_arrived_at;
  bool is_root_known = false;
  bool holds_token = false;  // of its account's rate
  int attempts = 0;          // sends that reached or may have reached a target
  int refusals = 0;          // answers that the request was not run
  bool was_over_limit = false;  // of a target
  bool may_have_run = false;    // an attempt ended without an answer
  std::set<std::string> excluded;
  // Its id, path or query is not valid UTF-8. Not all daemons accept that.
  bool has_non_utf8_text = false;
  TimerQueue::Id timer = 0;
  // The current attempt.
  std::string member;
  std::string instance;
  Gate::Ticket ticket = 0;
  std::uint64_t call_id = 0;
  std::uint64_t link_id = 0;  // 0: the target is beside this daemon
  bool is_closed = false;
  // Of the current attempt.
  core::routing::WorkEstimate expected;

  core::routing::WorkFeatures Features() const {
    return {
        .service = this->service,
        .route = this->route->name,
        .payer = this->account == nullptr ? this->origin : this->account->name,
        .method = this->request.method,
        .body_bytes = this->exchange->request().body().size()};
  }
};

Frontend::Frontend(TimerQueue& new_timers, DecisionLog& new_log,
                   const Options& new_options)
    : timers(new_timers),
      log(new_log),
      options(new_options),
      costs({.is_enabled = new_options.settings.routes_by_cost,
             .targets = this->targets,
             .log = this->log,
             .counters = new_options.counters}),
      demand_model(Now()),
      generator(std::random_device{}()),
      random([this] { return this->generator(); }) {}

core::retry::WindowBudget& Frontend::BudgetOf(const std::string& service) {
  const BoundSettings& bounds = this->options.settings.bounds;
  return this->budgets
      .try_emplace(service,
                   core::retry::WindowBudget({
                       .ratio = bounds.repeat_ratio * kRetryBudgetFraction,
                       .base = bounds.repeat_base * kRetryBudgetFraction,
                       .window = bounds.repeat_window,
                   }))
      .first->second;
}

core::Duration Frontend::TimeLimitOf(const ClientRequest& request,
                                     const Route* route) {
  const core::Duration limit = request.time_limit.value_or(kDefaultTimeLimit);
  return route != nullptr && route->timeout > core::Duration::zero()
             ? std::min(limit, route->timeout)
             : limit;
}

core::Duration Frontend::TimeLimitOf(const io::http::Request& head) const {
  const auto table = this->options.manifest.table();
  auto decoded = this->options.dialect.decode_request(head);
  const auto* request = std::get_if<ClientRequest>(&decoded);
  if (request == nullptr) {
    return kDefaultTimeLimit;  // refused for that when it has arrived
  }
  return TimeLimitOf(
      *request,
      table ? table->FindRoute(request->host, PathOf(request->path_and_query))
            : nullptr);
}

void Frontend::Serve(http::ExchangePointer exchange) {
  const auto pending = std::make_shared<Pending>();
  pending->exchange = std::move(exchange);
  pending->arrived_at = pending->exchange->began_at();
  pending->table = this->options.manifest.table();
  ++this->open;
  auto decoded =
      this->options.dialect.decode_request(pending->exchange->request());
  if (const auto* problem = std::get_if<Unusable>(&decoded)) {
    this->Refuse(pending, 400, problem->reason, {});
    return;
  }
  pending->request = std::get<ClientRequest>(std::move(decoded));
  pending->has_non_utf8_text = !core::IsUtf8(pending->request.id) ||
                               !core::IsUtf8(pending->request.path_and_query);
  if (!pending->table) {
    this->Refuse(pending, 503, "no manifest yet", kNotReadyRetryAfter);
    return;
  }
  pending->route = pending->table->FindRoute(
      pending->request.host, PathOf(pending->request.path_and_query));
  if (pending->route == nullptr) {
    this->Refuse(pending, 404, "no route", {});
    return;
  }
  const Route& route = *pending->route;
  pending->deadline =
      pending->arrived_at + TimeLimitOf(pending->request, &route);
  pending->soft_deadline =
      route.latency_target > core::Duration::zero()
          ? std::min(pending->deadline,
                     pending->arrived_at + route.latency_target)
          : pending->deadline;
  this->Admit(pending);
}

std::optional<CallOrigin> Frontend::OriginOf(const PendingPointer& pending) {
  if (!pending->request.time_limit) {
    return std::nullopt;
  }
  return this->options.gate.Attribute(
      pending->route->name, pending->arrived_at + *pending->request.time_limit,
      this->random);
}

void Frontend::UpdateDemand(core::Instant now) {
  if (this->demand_model.IsUpdateDue(now)) {
    this->demand_model.SetSlots(this->targets.SlotsByService());
    this->demand_model.Update(now);
    this->LogAdmittedFractions();
  }
  if (!this->options.settings.admission.fast_entry ||
      !this->demand_model.IsFollowDue(now)) {
    return;
  }
  this->demand_model.FollowQueues(this->targets.WaitByService(), now);
  const double factor = this->demand_model.lowest_brake_factor();
  if (std::abs(factor - this->logged_brake_factor) >=
          kMinLoggedFractionChange ||
      (factor == 1 && this->logged_brake_factor < 1)) {
    this->logged_brake_factor = factor;
    this->log.Write(Event::kEntryBraked, {{"factor", std::to_string(factor)}});
  }
}

bool Frontend::AdmitByDemand(const PendingPointer& pending) {
  const Route& route = *pending->route;
  const core::Instant now = Now();
  this->UpdateDemand(now);
  EntryCounts& counts = this->counts_by_route[route.name];
  ++counts.offered;
  const bool goes_first = this->options.settings.admission.returns &&
                          this->TakeReturn(pending, now);
  const bool is_granted =
      this->demand_model.Admit(route.name, route.priority, goes_first);
  if (!(this->options.settings.admission.account_turns
            ? this->AdmitByAccount(pending, is_granted, goes_first)
            : is_granted)) {
    return false;
  }
  ++counts.entered;
  if (const auto promises = this->return_promises.find(route.name);
      promises != this->return_promises.end()) {
    promises->second.RecordAdmitted();
  }
  return true;
}

void Frontend::SetFingerprint(const PendingPointer& pending) {
  if (pending->fingerprint.empty()) {
    pending->fingerprint = core::quarantine::FingerprintOf(
        pending->account == nullptr ? "" : pending->account->name,
        pending->request.method, pending->request.host,
        pending->request.path_and_query, pending->exchange->request().body());
  }
}

bool Frontend::TakeReturn(const PendingPointer& pending, core::Instant now) {
  const auto promises = this->return_promises.find(pending->route->name);
  if (promises == this->return_promises.end()) {
    return false;
  }
  this->SetFingerprint(pending);
  if (!promises->second.TakeIfKept(pending->fingerprint, now)) {
    return false;
  }
  this->options.counters.Count("returns", "as told");
  if (this->log.WouldWrite(Event::kReturnKept)) {
    this->log.Write(Event::kReturnKept, {{"request", pending->request.id},
                                         {"route", pending->route->name}});
  }
  return true;
}

core::Duration Frontend::ReturnAfter(const PendingPointer& pending,
                                     double fraction) {
  const Route& route = *pending->route;
  if (!this->options.settings.admission.returns ||
      pending->account == nullptr) {
    return FractionOfLatencyTarget(route, fraction);
  }
  const core::Instant now = Now();
  const core::Duration wait = std::clamp<core::Duration>(
      core::overload::ReturnTime(
          {.target_left = pending->soft_deadline - now,
           .time_left = pending->deadline - now,
           .answer_time = this->answer_times[route.name]},
          this->random),
      kMinRetryAfter, kMaxRetryAfter);
  this->SetFingerprint(pending);
  this->return_promises[route.name].Add(pending->fingerprint, now + wait);
  return wait;
}

bool Frontend::AdmitByAccount(const PendingPointer& pending, bool is_granted,
                              bool goes_first) {
  using core::overload::AccountVerdict;
  const Route& route = *pending->route;
  const core::manifest::Account& account = *pending->account;
  core::overload::AccountTurns& turns = this->account_turns[{
      route.name, account.priority.value_or(route.priority)}];
  const AccountVerdict verdict = turns.Offer(
      {.account = account.name,
       .weight = account.rate_per_second,
       .admitted_fraction = this->demand_model.admitted_fraction(route.name),
       .is_granted = is_granted,
       .goes_first = goes_first},
      Now(), this->random);
  if (verdict == AccountVerdict::kAdmit) {
    return true;
  }
  const bool is_over_part = verdict == AccountVerdict::kOverPart;
  this->options.counters.Count(
      "entry_refused", is_over_part ? "over its part" : "within its part");
  if (is_over_part && this->log.WouldWrite(Event::kAccountCut)) {
    this->log.Write(Event::kAccountCut,
                    {{"account", account.name},
                     {"route", route.name},
                     {"part", std::to_string(turns.PartOf(account.name))}});
  }
  return false;
}

void Frontend::LogAdmittedFractions() {
  for (const auto& decision : this->demand_model.Decisions()) {
    double& logged =
        this->logged_fractions.try_emplace(decision.route, 1.0).first->second;
    if (std::abs(decision.admitted_fraction - logged) <
            kMinLoggedFractionChange &&
        (decision.admitted_fraction < 1 || logged == 1)) {
      continue;
    }
    logged = decision.admitted_fraction;
    this->log.Write(
        Event::kEntryPartChanged,
        {{"route", decision.route},
         {"part", std::to_string(decision.admitted_fraction)},
         {"offered_per_s", std::to_string(decision.offered_rate)},
         {"entered_per_s", std::to_string(decision.entered_rate)},
         {"scarce_service", decision.bottleneck_service},
         {"scarce_use", std::to_string(decision.bottleneck_utilization)},
         {"slots_per_request_per_s",
          std::to_string(decision.bottleneck_demand)}});
  }
}

void Frontend::Admit(const PendingPointer& pending) {
  const Route& route = *pending->route;
  // The account's priority takes precedence over the route's.
  constexpr int kAccountPriorityFactor = 64;
  int rank = route.priority + route.priority * kAccountPriorityFactor;
  if (!route.allows_anonymous && pending->table->has_accounts()) {
    if (pending->request.key) {
      pending->account =
          pending->table->FindAccountByKey(*pending->request.key);
    }
    if (pending->account == nullptr) {
      this->Refuse(pending, 401,
                   pending->request.key ? "unknown key" : "no key", {});
      return;
    }
    const auto age = this->options.manifest.proof_age();
    if (!age ||
        *age > this->options.settings.bounds.key_withdrawal - kProofMargin) {
      this->log.Write(Event::kProofExpired,
                      {{"request", pending->request.id},
                       {"age_ms", age ? MillisecondsText(*age) : "never"}});
      this->Refuse(pending, 503, "manifest not proven newest",
                   kNotReadyRetryAfter);
      return;
    }
    rank = kClientRequestRankBase + route.priority +
           pending->account->priority.value_or(route.priority) *
               kAccountPriorityFactor;
    pending->origin = route.name;
    if (!this->AdmitByDemand(pending)) {
      this->Refuse(pending, 503, "its calls would find no room",
                   this->ReturnAfter(pending, kNotAdmittedRetryFraction));
      return;
    }
  } else if (const auto origin = this->OriginOf(pending)) {
    pending->origin = origin->route;
    rank = origin->rank >= kClientRequestRankBase
               ? origin->rank - kClientRequestRankBase
               : origin->rank;
    if (this->options.settings.admission.patient_calls) {
      pending->is_root_known = origin->root_arrived_at.has_value();
      pending->root_arrived_at =
          origin->root_arrived_at.value_or(pending->arrived_at);
    }
  }
  pending->rank = rank;
  this->SetFingerprint(pending);
  if (this->RefuseQuarantined(pending)) {
    return;
  }
  pending->exchange->OnDisconnect([this, pending] {
    this->log.Write(
        Event::kCallAbandoned,
        {{"request", pending->request.id},
         {"service", pending->service},
         {"after_ms", MillisecondsText(Now() - pending->arrived_at)}});
    this->options.counters.Count("requests", "client left");
    this->CancelCall(pending);
    this->Close(pending);
  });
  pending->timer = this->timers.At(
      pending->deadline, [this, pending] { this->OnTimeout(pending); });
  if (pending->account == nullptr) {
    this->Dispatch(pending);
    return;
  }
  this->options.accounts.Acquire(
      *pending->account,
      [this, pending](bool allowed, core::Duration retry_after) {
        if (pending->is_closed) {
          return;
        }
        if (!allowed) {
          this->Refuse(pending, 429, "account rate", retry_after);
          return;
        }
        pending->holds_token = true;
        this->Dispatch(pending);
      });
}

bool Frontend::RefuseQuarantined(const PendingPointer& pending) {
  if (this->options.quarantine.StatusOf(pending->fingerprint) !=
      QuarantineStatus::kQuarantined) {
    return false;
  }
  this->log.Write(Event::kRequestQuarantined,
                  {{"request", pending->request.id},
                   {"route", pending->route->name},
                   {"fingerprint", pending->fingerprint}});
  this->Refuse(pending, 503, kQuarantined, kMaxRetryAfter);
  return true;
}

void Frontend::Dispatch(const PendingPointer& pending) {
  const core::Instant now = Now();
  if (pending->service.empty()) {
    const Route& route = *pending->route;
    if (route.destinations.empty()) {
      this->Refuse(pending, 503, "route without a service",
                   kNotReadyRetryAfter);
      return;
    }
    const std::size_t index = this->service_rotations[route.name].Next(
        route.destinations, this->random);
    pending->service = route.destinations[index].service;
    this->BudgetOf(pending->service).RecordRequest(now);
  }
  if (pending->deadline - now < kMinTimeLeft) {
    this->OnTimeout(pending);
    return;
  }
  const auto choice = this->ChooseTarget(pending, now);
  if (!choice) {
    const bool is_at_limit = this->targets.HasLimitedTarget(pending->service);
    const bool has_homes =
        !pending->route->homes.empty() ||
        (pending->account != nullptr && !pending->account->homes.empty());
    this->Refuse(pending, 503,
                 is_at_limit ? kOverLimit
                 : has_homes ? "no target in its regions"
                             : "no target",
                 is_at_limit ? FractionOfLatencyTarget(*pending->route,
                                                       kNoSlotRetryFraction)
                             : kNotReadyRetryAfter);
    return;
  }
  // Only the gate knows the turn of a call that waits with patience.
  if (!pending->root_arrived_at &&
      now + choice->expected_wait > pending->soft_deadline) {
    this->Refuse(pending, 503, kNoSlotExpected,
                 std::max(choice->expected_wait,
                          this->ReturnAfter(pending, kNoSlotRetryFraction)));
    return;
  }
  this->SendTo(pending, *choice);
}

std::optional<core::routing::Choice> Frontend::ChooseTarget(
    const PendingPointer& pending, core::Instant now) {
  pending->expected = this->costs.Expect(pending->Features());
  if (pending->has_non_utf8_text) {
    for (const std::string& member : this->options.mesh.reachable_members()) {
      if (!this->options.mesh.accepts_non_utf8(member)) {
        pending->excluded.insert(member);
      }
    }
  }
  return this->targets.Choose(
      pending->service, pending->excluded, now, this->random,
      {.rank = pending->rank,
       .body_bytes = pending->exchange->request().body().size(),
       .prefers_unlimited = pending->was_over_limit,
       .route_homes = pending->route->homes,
       .account_homes = pending->account == nullptr
                            ? std::span<const std::string>()
                            : pending->account->homes,
       .demand = this->costs.DemandOf(pending->expected,
                                      pending->route->latency_target)});
}

void Frontend::SendTo(const PendingPointer& pending,
                      const core::routing::Choice& choice) {
  const core::Instant now = Now();
  const io::http::Request& message = pending->exchange->request();
  const bool is_suspect = this->options.quarantine.StatusOf(
                              pending->fingerprint) != QuarantineStatus::kClear;
  pending->member = choice.member;
  pending->instance = choice.instance;
  pending->link_id = 0;
  this->targets.RecordSent(choice.member, pending->expected.mean);
  this->costs.LogChoice(pending->request.id, pending->route->name,
                        pending->expected, choice);
  std::string lines =
      pending->request.header_lines +
      this->options.dialect.encode_origin(
          pending->account == nullptr ? "" : pending->account->name,
          this->options.settings.target_service);
  if (choice.member == this->options.mesh.self_name()) {
    pending->ticket = 0;
    const std::uint64_t call_id = ++this->last_call;
    pending->call_id = call_id;
    const Gate::Ticket ticket = this->options.gate.Submit(
        {.instance = choice.instance,
         .request_id = pending->request.id,
         .route = pending->route->name,
         .origin = pending->origin,
         .method = pending->request.method,
         .path_and_query = pending->request.path_and_query,
         .header_lines = std::move(lines),
         .body = message.body(),
         .deadline = pending->deadline,
         .soft_deadline = pending->soft_deadline,
         .rank = pending->rank,
         .root_arrived_at = pending->root_arrived_at,
         .is_root_known = pending->is_root_known,
         .is_idempotent = pending->route->is_idempotent,
         .was_refused = pending->refusals > 0,
         .fingerprint = pending->fingerprint,
         .is_suspect = is_suspect,
         .expected = pending->expected},
        [this, pending, call_id](GateReply reply) {
          this->ReportLoad(this->options.mesh.self_name(),
                           this->options.gate.DescribeLoad());
          if (!pending->is_closed && pending->call_id == call_id) {
            pending->ticket = 0;
            this->OnOutcome(pending, std::move(reply));
          }
        });
    if (pending->call_id == call_id && !pending->is_closed) {
      pending->ticket = ticket;
    }
    return;
  }
  mesh::Frame frame;
  mesh::Call& call = *frame.mutable_call();
  pending->call_id = ++this->last_call;
  call.set_call_id(pending->call_id);
  call.set_instance(choice.instance);
  call.set_request_id(pending->request.id);
  call.set_method(pending->request.method);
  call.set_path_and_query(pending->request.path_and_query);
  call.set_header_lines(std::move(lines));
  call.set_body(message.body());
  call.set_time_left_ms(MillisecondsLeft(pending->deadline, now));
  call.set_queue_limit_ms(MillisecondsLeft(pending->soft_deadline, now));
  call.set_rank(static_cast<std::uint32_t>(std::max(0, pending->rank)));
  if (pending->root_arrived_at) {
    call.set_root_age_ms(MillisecondsLeft(now, *pending->root_arrived_at));
    call.set_is_root_known(pending->is_root_known);
  }
  call.set_route(pending->route->name);
  call.set_origin(pending->origin);
  call.set_was_refused(pending->refusals > 0);
  call.set_is_idempotent(pending->route->is_idempotent);
  call.set_fingerprint(pending->fingerprint);
  call.set_is_suspect(is_suspect);
  call.set_expected_work_us(Microseconds(pending->expected.mean));
  call.set_work_spread_us(Microseconds(pending->expected.spread));
  call.set_sent_at_us(this->options.mesh.PeerTime(choice.member, now));
  this->remote_calls.emplace(pending->call_id, pending);
  pending->link_id = this->options.mesh.Send(choice.member, frame);
  if (pending->link_id == 0) {
    this->remote_calls.erase(pending->call_id);
    this->OnOutcome(pending, {.outcome = Outcome::kNotRun,
                              .reason = "no link to the target's daemon"});
  }
}

namespace {

// The lower one of the limit that a target names and of its rate while cold.
std::optional<double> LimitOf(const mesh::Load& load) {
  if (!load.has_limit_per_second() || !load.has_cold_per_second()) {
    return load.has_limit_per_second()  ? std::optional(load.limit_per_second())
           : load.has_cold_per_second() ? std::optional(load.cold_per_second())
                                        : std::nullopt;
  }
  return std::min(load.limit_per_second(), load.cold_per_second());
}

}  // namespace

void Frontend::ReportLoad(const std::string& member, const mesh::Load& load) {
  constexpr double kPermille = 1000.0;
  this->targets.RecordLoad(
      member,
      {.running = static_cast<int>(load.running()),
       .waiting = static_cast<int>(load.waiting()),
       .mean_work = std::chrono::microseconds(load.mean_work_us()),
       .failed_fraction = load.failing_permille() / kPermille,
       .limit_per_second = LimitOf(load),
       .share_per_second = load.has_cold_share_per_second()
                               ? std::optional(load.cold_share_per_second())
                               : std::nullopt,
       .remaining_work = std::chrono::microseconds(load.remaining_work_us()),
       .first_wait = std::chrono::microseconds(load.first_wait_us()),
       .last_wait = std::chrono::microseconds(load.last_wait_us()),
       .slowness = load.slowness_permille() / kPermille},
      Now());
}

void Frontend::OnReply(const std::string& member, mesh::Reply& reply) {
  this->ReportLoad(member, reply.load());
  const auto found = this->remote_calls.find(reply.call_id());
  if (found == this->remote_calls.end()) {
    return;  // the call has been cancelled
  }
  const PendingPointer pending = found->second;
  this->remote_calls.erase(found);
  Outcome outcome = Outcome::kMayHaveRun;
  if (reply.outcome() == mesh::ANSWERED) {
    outcome = Outcome::kAnswered;
  } else if (reply.outcome() == mesh::NOT_RUN) {
    outcome = Outcome::kNotRun;
  }
  this->OnOutcome(
      pending,
      {.outcome = outcome,
       .status = reply.status(),
       .header_lines = std::move(*reply.mutable_header_lines()),
       .body = std::move(*reply.mutable_body()),
       .reason = reply.reason(),
       .retry_after = std::chrono::milliseconds(reply.retry_after_ms()),
       .is_starved = reply.is_starved(),
       .work = std::chrono::microseconds(reply.work_us())});
}

void Frontend::OnUnreadableReply(std::uint64_t link_id, std::uint64_t call_id,
                                 const std::string& reason) {
  const auto found = this->remote_calls.find(call_id);
  if (found == this->remote_calls.end() || found->second->link_id != link_id) {
    return;  // the call has been cancelled
  }
  const PendingPointer pending = found->second;
  this->remote_calls.erase(found);
  this->OnOutcome(pending, {.outcome = Outcome::kMayHaveRun, .reason = reason});
}

std::vector<Frontend::PendingPointer> Frontend::CallsOn(
    std::uint64_t link_id, bool only_idempotent) const {
  std::vector<PendingPointer> calls;
  for (const auto& [id, pending] : this->remote_calls) {
    if (pending->link_id == link_id &&
        (!only_idempotent || pending->route->is_idempotent)) {
      calls.push_back(pending);
    }
  }
  return calls;
}

void Frontend::OnLinkLost(std::uint64_t link_id) {
  constexpr bool kOnlyIdempotent = false;
  for (const PendingPointer& pending :
       this->CallsOn(link_id, kOnlyIdempotent)) {
    // The other end of the link may not have noticed.
    this->options.mesh.Withdraw(pending->member, link_id, pending->call_id);
    this->remote_calls.erase(pending->call_id);
    this->OnOutcome(pending, {.outcome = Outcome::kMayHaveRun,
                              .reason = "link to the target's daemon lost"});
  }
}

void Frontend::OnLinkSilent(std::uint64_t link_id) {
  constexpr bool kOnlyIdempotent = true;
  for (const PendingPointer& pending :
       this->CallsOn(link_id, kOnlyIdempotent)) {
    this->options.mesh.Withdraw(pending->member, link_id, pending->call_id);
    this->remote_calls.erase(pending->call_id);
    this->OnOutcome(pending, {.outcome = Outcome::kMayHaveRun,
                              .reason = "the target's daemon is silent"});
  }
}

bool Frontend::has_unrepeatable_calls(std::uint64_t link_id) const {
  return std::any_of(this->remote_calls.begin(), this->remote_calls.end(),
                     [&](const auto& call) {
                       return call.second->link_id == link_id &&
                              !call.second->route->is_idempotent;
                     });
}

void Frontend::OnHeldBack(std::uint64_t call_id, core::Duration held_for) {
  const auto found = this->remote_calls.find(call_id);
  if (found == this->remote_calls.end()) {
    return;
  }
  const PendingPointer pending = found->second;
  this->remote_calls.erase(found);
  this->log.Write(Event::kCallHeldBack,
                  {{"request", pending->request.id},
                   {"route", pending->route->name},
                   {"member", pending->member},
                   {"held_ms", MillisecondsText(held_for)}});
  this->options.counters.Count("calls_held_back", pending->member);
  this->options.counters.Observe("held_back", held_for);
  this->OnOutcome(pending, {.outcome = Outcome::kNotRun,
                            .reason = "the link to the target is too slow"});
}

void Frontend::OnOutcome(const PendingPointer& pending, GateReply reply) {
  const core::Instant now = Now();
  this->targets.RecordDone(pending->member);
  pending->call_id = 0;
  if (reply.outcome == Outcome::kAnswered) {
    this->targets.RecordAdmitted(pending->member, pending->rank, now);
    this->costs.RecordRun(pending->Features(), pending->expected,
                          pending->member, reply.work);
    if (reply.is_starved) {
      this->RecordStarvedCall(pending);
    }
    if (this->log.WouldWrite(Event::kCallAnswered)) {
      this->log.Write(
          Event::kCallAnswered,
          {{"request", pending->request.id},
           {"route", pending->route->name},
           {"member", pending->member},
           {"instance", pending->instance},
           {"status", std::to_string(reply.status)},
           {"manifest", std::to_string(pending->table->version())},
           {"after_ms", MillisecondsText(now - pending->arrived_at)}});
    }
    this->options.counters.Count("requests", "answered");
    this->options.counters.Observe("request", now - pending->arrived_at);
    if (pending->account != nullptr) {
      core::Duration& mean = this->answer_times[pending->route->name];
      const core::Duration taken = now - pending->arrived_at;
      mean = mean == core::Duration::zero()
                 ? taken
                 : mean + (taken - mean) / kAnswerTimeRequests;
    }
    this->RecordFailedCall(pending, reply.status);
    const auto exchange = pending->exchange;
    this->Close(pending);
    exchange->Send({.status = reply.status,
                    .header_lines = std::move(reply.header_lines),
                    .body = std::move(reply.body)});
    return;
  }
  if (reply.outcome == Outcome::kNotRun) {
    this->OnNotRun(pending, reply);
    return;
  }
  this->targets.RecordAdmitted(pending->member, pending->rank, now);
  ++pending->attempts;
  pending->may_have_run = true;
  pending->excluded.insert(pending->member);
  const bool may_retry =
      pending->route->is_idempotent &&
      this->options.quarantine.StatusOf(pending->fingerprint) !=
          QuarantineStatus::kQuarantined &&
      pending->attempts < pending->route->max_attempts &&
      pending->deadline - now > kMinTimeLeft;
  if (!may_retry || !this->BudgetOf(pending->service)
                         .Spend(this->options.mesh.daemon_count(), now)) {
    this->Fail(pending, now >= pending->deadline ? 504 : 502, reply.reason);
    return;
  }
  this->log.Write(Event::kCallRepeated, {{"request", pending->request.id},
                                         {"after", pending->member},
                                         {"reason", reply.reason}});
  this->options.counters.Count("repeats", "may have run");
  this->Dispatch(pending);
}

bool Frontend::MayTry(const PendingPointer& pending,
                      const core::routing::Choice& choice,
                      const GateReply& refusal, core::Instant now) {
  if (pending->root_arrived_at && refusal.reason == kNoSlot) {
    return core::overload::IsWorthAnotherTry(
        {.answer_by = pending->deadline,
         .refused_wait = refusal.retry_after,
         .other_wait = choice.expected_wait},
        now);
  }
  return now + choice.expected_wait <= pending->soft_deadline;
}

void Frontend::OnNotRun(const PendingPointer& pending, const GateReply& reply) {
  const core::Instant now = Now();
  ++pending->refusals;
  pending->excluded.insert(pending->member);
  if (reply.reason == kOverLimit) {
    pending->was_over_limit = true;
    this->targets.RecordOverLimit(pending->member, pending->rank,
                                  reply.retry_after, now);
  } else {
    this->targets.RecordRefusal(pending->member, reply.retry_after, now);
  }
  // A refusal by the target itself counts as an attempt.
  const bool reached_target = reply.reason == "target refused";
  if (reached_target) {
    ++pending->attempts;
  }
  const bool may_try_other_target =
      reply.reason != kQuarantined && pending->refusals < kMaxRefusals &&
      pending->deadline - now > kMinTimeLeft &&
      (!reached_target || (pending->attempts < pending->route->max_attempts &&
                           this->BudgetOf(pending->service)
                               .Spend(this->options.mesh.daemon_count(), now)));
  const auto choice =
      may_try_other_target ? this->ChooseTarget(pending, now) : std::nullopt;
  if (!choice || !this->MayTry(pending, *choice, reply, now)) {
    // The backoff of a limited target is meant for daemons, not for clients.
    this->Refuse(pending, 503, reply.reason,
                 std::max(reply.reason == kOverLimit ? core::Duration::zero()
                                                     : reply.retry_after,
                          this->ReturnAfter(pending, kNoSlotRetryFraction)));
    return;
  }
  this->log.Write(Event::kCallRepeated, {{"request", pending->request.id},
                                         {"after", pending->member},
                                         {"reason", reply.reason}});
  this->options.counters.Count("repeats", "not run");
  this->SendTo(pending, *choice);
}

void Frontend::OnTimeout(const PendingPointer& pending) {
  if (pending->is_closed) {
    return;
  }
  this->timers.Cancel(pending->timer);
  const bool was_sent = this->CancelCall(pending) || pending->attempts > 0;
  if (was_sent) {
    this->Fail(pending, 504, "time limit passed");
  } else {
    this->Refuse(pending, 503, "time limit passed", kMinRetryAfter);
  }
}

bool Frontend::CancelCall(const PendingPointer& pending) {
  if (pending->call_id == 0) {
    return false;
  }
  bool may_have_run = true;
  this->targets.RecordDone(pending->member);
  if (pending->member == this->options.mesh.self_name()) {
    if (pending->ticket != 0) {
      may_have_run = !this->options.gate.Cancel(pending->ticket);
    }
  } else {
    this->remote_calls.erase(pending->call_id);
    may_have_run = !this->options.mesh.Withdraw(
        pending->member, pending->link_id, pending->call_id);
  }
  pending->call_id = 0;
  pending->ticket = 0;
  return may_have_run;
}

bool Frontend::IsCallByTarget(const PendingPointer& pending) {
  return pending->account == nullptr && pending->table &&
         pending->table->has_accounts();
}

void Frontend::RecordStarvedCall(const PendingPointer& pending) {
  if (IsCallByTarget(pending)) {
    this->starved_call_at = Now();
  }
}

void Frontend::RecordFailedCall(const PendingPointer& pending,
                                unsigned status) {
  constexpr unsigned kFirstFailure = 429;
  if (status >= kFirstFailure && IsCallByTarget(pending)) {
    this->failed_call_at = Now();
  }
}

void Frontend::Refuse(const PendingPointer& pending, unsigned status,
                      std::string_view reason, core::Duration retry_after) {
  const core::Instant now = Now();
  constexpr unsigned kTooMany = 429;
  constexpr unsigned kUnavailable = 503;
  if (pending->may_have_run) {
    // A refusal would say that the request has not run.
    this->Fail(pending, 502, reason);
    return;
  }
  if (this->log.WouldWrite(Event::kCallRefused)) {
    const auto age = this->options.manifest.proof_age();
    this->log.Write(
        Event::kCallRefused,
        {{"request", pending->request.id},
         {"status", std::to_string(status)},
         {"reason", reason},
         {"route", pending->route == nullptr ? "" : pending->route->name},
         {"account", pending->account == nullptr ? "" : pending->account->name},
         {"service", pending->service},
         {"rank", std::to_string(pending->rank)},
         {"targets", std::to_string(this->targets.CountAcceptingTargets(
                         pending->service))},
         {"refusals", std::to_string(pending->refusals)},
         {"manifest", std::to_string(this->options.manifest.version())},
         {"proof_age_ms", age ? MillisecondsText(*age) : "never"},
         {"retry_after_ms", MillisecondsText(retry_after)},
         {"after_ms", MillisecondsText(now - pending->arrived_at)}});
  }
  this->options.counters.Count("requests_refused", reason);
  if (reason == kNoSlot || reason == kNoSlotExpected || reason == kOverLimit) {
    this->RecordStarvedCall(pending);
  }
  if (pending->holds_token) {
    this->options.accounts.Return(*pending->account);
  }
  std::string lines;
  if (status == kTooMany || status == kUnavailable) {
    lines =
        RetryAfterLine(std::clamp(retry_after, kMinRetryAfter, kMaxRetryAfter));
  }
  this->RecordFailedCall(pending, status);
  const auto exchange = pending->exchange;
  this->Close(pending);
  exchange->Send({.status = status, .header_lines = std::move(lines)});
}

void Frontend::Fail(const PendingPointer& pending, unsigned status,
                    std::string_view reason) {
  const core::Instant now = Now();
  this->log.Write(Event::kCallFailed,
                  {{"request", pending->request.id},
                   {"status", std::to_string(status)},
                   {"reason", reason},
                   {"route", pending->route->name},
                   {"service", pending->service},
                   {"member", pending->member},
                   {"instance", pending->instance},
                   {"sends", std::to_string(pending->attempts)},
                   {"idempotent", pending->route->is_idempotent ? "yes" : "no"},
                   {"after_ms", MillisecondsText(now - pending->arrived_at)}});
  this->options.counters.Count("requests_failed",
                               status == 504 ? "time limit" : "may have run");
  this->RecordFailedCall(pending, status);
  const auto exchange = pending->exchange;
  this->Close(pending);
  exchange->Send({.status = status});
}

void Frontend::Close(const PendingPointer& pending) {
  if (pending->is_closed) {
    return;
  }
  pending->is_closed = true;
  --this->open;
  this->timers.Cancel(pending->timer);
  // Breaks the cycle between the exchange and its handler.
  pending->exchange->OnDisconnect(nullptr);
}

}  // namespace lycheewell::sidecar::requests
