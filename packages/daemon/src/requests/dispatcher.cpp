#include "lycheewell/daemon/requests/dispatcher.h"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>

#include "lycheewell/core/digest.h"

namespace lycheewell::daemon::requests {
namespace asio = boost::asio;
namespace http = io::http;

using core::overload::QueueEntry;
using io::http::ExchangeError;
using io::http::ExchangeErrorKind;

namespace {

constexpr int kUnavailable = 503;
constexpr int kGatewayTimeout = 504;
constexpr int kBadGateway = 502;
constexpr std::size_t kLeastQueueRoom = 4;
constexpr std::size_t kHandleBytes = 16;
constexpr auto kShedRetryAfter = std::chrono::milliseconds(1000);

// A broken connection and a restart this close together are one crash.
constexpr auto kCrashWindow = std::chrono::seconds(5);
constexpr auto kSecondConnectAfter = std::chrono::milliseconds(50);

CallResult RefuseElsewhere(std::string reason) {
  CallResult result = NotRun(kUnavailable, std::move(reason));
  result.other_target_may_help = true;
  return result;
}

CallResult Shed(std::string reason, int level) {
  CallResult result = NotRun(kUnavailable, std::move(reason));
  result.admission_level = level;
  result.retry_after = kShedRetryAfter;
  return result;
}

CallResult TurnExchangeError(const ExchangeError& error) {
  switch (error.kind) {
    case ExchangeErrorKind::kNotConnected:
      return RefuseElsewhere("the target accepts no connection");
    case ExchangeErrorKind::kTimeout:
      return MayHaveRun(kGatewayTimeout, "no whole answer before the deadline");
    case ExchangeErrorKind::kTooLarge:
      return MayHaveRun(kBadGateway, "the target's answer is too large");
    case ExchangeErrorKind::kBroken:
      return MayHaveRun(kBadGateway,
                        "the target's connection ended before a whole answer");
    case ExchangeErrorKind::kCancelled:
      break;
  }
  return MayHaveRun(kGatewayTimeout, "the caller went away");
}

CallResult TurnResponse(http::Response response) {
  CallResult result{.outcome = Outcome::kRan,
                    .status = static_cast<int>(response.result_int())};
  for (const auto& field : response) {
    const std::string name(http::View(field.name_string()));
    if (!IsHopByHop(name)) {
      result.headers.push_back({name, std::string(http::View(field.value()))});
    }
  }
  result.body = std::move(response.body());
  return result;
}

}  // namespace

Dispatcher::Dispatcher(Services& new_services, Hooks new_hooks)
    : services(new_services), hooks(std::move(new_hooks)) {}

bool Dispatcher::Announce(const TargetAnnouncement& announcement) {
  auto locked = this->state.Lock();
  const bool is_same = locked->target == announcement;
  if (is_same) {
    return false;
  }
  const bool service_is_new =
      !locked->target || locked->target->service != announcement.service;
  const bool instance_is_new =
      !locked->target || locked->target->instance != announcement.instance;
  if (instance_is_new) {
    const bool just_broke =
        locked->break_is_open && Now() - locked->broken_at < kCrashWindow;
    if (just_broke) {
      this->ConfirmCrash(*locked);
    }
    locked->limit.emplace(
        core::overload::ConcurrencyLimit::Options{.max_limit =
                                                      announcement.slots},
        Now());
  }
  locked->target = announcement;
  this->services.events.Write(events::Event::kTargetAnnounced,
                              {{"service", announcement.service},
                               {"address", announcement.address},
                               {"instance", announcement.instance}});
  return service_is_new;
}

void Dispatcher::BeginDrain() {
  {
    auto locked = this->state.Lock();
    if (locked->draining) {
      return;
    }
    locked->draining = true;
  }
  this->services.events.Write(events::Event::kTargetDraining,
                              {{"daemon", this->services.self.id}});
}

asio::awaitable<CallResult> Dispatcher::Dispatch(
    const Call& call, io::async::CancellationPointer cancellation) {
  this->services.metrics.Count(metrics::Counter::kDispatches);
  const auto standing =
      this->services.tables.crashes.Lock()->StatusOf(call.fingerprint, Now());
  using core::quarantine::QuarantineStatus;
  if (standing == QuarantineStatus::kQuarantined) {
    co_return NotRun(422, "this request crashed two targets and is refused");
  }
  if (standing == QuarantineStatus::kClear) {
    co_return co_await this->RunInTurn(call, cancellation);
  }
  const bool entered = co_await this->EnterSuspect(call);
  if (!entered) {
    co_return RefuseElsewhere("waited too long for another suspect request");
  }
  CallResult result = co_await this->RunInTurn(call, cancellation);
  this->LeaveSuspect();
  if (result.outcome == Outcome::kRan) {
    this->hooks.on_cleared(call.fingerprint);
  }
  co_return result;
}

asio::awaitable<bool> Dispatcher::EnterSuspect(const Call& call) {
  auto waiter = std::make_shared<io::async::Waiter<bool>>(
      co_await asio::this_coro::executor);
  {
    auto locked = this->state.Lock();
    if (!locked->suspect_is_running) {
      locked->suspect_is_running = true;
      co_return true;
    }
    locked->suspects.push_back(waiter);
  }
  const auto turn = co_await waiter->Wait(call.deadline - Now());
  if (turn) {
    co_return true;
  }
  auto locked = this->state.Lock();
  const auto removed = std::erase(locked->suspects, waiter);
  co_return removed == 0;  // the turn came together with the timeout
}

void Dispatcher::LeaveSuspect() {
  auto locked = this->state.Lock();
  if (locked->suspects.empty()) {
    locked->suspect_is_running = false;
    return;
  }
  locked->suspects.front()->Deliver(true);
  locked->suspects.pop_front();
}

std::optional<CallResult> Dispatcher::RefuseAtOnce(State& state,
                                                   const Call& call) {
  const core::Instant now = Now();
  if (state.draining) {
    return RefuseElsewhere("the target is leaving");
  }
  if (!state.target || state.target->service != call.service) {
    return RefuseElsewhere("no target of this service runs here");
  }
  if (call.deadline <= now) {
    return NotRun(kGatewayTimeout, "the deadline passed before the start");
  }
  const int level = this->LevelFor(state, call.route_key, now);
  if (call.rank < level) {
    return Shed("shed under overload", level);
  }
  return std::nullopt;
}

int Dispatcher::LevelFor(State& state, const std::string& route_key,
                         core::Instant now) {
  if (state.queue.size() == 0) {
    state.level.Observe(core::Duration{}, now);
  }
  const auto heard = state.route_levels.find(route_key);
  const int deeper =
      heard == state.route_levels.end() ? 0 : heard->second.LevelAt(now);
  return std::max(state.level.level(), deeper);
}

asio::awaitable<CallResult> Dispatcher::RunInTurn(
    const Call& call, io::async::CancellationPointer cancellation) {
  auto waiter =
      std::make_shared<TurnWaiter>(co_await asio::this_coro::executor);
  std::uint64_t ticket = 0;
  bool starts_now = false;
  TargetAnnouncement target;
  std::shared_ptr<TurnWaiter> displaced;
  {
    auto locked = this->state.Lock();
    auto refusal = this->RefuseAtOnce(*locked, call);
    if (refusal) {
      co_return *refusal;
    }
    target = *locked->target;
    ticket = locked->next_ticket++;
    const int limit = locked->limit->limit();
    const auto running = static_cast<int>(locked->running.size());
    if (running < limit && locked->queue.size() == 0) {
      locked->running.emplace(ticket, call.fingerprint);
      starts_now = true;
    } else {
      const std::size_t room =
          std::max(kLeastQueueRoom, static_cast<std::size_t>(limit));
      const auto offer = locked->queue.Offer({.ticket = ticket,
                                              .importance = call.importance,
                                              .account = call.account,
                                              .rank = call.rank,
                                              .enqueued_at = Now(),
                                              .deadline = call.deadline},
                                             room);
      locked->level.Observe(locked->queue.OldestWait(Now()), Now());
      if (!offer.accepted) {
        const int level = this->LevelFor(*locked, call.route_key, Now());
        CallResult result = Shed("the target's queue is full", level);
        result.other_target_may_help = true;
        co_return result;
      }
      locked->waiting.emplace(ticket, Queued{waiter, call.fingerprint});
      if (offer.displaced) {
        const auto found = locked->waiting.find(offer.displaced->ticket);
        displaced = found->second.waiter;
        locked->waiting.erase(found);
      }
    }
  }
  if (displaced) {
    displaced->Deliver(Turn::kDisplaced);
  }
  if (!starts_now) {
    const io::async::CancellationCallback on_cancel(
        cancellation, [waiter] { waiter->Deliver(Turn::kCancelled); });
    const auto turn = co_await waiter->Wait(call.deadline - Now());
    if (turn != Turn::kRun) {
      auto locked = this->state.Lock();
      locked->queue.Remove(ticket);
      locked->waiting.erase(ticket);
      const bool was_started = locked->running.contains(ticket);
      if (was_started) {  // the turn came together with the end of the wait
        locked->running.erase(ticket);
        this->StartNext(*locked);
      }
      const int level = this->LevelFor(*locked, call.route_key, Now());
      if (turn == Turn::kDisplaced) {
        co_return Shed("displaced by a more important request", level);
      }
      if (turn == Turn::kCancelled) {
        co_return NotRun(kGatewayTimeout, "the caller went away");
      }
      co_return NotRun(kGatewayTimeout, "the deadline passed in the queue");
    }
  }
  const TicketGuard guard(*this, ticket);
  co_return co_await this->RunAtTarget(call, target, ticket, cancellation);
}

http::Request Dispatcher::MakeRequest(const Call& call,
                                      const std::string& handle) const {
  constexpr unsigned kHttpVersion = 11;
  http::Request request;
  request.version(kHttpVersion);
  request.method_string(call.method);
  request.target(call.target);
  for (const HeaderField& header : call.headers) {
    request.insert(header.name, header.value);
  }
  const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(
      call.deadline - Now());
  request.set(std::string(kContextHeader), handle);
  request.set(std::string(kRequestIdHeader), call.request_id);
  request.set(std::string(kTimeoutHeader), std::to_string(left.count()));
  request.set(std::string(kAccountHeader), call.account);
  request.body() = call.body;
  return request;
}

asio::awaitable<CallResult> Dispatcher::RunAtTarget(
    const Call& call, const TargetAnnouncement& target, std::uint64_t ticket,
    io::async::CancellationPointer cancellation) {
  const core::Instant started = Now();
  if (call.deadline <= started) {
    co_return NotRun(kGatewayTimeout, "the deadline passed before the start");
  }
  if (cancellation && cancellation->IsCancelled()) {
    co_return NotRun(kGatewayTimeout, "the caller went away");
  }
  const std::string handle = core::RandomHex(kHandleBytes);
  this->services.tables.running.Lock()->emplace(
      handle, tables::RunningRequest{
                  .request_id = call.request_id,
                  .account = call.account,
                  .importance = call.importance,
                  .rank = call.rank,
                  .deadline = call.deadline,
                  .credit = core::retry::RetryCredit(call.retry_credit),
                  .cancellation = cancellation});
  const http::ExchangeOptions options{.address = target.address,
                                      .timeout = call.deadline - started,
                                      .cancellation = cancellation};
  auto exchange = co_await this->services.http_client->Exchange(
      this->MakeRequest(call, handle), options);
  const core::Instant ended = Now();
  int unused_credit = 0;
  int deeper_level = 0;
  {
    auto running = this->services.tables.running.Lock();
    const auto found = running->find(handle);
    unused_credit = found->second.credit.remaining();
    deeper_level = found->second.refused_at_level;
    running->erase(found);
  }
  CallResult result;
  const auto* error = std::get_if<ExchangeError>(&exchange);
  if (error != nullptr) {
    result = TurnExchangeError(*error);
  } else {
    result = TurnResponse(std::move(std::get<http::Response>(exchange)));
  }
  const bool is_broken =
      error != nullptr && (error->kind == ExchangeErrorKind::kBroken ||
                           error->kind == ExchangeErrorKind::kNotConnected);
  {
    auto locked = this->state.Lock();
    if (locked->limit && error == nullptr) {
      locked->limit->RecordCompletion(
          ended - started, static_cast<int>(locked->running.size()), ended);
    }
    if (locked->limit && (error != nullptr || result.status == kUnavailable)) {
      locked->limit->RecordRefusal(ended);
    }
    if (deeper_level > 0) {
      locked->route_levels[call.route_key].Record(deeper_level, ended);
    }
    result.admission_level = this->LevelFor(*locked, call.route_key, ended);
    const bool first_break = is_broken && !locked->break_is_open &&
                             locked->target &&
                             locked->target->instance == target.instance;
    if (first_break) {
      locked->break_is_open = true;
      locked->broken_at = ended;
      locked->running_at_break.clear();
      for (const auto& [other, fingerprint] : locked->running) {
        const bool never_sent =
            other == ticket && error->kind == ExchangeErrorKind::kNotConnected;
        if (!never_sent) {
          locked->running_at_break.push_back(fingerprint);
        }
      }
    }
  }
  if (is_broken) {
    co_await this->ExamineBreak(target);
  }
  result.unused_credit = unused_credit;
  if (result.outcome == Outcome::kRan && !call.idempotency_key.empty()) {
    this->hooks.on_finished(call, result);
  }
  co_return result;
}

// Finds out whether a broken connection was the target's crash.
asio::awaitable<void> Dispatcher::ExamineBreak(
    const TargetAnnouncement& target) {
  bool is_up = co_await this->services.http_client->CanConnect(target.address);
  if (is_up) {
    asio::steady_timer timer(co_await asio::this_coro::executor,
                             kSecondConnectAfter);
    co_await timer.async_wait(asio::use_awaitable);
    is_up = co_await this->services.http_client->CanConnect(target.address);
  }
  auto locked = this->state.Lock();
  const bool same_instance =
      locked->target && locked->target->instance == target.instance;
  if (!locked->break_is_open || !same_instance) {
    co_return;
  }
  if (is_up) {
    // Left open for a while: the target may have restarted within a moment,
    // which its next announcement tells.
    const bool is_old = Now() - locked->broken_at >= kCrashWindow;
    locked->break_is_open = !is_old;
    co_return;
  }
  this->ConfirmCrash(*locked);
  locked->target.reset();
}

void Dispatcher::ConfirmCrash(State& crashed) {
  crashed.break_is_open = false;
  this->services.metrics.Count(metrics::Counter::kTargetCrashes);
  this->services.events.Write(
      events::Event::kTargetCrashed,
      {{"daemon", this->services.self.id},
       {"running", std::to_string(crashed.running_at_break.size())}});
  const std::vector<std::string> fingerprints =
      std::move(crashed.running_at_break);
  crashed.running_at_break.clear();
  if (!fingerprints.empty()) {
    this->hooks.on_crash(fingerprints);
  }
}

void Dispatcher::StartNext(State& current) {
  if (!current.limit) {
    return;
  }
  const core::Instant now = Now();
  current.level.Observe(current.queue.OldestWait(now), now);
  while (static_cast<int>(current.running.size()) < current.limit->limit()) {
    const auto popped = current.queue.Pop(now);
    for (const QueueEntry& expired : popped.expired) {
      const auto found = current.waiting.find(expired.ticket);
      found->second.waiter->Deliver(Turn::kExpired);
      current.waiting.erase(found);
    }
    if (!popped.next) {
      return;
    }
    const auto found = current.waiting.find(popped.next->ticket);
    current.running.emplace(popped.next->ticket, found->second.fingerprint);
    found->second.waiter->Deliver(Turn::kRun);
    current.waiting.erase(found);
  }
}

void Dispatcher::FinishTicket(std::uint64_t ticket) {
  auto locked = this->state.Lock();
  locked->running.erase(ticket);
  this->StartNext(*locked);
}

DispatcherStatus Dispatcher::Status() {
  auto locked = this->state.Lock();
  DispatcherStatus status{.target = locked->target,
                          .draining = locked->draining,
                          .running = static_cast<int>(locked->running.size()),
                          .queued = locked->queue.size(),
                          .admission_level = locked->level.level()};
  if (locked->limit) {
    status.limit = locked->limit->limit();
    status.latency = std::chrono::duration_cast<std::chrono::microseconds>(
        locked->limit->mean_latency());
  }
  return status;
}

bool Dispatcher::IsIdle() {
  auto locked = this->state.Lock();
  return locked->running.empty() && locked->queue.size() == 0;
}

}  // namespace lycheewell::daemon::requests
