#include "lycheewell/daemon/requests/router.h"

#include <algorithm>
#include <boost/asio/steady_timer.hpp>

#include "lycheewell/core/routing/target_choice.h"

namespace lycheewell::daemon::requests {
namespace asio = boost::asio;

using core::membership::Health;
using core::quarantine::QuarantineStatus;

namespace {

constexpr int kUnavailable = 503;
constexpr int kGatewayTimeout = 504;
constexpr int kUnprocessable = 422;
constexpr double kLatencyWeight = 0.2;
constexpr auto kAvoidAfterFailure = std::chrono::milliseconds(300);
constexpr auto kShedRetryAfter = std::chrono::milliseconds(1000);

// An answer may come this much after the deadline that the target got.
constexpr auto kAnswerGrace = std::chrono::milliseconds(50);

}  // namespace

Router::Router(Services& new_services, Dispatcher& new_dispatcher,
               AttemptGate& new_attempts)
    : services(new_services),
      dispatcher(new_dispatcher),
      attempts(new_attempts) {}

asio::awaitable<CallResult> Router::Route(
    Call& call, io::async::CancellationPointer cancellation) {
  auto refusal = this->RefuseEarly(call);
  if (cancellation && cancellation->IsCancelled()) {
    refusal = NotRun(kGatewayTimeout, "the caller went away");
  }
  if (refusal) {
    refusal->unused_credit = call.retry_credit;
    co_return *refusal;
  }
  const bool needs_record = !call.idempotent && !call.idempotency_key.empty();
  if (!needs_record) {
    call.idempotency_key.clear();
    co_return co_await this->RouteAttempts(call, cancellation);
  }
  auto known = co_await this->attempts.Begin(call);
  if (known) {
    known->unused_credit = call.retry_credit;
    co_return *known;
  }
  CallResult result = co_await this->RouteAttempts(call, cancellation);
  if (result.outcome == Outcome::kNotRun) {
    this->attempts.Release(call);
  }
  co_return result;
}

std::optional<CallResult> Router::RefuseEarly(const Call& call) {
  const core::Instant now = Now();
  const QuarantineStatus standing =
      this->services.tables.crashes.Lock()->StatusOf(call.fingerprint, now);
  if (standing == QuarantineStatus::kQuarantined) {
    this->services.metrics.Count(metrics::Counter::kRefusedQuarantine);
    this->services.events.Write(
        events::Event::kRequestQuarantined,
        {{"request", call.request_id}, {"service", call.service}});
    return NotRun(kUnprocessable,
                  "this request crashed two targets and is refused");
  }
  int level = 0;
  {
    auto loads = this->services.tables.loads.Lock();
    const auto heard = loads->levels.find(call.route_key);
    level = heard == loads->levels.end() ? 0 : heard->second.LevelAt(now);
  }
  if (call.rank >= level) {
    return std::nullopt;
  }
  this->services.metrics.Count(metrics::Counter::kRefusedShed);
  this->services.events.Write(events::Event::kRequestShed,
                              {{"request", call.request_id},
                               {"route", call.route_key},
                               {"rank", std::to_string(call.rank)},
                               {"level", std::to_string(level)}});
  CallResult result = NotRun(kUnavailable, "shed under overload");
  result.admission_level = level;
  result.retry_after = kShedRetryAfter;
  return result;
}

asio::awaitable<CallResult> Router::RouteAttempts(
    Call& call, io::async::CancellationPointer cancellation) {
  core::retry::RetryCredit credit(call.retry_credit);
  std::set<core::DaemonRef> tried;
  CallResult result = NotRun(kUnavailable, "no target of this service is up");
  for (int attempt = 1;; ++attempt) {
    auto choice = this->Choose(call, tried);
    if (!choice && !tried.empty()) {
      tried.clear();
      choice = this->Choose(call, tried);
    }
    if (!choice) {
      break;
    }
    const int lent = credit.LendToCall();
    call.retry_credit = lent;
    result = co_await this->Attempt(call, *choice, cancellation);
    credit.TakeBack(lent, result.unused_credit);
    const bool is_cancelled = cancellation && cancellation->IsCancelled();
    if (result.outcome == Outcome::kRan || is_cancelled ||
        !this->MayRetry(call, result, credit)) {
      break;
    }
    tried.insert(choice->daemon);
    this->services.metrics.Count(metrics::Counter::kRetries);
    this->services.events.Write(events::Event::kRequestRetried,
                                {{"request", call.request_id},
                                 {"after", choice->daemon.id},
                                 {"reason", result.reason}});
    asio::steady_timer timer(
        co_await asio::this_coro::executor,
        core::retry::BackoffBefore(attempt, this->services.random()));
    co_await timer.async_wait(asio::use_awaitable);
  }
  result.unused_credit = credit.remaining();
  co_return result;
}

bool Router::MayRetry(const Call& call, const CallResult& result,
                      core::retry::RetryCredit& credit) {
  const bool is_safe = result.outcome == Outcome::kNotRun
                           ? result.other_target_may_help
                           : call.idempotent;
  if (!is_safe || Now() >= call.deadline || !credit.Spend()) {
    return false;
  }
  // A refusal before the start costs the service nothing; a repeated run does.
  if (result.outcome == Outcome::kNotRun) {
    return true;
  }
  auto loads = this->services.tables.loads.Lock();
  return loads->budgets[call.service].Spend();
}

std::optional<Router::Choice> Router::Choose(
    const Call& call, const std::set<core::DaemonRef>& tried) {
  const auto view = this->services.tables.configuration.view();
  const auto& members = view->MembersOf(call.service);
  std::vector<const core::configuration::Member*> candidates;
  {
    auto membership = this->services.tables.membership.Lock();
    for (const auto& member : members) {
      const Health health = membership->HealthOf(member.daemon);
      const bool takes_work =
          health == Health::kAlive || health == Health::kSuspected;
      if (takes_work && !tried.contains(member.daemon) &&
          !view->IsRetired(member.daemon.id) &&
          !view->IsEvacuated(member.data_centre)) {
        candidates.push_back(&member);
      }
    }
  }
  std::vector<core::routing::ObservedTargetLoad> targets;
  std::vector<core::routing::ObservedTargetLoad> avoided;
  {
    auto loads = this->services.tables.loads.Lock();
    const core::Instant now = Now();
    for (const auto* member : candidates) {
      const tables::ObservedTarget& seen = loads->targets[member->daemon];
      const core::routing::ObservedTargetLoad load{
          .daemon = member->daemon,
          .same_data_centre =
              member->data_centre == this->services.settings.data_centre,
          .outstanding = seen.outstanding,
          .recent_latency = seen.recent_latency};
      (seen.avoided_until > now ? avoided : targets).push_back(load);
    }
  }
  if (targets.empty()) {
    targets = std::move(avoided);
  }
  const auto index =
      core::routing::ChooseTarget(targets, this->services.random);
  if (!index) {
    return std::nullopt;
  }
  const core::DaemonRef daemon = targets[*index].daemon;
  return Choice{daemon, daemon == this->services.self};
}

asio::awaitable<CallResult> Router::Attempt(
    const Call& call, const Choice& choice,
    io::async::CancellationPointer cancellation) {
  this->services.events.Write(events::Event::kRequestRouted,
                              {{"request", call.request_id},
                               {"service", call.service},
                               {"target", choice.daemon.id},
                               {"account", call.account}});
  {
    auto loads = this->services.tables.loads.Lock();
    ++loads->targets[choice.daemon].outstanding;
  }
  const core::Instant started = Now();
  CallResult result;
  if (choice.is_local) {
    result = co_await this->dispatcher.Dispatch(call, cancellation);
  } else {
    result = co_await this->Forward(call, choice.daemon, cancellation);
  }
  this->RecordAttempt(call, choice.daemon, result, Now() - started);
  co_return result;
}

asio::awaitable<CallResult> Router::Forward(
    const Call& call, const core::DaemonRef& daemon,
    io::async::CancellationPointer cancellation) {
  this->services.metrics.Count(metrics::Counter::kForwards);
  const core::Instant now = Now();
  const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(
      call.deadline - now);
  if (left.count() <= 0) {
    co_return NotRun(kGatewayTimeout, "the deadline passed before the start");
  }
  auto waiter = std::make_shared<io::async::Waiter<peers::Answer>>(
      co_await asio::this_coro::executor);
  peers::Envelope envelope;
  *envelope.mutable_forward() = ToForward(call, now);
  const std::uint64_t correlation_id = this->services.transport->Request(
      daemon.id, std::move(envelope), left + kAnswerGrace,
      [waiter](peers::Answer answer) { waiter->Deliver(std::move(answer)); });
  const io::async::CancellationCallback on_cancel(
      cancellation, [this, waiter, correlation_id, id = daemon.id] {
        peers::Envelope cancel;
        cancel.mutable_cancel();
        this->services.transport->SendAbout(id, correlation_id,
                                            std::move(cancel));
        waiter->Deliver(peers::Answer{.kind = peers::AnswerKind::kLost});
      });
  const auto answer = co_await waiter->Wait(left + 2 * kAnswerGrace);
  if (answer && answer->kind == peers::AnswerKind::kAnswered) {
    co_return FromForwardAnswer(answer->envelope.forward_answer());
  }
  if (answer && answer->kind == peers::AnswerKind::kNotSent) {
    CallResult result = NotRun(kUnavailable, "the target's daemon is not up");
    result.other_target_may_help = true;
    result.unused_credit = call.retry_credit;
    co_return result;
  }
  const bool is_late = Now() >= call.deadline;
  co_return MayHaveRun(is_late ? kGatewayTimeout : kUnavailable,
                       "handed over, and no whole answer came back");
}

void Router::RecordAttempt(const Call& call, const core::DaemonRef& daemon,
                           const CallResult& result, core::Duration latency) {
  const core::Instant now = Now();
  auto loads = this->services.tables.loads.Lock();
  tables::ObservedTarget& seen = loads->targets[daemon];
  --seen.outstanding;
  loads->levels[call.route_key].Record(result.admission_level, now);
  if (result.outcome == Outcome::kRan) {
    const double average =
        static_cast<double>(seen.recent_latency.count()) *
            (1 - kLatencyWeight) +
        static_cast<double>(latency.count()) * kLatencyWeight;
    seen.recent_latency =
        core::Duration(static_cast<core::Duration::rep>(average));
    loads->budgets[call.service].RecordSuccess();
    return;
  }
  const bool is_unwell =
      result.outcome == Outcome::kMayHaveRun || result.other_target_may_help;
  if (is_unwell) {
    seen.avoided_until = now + kAvoidAfterFailure;
  }
}

}  // namespace lycheewell::daemon::requests
