#include "lycheewell/sidecar/requests/gate.h"

#include <algorithm>
#include <boost/asio/post.hpp>
#include <utility>

#include "lycheewell/core/membership/start_name.h"
#include "lycheewell/core/overload/call_patience.h"
#include "lycheewell/io/http/address.h"
#include "lycheewell/sidecar/clock.h"
#include "lycheewell/sidecar/http/connect_probe.h"

namespace lycheewell::sidecar::requests {
using core::membership::StartName;
using daemon::events::Event;

namespace {

// A target answers by the deadline on its own. If it has not done so this long
// after the deadline, the connection is closed.
constexpr core::Duration kAnswerMargin = std::chrono::milliseconds(200);

// Idle connections are reused for up to these times, unless the target states a
// shorter one. A request that cannot be retried avoids connections that the
// target may be about to close.
constexpr core::Duration kMaxIdleTime = std::chrono::seconds(4);
constexpr core::Duration kMaxIdleTimeNonIdempotent = std::chrono::seconds(2);
constexpr core::Duration kPeerIdleTimeoutMargin = std::chrono::seconds(1);

// A request is refused if its expected start leaves less than this multiple of
// the mean work until its soft deadline.
constexpr double kWorkMarginFactor = 1.2;

// A target is considered gone after this many announcement periods and the
// margin without an announcement.
constexpr int kMaxMissedAnnouncements = 3;
constexpr core::Duration kAnnouncementMargin = std::chrono::seconds(1);

// A target that has announced nothing for this many periods may have been
// replaced by one whose clock makes it look older.
constexpr double kOverduePeriods = 1.5;

// A full target frees slots within this time.
constexpr core::Duration kMinRetryAfter = std::chrono::milliseconds(50);

// Retry-After of refusals that say nothing about the load: other targets can
// take the request at once.
constexpr core::Duration kNoRetryDelay = std::chrono::milliseconds(0);

// After a broken connection the target's other connections are given this long
// to break, too, before a new one shows whether the target is there.
constexpr core::Duration kCrashCheckDelay = std::chrono::milliseconds(20);
constexpr core::Duration kCrashCheckTimeout = std::chrono::milliseconds(200);

// Weight of the moving average of a route's work: about this many recent runs
// count.
constexpr int kMeanWorkRuns = 20;

// A running request that its caller cancels counts as a failure of the target
// if it has taken this many times its route's mean work.
constexpr int kOverdueFactor = 4;

// Memory for request bodies and for answer bodies. Bodies up to
// http::BodyAllowance::kFreeBytes do not count.
constexpr std::size_t kRequestBodyBytes = 16ULL * 1024 * 1024;
constexpr std::size_t kAnswerBodyBytes = 24ULL * 1024 * 1024;

std::string_view StateName(TargetState state) {
  switch (state) {
    case TargetState::kTakesWork:
      return "takes-work";
    case TargetState::kLeaving:
      return "leaving";
    case TargetState::kGone:
      return "gone";
  }
  return "gone";
}

std::uint64_t Microseconds(core::Duration duration) {
  return static_cast<std::uint64_t>(std::max<std::int64_t>(
      0,
      std::chrono::duration_cast<std::chrono::microseconds>(duration).count()));
}

std::string MillisecondsText(core::Duration duration) {
  return std::to_string(
      std::chrono::duration_cast<std::chrono::milliseconds>(duration).count());
}

// Identifies one start of a target: an instance name may be used again.
core::DaemonRef StartOf(const Announcement& target) {
  return {.id = target.instance, .incarnation = target.born_ms};
}

// Requests of clients take turns by arrival.
core::Instant TurnOf(const GateCall& call) {
  return call.root_arrived_at.value_or(core::Instant());
}

bool NeedsContentLength(const GateCall& call) {
  return !call.body.empty() || call.method == "POST" || call.method == "PUT" ||
         call.method == "PATCH";
}

}  // namespace

Gate::Gate(boost::asio::io_context& new_context, TimerQueue& new_timers,
           DecisionLog& new_log, Options new_options)
    : context(new_context),
      timers(new_timers),
      log(new_log),
      options(std::move(new_options)),
      target_endpoint(
          io::http::ParseEndpoint(this->options.settings.target_address)),
      request_bodies(std::make_shared<http::ByteBudget>(kRequestBodyBytes)),
      answer_bodies(std::make_shared<http::ByteBudget>(kAnswerBodyBytes)),
      starts(
          {.overdue_after = std::chrono::duration_cast<core::Duration>(
               this->options.settings.announcement_period * kOverduePeriods)}),
      cold(this->timers, this->log, this->ColdWatchOptions()) {
  if (this->options.settings.routes_by_cost) {
    this->slots.WeighByWork();
  }
  this->CheckAnnouncements();
}

ColdWatch::Options Gate::ColdWatchOptions() {
  constexpr bool kIsIdempotent = true;
  return {
      .settings = this->options.settings,
      .dialect = this->options.dialect,
      .take_connection = [this] { return this->TakeConnection(kIsIdempotent); },
      .return_connection =
          [this](std::shared_ptr<http::ClientConnection> connection) {
            this->ReturnConnection(std::move(connection));
          },
      .instance = [this] { return this->target.instance; },
      .takes_work = [this] { return this->accepts_work(); },
      .mean_work = [this] { return this->slots.mean_work(); },
      .daemon_count = this->options.daemon_count,
      .on_change =
          [this](core::overload::Warmth warmth) {
            this->options.on_change();
            if (warmth == core::overload::Warmth::kCold) {
              // They were admitted at the rate of a warm target.
              this->RefuseWaiting(kOverLimit);
            }
          }};
}

bool Gate::accepts_work() const {
  // After a pause of the daemon, the timer that notices missed announcements
  // may not have run yet.
  return this->state == TargetState::kTakesWork && !this->draining &&
         Now() - this->announced_at <= this->AnnouncementTimeout();
}

Gate::Ticket Gate::Submit(GateCall call, Callback done) {
  const Ticket ticket = ++this->last_ticket;
  const core::Instant now = Now();
  Call& entry = this->calls[ticket];
  entry.submitted_at = now;
  entry.request = std::move(call);
  entry.done = std::move(done);
  entry.body_allowance =
      std::make_unique<http::BodyAllowance>(this->request_bodies);
  if (!entry.body_allowance->Grow(entry.request.body.size())) {
    this->Refuse(ticket, "no memory for the body", kMinRetryAfter);
    return ticket;
  }
  if (!this->accepts_work()) {
    this->Refuse(ticket, "target does not take work", kNoRetryDelay);
    return ticket;
  }
  if (this->options.refuses_for_evacuation()) {
    this->Refuse(ticket, kEvacuated, kNoRetryDelay);
    return ticket;
  }
  if (entry.request.instance != this->target.instance) {
    this->Refuse(ticket, "target was replaced", kNoRetryDelay);
    return ticket;
  }
  if (entry.request.deadline <= now) {
    this->Refuse(ticket, "time limit passed", kNoRetryDelay);
    return ticket;
  }
  using core::quarantine::QuarantineStatus;
  const QuarantineStatus status =
      this->options.quarantine.StatusOf(entry.request.fingerprint);
  if (status == QuarantineStatus::kQuarantined) {
    this->Refuse(ticket, kQuarantined, kNoRetryDelay);
  } else if (status == QuarantineStatus::kSuspect || entry.request.is_suspect) {
    this->OfferSuspect(ticket);
  } else {
    this->OfferSlot(ticket);
  }
  return ticket;
}

core::Instant Gate::AnswerBy(const GateCall& call) const {
  if (!call.root_arrived_at) {
    return call.soft_deadline;
  }
  const core::Instant now = Now();
  return core::overload::PatienceOf({.offered_at = now,
                                     .deadline = call.deadline,
                                     .soft_deadline = call.soft_deadline,
                                     .root_arrived_at = *call.root_arrived_at,
                                     .is_root_known = call.is_root_known},
                                    this->slots.queue_age(now))
      .answer_by;
}

core::Instant Gate::LatestStart(const GateCall& call) const {
  const auto work = core::Duration(static_cast<core::Duration::rep>(
      kWorkMarginFactor *
      static_cast<double>(this->ExpectedWorkOf(call).mean.count())));
  return std::min(this->AnswerBy(call) - work, call.deadline - work / 2);
}

void Gate::OfferSuspect(Ticket ticket) {
  Call& call = this->calls.at(ticket);
  if (!this->suspect) {
    this->suspect = ticket;
    call.is_suspect = true;
    this->OfferSlot(ticket);
    return;
  }
  const core::Duration wait =
      this->slots.mean_work() *
      static_cast<core::Duration::rep>(this->waiting_suspects.size() + 1);
  if (Now() + wait > this->LatestStart(call.request)) {
    this->Refuse(ticket, kNoSlot, wait);
    return;
  }
  this->waiting_suspects.push_back(ticket);
}

void Gate::OfferNextSuspect() {
  while (!this->suspect && !this->waiting_suspects.empty()) {
    const Ticket ticket = this->waiting_suspects.front();
    this->waiting_suspects.pop_front();
    if (!this->calls.contains(ticket)) {
      continue;  // cancelled
    }
    using core::quarantine::QuarantineStatus;
    if (!this->accepts_work()) {
      this->Refuse(ticket, "target does not take work", kNoRetryDelay);
    } else if (this->options.quarantine.StatusOf(
                   this->calls.at(ticket).request.fingerprint) ==
               QuarantineStatus::kQuarantined) {
      this->Refuse(ticket, kQuarantined, kNoRetryDelay);
    } else {
      this->OfferSuspect(ticket);
    }
  }
}

void Gate::EraseCall(Ticket ticket) {
  const auto found = this->calls.find(ticket);
  if (found != this->calls.end()) {
    if (found->second.holds_limit_token) {
      this->limit.Return();
    }
    if (found->second.holds_cold_place) {
      this->cold.Return();
    } else if (found->second.written_at) {
      this->cold.OnDone(*found->second.written_at);
    }
  }
  this->calls.erase(ticket);
  if (this->suspect == ticket) {
    this->suspect.reset();
    // Not from within the caller, which may still hold references to calls.
    boost::asio::post(this->context, [this] { this->OfferNextSuspect(); });
  }
}

void Gate::OfferSlot(Ticket ticket) {
  const core::Instant now = Now();
  Call& call = this->calls.at(ticket);
  const GateCall& request = call.request;
  if (!this->cold.Admit(request.rank)) {
    this->Refuse(ticket, kOverLimit, kNoRetryDelay);
    return;
  }
  call.holds_cold_place = true;
  if (!this->limit.Admit(request.rank, now)) {
    this->Refuse(ticket, kOverLimit, this->limit.refusal_backoff());
    return;
  }
  call.holds_limit_token = true;
  const core::routing::WorkEstimate expected = this->ExpectedWorkOf(request);
  const core::overload::SlotRequest slot_request{
      .ticket = ticket,
      .rank = request.rank,
      .arrived_at = now,
      .latest_start = this->LatestStart(request),
      .turn = TurnOf(request),
      .expected_work = expected.mean,
      .work_spread = expected.spread};
  const auto verdict = this->slots.Offer(slot_request, now);
  switch (verdict) {
    case core::overload::SlotDecision::kRun:
      this->Run(ticket);
      break;
    case core::overload::SlotDecision::kWait:
      this->ScheduleExpiry();
      break;
    case core::overload::SlotDecision::kRefuse:
      this->Refuse(ticket, kNoSlot,
                   this->slots.ExpectedWait(
                       request.rank, this->slots.OrderOf(slot_request), now));
      break;
  }
}

std::shared_ptr<http::ClientConnection> Gate::TakeConnection(
    bool is_idempotent) {
  const core::Instant now = Now();
  while (!this->idle_connections.empty()) {
    auto connection = std::move(this->idle_connections.back());
    this->idle_connections.pop_back();
    core::Duration limit =
        is_idempotent ? kMaxIdleTime : kMaxIdleTimeNonIdempotent;
    if (const auto stated = connection->peer_idle_timeout()) {
      limit = std::min<core::Duration>(
          limit, std::max<core::Duration>(core::Duration::zero(),
                                          *stated - kPeerIdleTimeoutMargin));
    }
    if (connection->is_usable() && now - connection->idle_since() < limit) {
      return connection;
    }
    if (!connection->is_usable() ||
        now - connection->idle_since() >= kMaxIdleTime) {
      connection->Abort();
      continue;
    }
    // Usable, but idle for too long for this request. The remaining ones have
    // been idle even longer.
    this->idle_connections.push_back(std::move(connection));
    break;
  }
  return std::make_shared<http::ClientConnection>(
      this->context, this->target_endpoint, this->answer_bodies);
}

// Closes the oldest connections beyond the number of slots: idle connections
// count towards the target's connection limit, too.
void Gate::ReturnConnection(
    std::shared_ptr<http::ClientConnection> connection) {
  const core::Instant now = Now();
  this->idle_connections.push_back(std::move(connection));
  while (this->idle_connections.size() >
             static_cast<std::size_t>(this->slots.slots()) ||
         !this->idle_connections.front()->is_usable() ||
         now - this->idle_connections.front()->idle_since() >= kMaxIdleTime) {
    this->idle_connections.front()->Abort();
    this->idle_connections.pop_front();
    if (this->idle_connections.empty()) {
      break;
    }
  }
}

void Gate::LogLongWait(const Call& call, core::Instant now) {
  const GateCall& request = call.request;
  if (request.root_arrived_at &&
      now + this->MeanWorkOf(request.route) > request.soft_deadline &&
      this->log.WouldWrite(Event::kCallWaited)) {
    this->log.Write(
        Event::kCallWaited,
        {{"request", request.request_id},
         {"route", request.route},
         {"waited_ms", MillisecondsText(now - call.submitted_at)},
         {"root_age_ms", MillisecondsText(now - *request.root_arrived_at)},
         {"root_known", request.is_root_known ? "yes" : "no"}});
  }
}

void Gate::Run(Ticket ticket) {
  Call& call = this->calls.at(ticket);
  const core::Instant now = Now();
  call.is_running = true;
  call.holds_limit_token = false;
  call.started_at = now;
  call.start = this->starts.current();
  this->LogLongWait(call, now);
  this->tracker.Begin(ticket, call.request.route,
                      now + std::chrono::floor<std::chrono::milliseconds>(
                                call.request.deadline - now));
  ++this->running_calls;
  call.connection = this->TakeConnection(call.request.is_idempotent);
  std::string message;
  message.reserve(call.request.header_lines.size() + call.request.body.size() +
                  call.request.path_and_query.size() + 192);
  message += call.request.method;
  message += ' ';
  message += call.request.path_and_query;
  message += " HTTP/1.1\r\n";
  message += call.request.header_lines;
  message += this->options.dialect.encode_send(call.request.instance,
                                               call.request.deadline - now);
  if (NeedsContentLength(call.request)) {
    message +=
        "Content-Length: " + std::to_string(call.request.body.size()) + "\r\n";
  }
  message += "\r\n";
  message += call.request.body;
  call.request.body.clear();
  call.request.header_lines.clear();
  call.timer =
      this->timers.At(call.request.deadline + kAnswerMargin, [this, ticket] {
        const auto found = this->calls.find(ticket);
        if (found == this->calls.end()) {
          return;
        }
        found->second.timer = 0;
        found->second.connection->Abort();
        this->Finish(ticket, http::ExchangeProblem{
                                 .failure = http::ExchangeFailure::kBroken,
                                 .detail = "no answer at the time limit"});
      });
  call.connection->Start(
      {.message = std::move(message),
       .is_head = call.request.method == "HEAD",
       .is_matching_response =
           [&dialect = this->options.dialect,
            id = call.request.request_id](const io::http::Response& response) {
             return dialect.is_answer_to(response, id);
           },
       .done =
           [this, ticket](http::ExchangeOutcome outcome) {
             this->Finish(ticket, std::move(outcome));
           },
       .on_written = [this, ticket] { this->OnWritten(ticket); }});
}

void Gate::OnWritten(Ticket ticket) {
  const auto found = this->calls.find(ticket);
  if (found != this->calls.end()) {
    found->second.holds_cold_place = false;
    found->second.written_at = Now();
    constexpr bool kWasAdmitted = true;
    this->cold.OnWritten(kWasAdmitted);
  }
}

// The work of a service's routes differs by large factors, so a mean over all
// of them predicts little about one.
core::Duration Gate::MeanWorkOf(const std::string& route) const {
  const auto found = this->mean_work.find(route);
  return found == this->mean_work.end() ? core::Duration::zero()
                                        : found->second;
}

core::routing::WorkEstimate Gate::ExpectedWorkOf(const GateCall& call) const {
  if (!this->options.settings.routes_by_cost ||
      call.expected.mean == core::Duration::zero()) {
    return {.mean = this->MeanWorkOf(call.route)};
  }
  const double slowness = this->speed.Slowness(Now());
  return {.mean = std::chrono::duration_cast<core::Duration>(
              call.expected.mean * slowness),
          .spread = std::chrono::duration_cast<core::Duration>(
              call.expected.spread * slowness)};
}

void Gate::ReleaseSlot(Ticket ticket, const Call& call, core::Instant now) {
  --this->running_calls;
  this->work_of_origin[call.request.origin].held += now - call.started_at;
  this->tracker.End(ticket);
}

std::optional<CallOrigin> Gate::Attribute(const std::string& route,
                                          core::Instant call_deadline,
                                          core::RandomSource& random) {
  const auto ticket = this->tracker.Attribute(route, call_deadline, random);
  if (!ticket) {
    return std::nullopt;
  }
  const Call& caller = this->calls.at(*ticket);
  CallOrigin origin{.route = caller.request.origin,
                    .rank = caller.request.rank};
  const bool is_known =
      !caller.request.root_arrived_at || caller.request.is_root_known;
  if (is_known && this->tracker.FindByDeadline(call_deadline) == ticket) {
    origin.root_arrived_at =
        caller.request.root_arrived_at.value_or(caller.submitted_at);
  }
  return origin;
}

void Gate::RecordRun(const Call& call, GateReply& reply, core::Instant now) {
  constexpr unsigned kFirstFailure = 500;
  const bool has_failed = reply.status >= kFirstFailure;
  const bool has_failed_call =
      this->options.last_failed_call() >= call.started_at;
  if (!has_failed || !has_failed_call) {
    this->failures.Record(has_failed, now);
  }
  reply.is_starved =
      has_failed && this->options.last_starved_call() >= call.started_at;
  if (call.request.origin == call.request.route) {
    OriginWork& record = this->work_of_origin[call.request.origin];
    ++record.ended;
    record.starved += reply.is_starved ? 1 : 0;
  }
  if (!has_failed) {
    const core::Duration work = now - call.started_at;
    reply.work = work;
    this->speed.Record(work, call.request.expected.mean, now);
    core::Duration& mean = this->mean_work[call.request.route];
    mean = mean == core::Duration::zero()
               ? work
               : mean + (work - mean) / kMeanWorkRuns;
  }
}

void Gate::Finish(Ticket ticket, http::ExchangeOutcome outcome) {
  const auto found = this->calls.find(ticket);
  if (found == this->calls.end()) {
    return;
  }
  Call& call = found->second;
  const core::Instant now = Now();
  this->timers.Cancel(call.timer);
  call.is_running = false;
  this->ReleaseSlot(ticket, call, now);
  GateReply reply;
  bool is_sample = false;
  if (auto* response = std::get_if<io::http::Response>(&outcome)) {
    this->cold.OnAnswer();
    TargetAnswer answer = this->options.dialect.decode_answer(*response);
    this->TakeNotices(call, answer);
    if (answer.has_not_run) {
      reply.reason =
          answer.is_wrong_instance ? "target was replaced" : "target refused";
      this->failures.Record(!answer.is_wrong_instance, now);
      reply.retry_after = kMinRetryAfter;
      if (answer.is_wrong_instance &&
          call.request.instance == this->target.instance) {
        this->SetState(TargetState::kGone, "answered by another instance");
      }
    } else if (answer.is_transformed) {
      reply.outcome = Outcome::kMayHaveRun;
      reply.reason = "the answer is not the target's own bytes";
    } else {
      reply = GateReply{.outcome = Outcome::kAnswered,
                        .status = response->result_int(),
                        .header_lines = std::move(answer.header_lines),
                        .body = std::move(response->body())};
      is_sample = true;
      this->RecordRun(call, reply, now);
      this->options.quarantine.OnCompleted(call.request.fingerprint);
    }
    if (call.connection->is_usable()) {
      this->ReturnConnection(call.connection);
    }
  } else {
    this->slots.Finish(ticket, now - call.started_at, is_sample);
    this->FinishBroken(ticket, std::get<http::ExchangeProblem>(outcome));
    this->DispatchWaiting();
    return;
  }
  this->slots.Finish(ticket, now - call.started_at, is_sample);
  this->Reply(ticket, std::move(reply));
  this->DispatchWaiting();
}

void Gate::FinishBroken(Ticket ticket, const http::ExchangeProblem& problem) {
  Call& call = this->calls.at(ticket);
  const core::Instant now = Now();
  GateReply reply{.outcome = problem.failure == http::ExchangeFailure::kNotSent
                                 ? Outcome::kNotRun
                                 : Outcome::kMayHaveRun,
                  .reason = problem.detail,
                  .retry_after = kMinRetryAfter};
  this->failures.Record(true, now);
  this->log.Write(Event::kTargetBroke,
                  {{"request", call.request.request_id},
                   {"instance", call.request.instance},
                   {"detail", problem.detail},
                   {"after_ms", MillisecondsText(now - call.started_at)}});
  const bool may_be_crash = reply.outcome == Outcome::kMayHaveRun &&
                            this->state == TargetState::kTakesWork &&
                            now < call.request.deadline;
  if (may_be_crash) {
    this->crash_detector.RecordBreak({.fingerprint = call.request.fingerprint,
                                      .is_suspect = call.is_suspect},
                                     now);
    if (!call.is_abandoned) {
      this->broken_runs.push_back(
          {.done = std::move(call.done), .reply = std::move(reply)});
    }
    this->EraseCall(ticket);
    this->CheckForCrash();
    return;
  }
  const bool is_unreachable =
      problem.is_connection_refused && this->state == TargetState::kTakesWork;
  this->Reply(ticket, std::move(reply));
  if (is_unreachable) {
    this->log.Write(Event::kTargetUnreachable,
                    {{"instance", this->target.instance}});
    this->ConfirmCrash();
    this->SetState(TargetState::kGone, "connection refused");
  }
}

bool Gate::has_usable_connection() const {
  return std::any_of(
      this->idle_connections.begin(), this->idle_connections.end(),
      [](const auto& connection) { return connection->is_usable(); });
}

bool Gate::has_older_run(core::Instant begin) const {
  return std::any_of(
      this->calls.begin(), this->calls.end(), [&](const auto& entry) {
        return entry.second.written_at && *entry.second.written_at < begin;
      });
}

void Gate::CheckForCrash() {
  if (this->is_checking_for_crash) {
    return;
  }
  this->is_checking_for_crash = true;
  this->timers.After(kCrashCheckDelay, [this] {
    if (this->has_usable_connection() ||
        this->state != TargetState::kTakesWork) {
      this->ReleaseBrokenRuns();
      return;
    }
    http::ProbeConnect(this->context, this->timers, this->target_endpoint,
                       kCrashCheckTimeout,
                       [this, start = this->starts.current(),
                        now = Now()](http::ConnectResult result) {
                         if (result == http::ConnectResult::kRefused &&
                             start == this->starts.current() &&
                             this->state == TargetState::kTakesWork) {
                           this->ConfirmCrash();
                           this->SetState(TargetState::kGone, "crashed");
                         } else if (result != http::ConnectResult::kRefused &&
                                    !this->has_older_run(now)) {
                           this->AssumeCold("all connections broke");
                         }
                         this->ReleaseBrokenRuns();
                       });
  });
}

void Gate::ConfirmCrash() {
  std::vector<core::quarantine::RunningRequest> still_running;
  for (const auto& [ticket, call] : this->calls) {
    if (call.is_running) {
      still_running.push_back({.fingerprint = call.request.fingerprint,
                               .is_suspect = call.is_suspect});
    }
  }
  const auto running = this->crash_detector.TakeCrash(still_running, Now());
  if (!running.empty()) {
    this->options.quarantine.OnCrash(this->starts.current(), running);
  }
}

void Gate::ReleaseBrokenRuns() {
  this->is_checking_for_crash = false;
  const std::vector<BrokenRun> released =
      std::exchange(this->broken_runs, std::vector<BrokenRun>());
  for (const BrokenRun& run : released) {
    run.done(run.reply);
  }
}

void Gate::Reply(Ticket ticket, GateReply reply) {
  const auto found = this->calls.find(ticket);
  const Callback done = std::move(found->second.done);
  const bool is_abandoned = found->second.is_abandoned;
  this->EraseCall(ticket);
  if (!is_abandoned) {
    done(std::move(reply));
  }
}

void Gate::Refuse(Ticket ticket, std::string_view reason,
                  core::Duration retry_after) {
  const GateCall& request = this->calls.at(ticket).request;
  // Work beyond a limit has found no room only if another target has refused it
  // as well.
  if ((reason == kNoSlot && !request.was_refused) ||
      (reason == kOverLimit && request.was_refused)) {
    this->work_of_origin[request.origin].unmet +=
        this->ExpectedWorkOf(request).mean;
  }
  if (this->log.WouldWrite(Event::kSlotRefused)) {
    const Call& call = this->calls.at(ticket);
    this->log.Write(
        Event::kSlotRefused,
        {{"request", call.request.request_id},
         {"reason", reason},
         {"rank", std::to_string(call.request.rank)},
         {"running", std::to_string(this->slots.running())},
         {"waiting", std::to_string(this->slots.waiting())},
         {"mean_work_ms", MillisecondsText(this->slots.mean_work())}});
  }
  this->Reply(ticket, {.outcome = Outcome::kNotRun,
                       .reason = std::string(reason),
                       .retry_after = std::max(retry_after, kNoRetryDelay)});
}

void Gate::DispatchWaiting() {
  const auto dispatched = this->slots.Dispatch(Now());
  for (const Ticket ticket : dispatched.run) {
    this->Run(ticket);
  }
  for (const Ticket ticket : dispatched.refuse) {
    this->Refuse(ticket, kNoSlot, kMinRetryAfter);
  }
}

void Gate::ScheduleExpiry() {
  const core::Instant next = this->slots.next_expiry();
  if (next >= this->expiry_at) {
    return;
  }
  this->timers.Cancel(this->expiry_timer);
  this->expiry_at = next;
  this->expiry_timer = this->timers.At(next, [this] {
    this->expiry_timer = 0;
    this->expiry_at = core::Instant::max();
    this->DispatchWaiting();
    if (this->slots.waiting() > 0) {
      this->ScheduleExpiry();
    }
  });
}

bool Gate::Cancel(Ticket ticket) {
  const auto found = this->calls.find(ticket);
  if (found == this->calls.end()) {
    return false;
  }
  Call& call = found->second;
  if (!call.is_running) {
    this->slots.Remove(ticket);
    this->EraseCall(ticket);
    return true;
  }
  if (!call.request.is_idempotent) {
    call.is_abandoned = true;
    return false;
  }
  this->timers.Cancel(call.timer);
  call.connection->Abort();
  const core::Instant now = Now();
  const core::Duration usual = this->MeanWorkOf(call.request.route);
  if (usual > core::Duration::zero() &&
      now - call.started_at > usual * kOverdueFactor) {
    this->failures.Record(true, now);
  }
  this->ReleaseSlot(ticket, call, now);
  constexpr bool kIsSample = false;
  this->slots.Finish(ticket, core::Duration::zero(), kIsSample);
  this->EraseCall(ticket);
  this->DispatchWaiting();
  return false;
}

void Gate::RefuseWaiting(std::string_view reason) {
  std::vector<Ticket> waiting;
  for (const auto& [ticket, call] : this->calls) {
    if (!call.is_running) {
      waiting.push_back(ticket);
    }
  }
  for (const Ticket ticket : waiting) {
    if (this->slots.Remove(ticket) ||
        std::erase(this->waiting_suspects, ticket) > 0) {
      this->Refuse(ticket, reason, kNoRetryDelay);
    }
  }
}

void Gate::SetState(TargetState new_state, std::string_view reason) {
  if (this->state != new_state) {
    this->state = new_state;
    this->log.Write(Event::kTargetStateChanged,
                    {{"instance", this->target.instance},
                     {"state", StateName(new_state)},
                     {"sequence", std::to_string(this->target.sequence)},
                     {"born_ms", std::to_string(this->target.born_ms)},
                     {"reason", reason}});
  }
  if (new_state != TargetState::kTakesWork) {
    for (const auto& connection : this->idle_connections) {
      connection->Abort();
    }
    this->idle_connections.clear();
  }
  this->options.on_change();
  if (new_state != TargetState::kTakesWork) {
    this->RefuseWaiting("target does not take work");
  }
}

void Gate::Retire(const core::DaemonRef& start) {
  this->starts.Retire(start);
  if (this->starts.current() == start &&
      this->state == TargetState::kTakesWork) {
    this->SetState(TargetState::kLeaving, "a peer reported it as leaving");
  }
}

bool Gate::OnAnnouncement(const Announcement& announcement) {
  const core::DaemonRef start = StartOf(announcement);
  const core::Instant now = Now();
  if (announcement.state == TargetState::kGone) {
    // Also a start that this daemon has not heard of yet: a report that it sent
    // before may still arrive.
    const bool is_current = this->starts.IsCurrent(start);
    this->starts.Retire(is_current ? this->starts.current() : start);
    if (is_current) {
      this->SetState(TargetState::kGone,
                     "the target announced that it is gone");
    }
    return true;
  }
  if (announcement.service != this->options.settings.target_service) {
    this->log.Write(Event::kAnnouncementRejected,
                    {{"instance", announcement.instance},
                     {"reason", "it belongs to another service"}});
    return true;
  }
  const bool is_leaving = announcement.state == TargetState::kLeaving;
  using core::membership::ReportVerdict;
  const ReportVerdict verdict =
      this->starts.Report({.start = start,
                           .sequence = announcement.sequence,
                           .is_leaving = is_leaving},
                          now);
  if (verdict == ReportVerdict::kKnown || verdict == ReportVerdict::kOther) {
    this->log.Write(
        Event::kAnnouncementRejected,
        {{"instance", announcement.instance},
         {"born_ms", std::to_string(announcement.born_ms)},
         {"sequence", std::to_string(announcement.sequence)},
         {"known", StartName(this->starts.current())},
         {"reason", verdict == ReportVerdict::kKnown
                        ? "older than the latest announcement"
                        : "from another start than the current one"}});
    if (verdict == ReportVerdict::kOther && is_leaving &&
        start.id == this->starts.current().id &&
        this->state == TargetState::kTakesWork) {
      // Requests that name the instance would reach the one that leaves if it
      // is there. The current start's next report brings it back.
      this->SetState(TargetState::kGone,
                     "another start under its name is leaving");
    }
    return verdict == ReportVerdict::kKnown || is_leaving;
  }
  const bool is_new_start = verdict == ReportVerdict::kReplaced;
  const bool has_new_slot_count = announcement.slots != this->target.slots;
  const std::uint64_t slots_before = this->target.slots;
  if (is_new_start && this->state == TargetState::kTakesWork) {
    this->ConfirmCrash();
  }
  this->target = announcement;
  this->target.born_ms = this->starts.current().incarnation;
  if (this->target.slots == 0) {
    this->target.slots = static_cast<std::uint32_t>(slots_before);
  }
  if (is_new_start) {
    this->crash_detector.Reset();
    this->slots.ResetMeanWork();
    this->failures.Reset();
    this->speed.Reset();
    this->limit.Reset();
    const auto recalled =
        this->recalled_limits.find(StartName(this->starts.current()));
    if (recalled != this->recalled_limits.end()) {
      this->RecallLimit(this->starts.current(), recalled->second);
      this->recalled_limits.clear();
    }
  }
  const bool has_come_back =
      !is_new_start &&
      (this->state == TargetState::kGone ||
       now - this->announced_at >
           this->options.settings.announcement_period * kOverduePeriods);
  this->announced_at = now;
  this->cold.OnAnnouncement(announcement.cold_for, is_new_start, has_come_back);
  if (has_new_slot_count || is_new_start) {
    this->slots.Resize({.slots = static_cast<int>(this->target.slots)});
  }
  const TargetState next = this->starts.is_retired(this->starts.current())
                               ? TargetState::kLeaving
                               : announcement.state;
  if (next != this->state || is_new_start || has_new_slot_count) {
    this->SetState(next, "announcement");
  }
  this->DispatchWaiting();
  return true;
}

core::Duration Gate::AnnouncementTimeout() const {
  return this->options.settings.announcement_period * kMaxMissedAnnouncements +
         kAnnouncementMargin;
}

void Gate::CheckAnnouncements() {
  if (this->state == TargetState::kTakesWork &&
      Now() - this->announced_at > this->AnnouncementTimeout()) {
    this->SetState(TargetState::kGone, "no announcement");
  }
  this->timers.After(this->options.settings.announcement_period,
                     [this] { this->CheckAnnouncements(); });
}

void Gate::BeginDrain() {
  this->draining = true;
  this->options.on_change();
  this->RefuseWaiting("the daemon stops");
}

void Gate::RefuseForEvacuation() { this->RefuseWaiting(kEvacuated); }

mesh::Load Gate::DescribeLoad() const {
  mesh::Load load;
  load.set_running(static_cast<std::uint32_t>(this->slots.running()));
  load.set_waiting(static_cast<std::uint32_t>(this->slots.waiting()));
  load.set_mean_work_us(Microseconds(this->slots.mean_work()));
  constexpr double kPermille = 1000.0;
  load.set_failing_permille(
      static_cast<std::uint32_t>(kPermille * this->failures.Fraction(Now())));
  if (const auto per_second = this->limit.per_second()) {
    load.set_limit_per_second(*per_second);
  }
  this->cold.DescribeLoad(load);
  if (this->options.settings.routes_by_cost) {
    const core::Instant now = Now();
    load.set_remaining_work_us(Microseconds(this->slots.RemainingWork(now)));
    load.set_slowness_permille(
        static_cast<std::uint32_t>(kPermille * this->speed.Slowness(now)));
    load.set_first_wait_us(Microseconds(this->slots.ExpectedWaitOfFirst(now)));
    load.set_last_wait_us(Microseconds(this->slots.ExpectedWaitOfLast(now)));
  }
  return load;
}

mesh::Target Gate::DescribeTarget() const {
  mesh::Target description;
  description.set_instance(this->target.instance);
  description.set_born_ms(this->target.born_ms);
  description.set_service(this->options.settings.target_service);
  description.set_slots(this->target.slots);
  // Only the target's own departure is final; its daemon may be restarted.
  if (this->starts.is_retired(this->starts.current())) {
    description.set_state(mesh::LEAVING);
  } else if (this->state == TargetState::kTakesWork) {
    description.set_state(this->draining ? mesh::DAEMON_STOPS
                                         : mesh::TAKES_WORK);
  } else {
    description.set_state(mesh::GONE);
  }
  description.set_cold_ms(
      static_cast<std::uint32_t>(Microseconds(this->cold.cold_for()) / 1000));
  *description.mutable_load() = this->DescribeLoad();
  return description;
}

}  // namespace lycheewell::sidecar::requests
