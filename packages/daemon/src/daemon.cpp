#include "lycheewell/daemon/daemon.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <random>
#include <set>
#include <thread>
#include <vector>

#include "lycheewell/daemon/agreement/caretaker.h"
#include "lycheewell/daemon/agreement/follower.h"
#include "lycheewell/daemon/membership/gossip.h"
#include "lycheewell/daemon/operators/operators_port.h"
#include "lycheewell/daemon/requests/attempt_gate.h"
#include "lycheewell/daemon/requests/dispatcher.h"
#include "lycheewell/daemon/requests/ingress.h"
#include "lycheewell/daemon/requests/router.h"
#include "lycheewell/daemon/requests/token_gate.h"
#include "lycheewell/daemon/services.h"
#include "lycheewell/io/http/server.h"
#include "lycheewell/io/log/http_log.h"

namespace lycheewell::daemon {
namespace asio = boost::asio;
namespace configuration = core::configuration;
namespace http = io::http;

using configuration::commands::ApplyOutcome;

namespace {

// Memory for the connections and requests of operators.
constexpr std::size_t kOperatorsHeldBytes = 8 * 1024 * 1024;

constexpr auto kFastTick = std::chrono::milliseconds(10);
constexpr auto kSlowTick = std::chrono::milliseconds(200);
constexpr auto kDrainPoll = std::chrono::milliseconds(20);

// Callers' servers go on accepting for this long after a drain has begun, so
// that callers that have not heard of it are answered rather than cut.
constexpr auto kDrainNotice = std::chrono::milliseconds(300);

core::DaemonRef MakeSelf(const settings::Settings& settings) {
  const auto now = std::chrono::system_clock::now().time_since_epoch();
  const auto start =
      std::chrono::duration_cast<std::chrono::microseconds>(now).count();
  return {settings.peers_address, static_cast<std::uint64_t>(start)};
}

core::RandomSource MakeRandomSource() {
  return [] {
    thread_local std::mt19937_64 generator{std::random_device{}()};
    return generator();
  };
}

}  // namespace

class Daemon::Parts {
 public:
  explicit Parts(settings::Settings new_settings)
      : settings(std::move(new_settings)),
        self(MakeSelf(this->settings)),
        events(this->settings.logging),
        tables(this->self, MakeRandomSource()),
        services{.settings = this->settings,
                 .context = this->context,
                 .self = this->self,
                 .random = MakeRandomSource(),
                 .events = this->events,
                 .metrics = this->metrics,
                 .tables = this->tables,
                 .http_client = std::make_shared<http::Client>(this->context)},
        follower(this->services),
        caretaker(this->services, this->follower),
        gossip(this->services, this->follower),
        attempts(this->services),
        tokens(this->services),
        dispatcher(this->services, this->DispatcherHooks()),
        router(this->services, this->dispatcher, this->attempts),
        ingress(this->services, this->router, this->dispatcher, this->tokens,
                this->IngressHooks()),
        operators_port({.services = this->services,
                        .follower = this->follower,
                        .gossip = this->gossip,
                        .dispatcher = this->dispatcher},
                       this->faults) {
    this->services.log = io::log::MakeHttpLog(
        this->services.http_client, {.address = this->settings.log.address,
                                     .timeout = this->settings.log.timeout});
    this->tables.configuration.SetFoldHook(
        [this](const configuration::State& state, core::Offset offset,
               const configuration::Record* record,
               const configuration::commands::ApplyResult& result) {
          this->OnFold(state, offset, record, result);
        });
    this->transport =
        std::make_unique<peers::Transport>(peers::Transport::Options{
            .bind_address = this->settings.peers_address,
            .fleet_key = {this->settings.fleet.public_key,
                          this->settings.fleet.secret_key},
            .on_message =
                [this](peers::Incoming message) {
                  this->OnMessage(std::move(message));
                },
            .on_bad_message =
                [this](std::string_view reason) {
                  this->metrics.Count(metrics::Counter::kBadPeerMessages);
                  this->events.Write(events::Event::kBadPeerMessage,
                                     {{"reason", reason}});
                },
            .fault = this->settings.test_faults
                         ? [this](const std::string&
                                      peer) { return this->FaultFor(peer); }
                         : std::function<peers::Fault(const std::string&)>{}});
    this->services.transport = this->transport.get();
    this->transport_is_set = true;
    this->MakeServers();
  }

  ~Parts() {
    this->Stop();
    this->transport->Stop();
    this->services.http_client->CloseIdle();
  }

  void Run() {
    this->events.Write(events::Event::kStarted,
                       {{"daemon", this->services.self.id},
                        {"data_centre", this->settings.data_centre}});
    this->Spawn(this->follower.Run());
    this->Spawn(this->caretaker.Run());
    this->Spawn(this->TickFast());
    this->Spawn(this->TickSlowly());
    this->Spawn(this->ReportReady());
    this->callers_server->Start();
    this->operators_server->Start();
    this->local_server->Start();
    std::vector<std::thread> workers;
    for (std::uint64_t index = 1; index < this->settings.workers; ++index) {
      workers.emplace_back([this] { this->context.run(); });
    }
    this->context.run();
    for (std::thread& worker : workers) {
      worker.join();
    }
    this->events.Write(events::Event::kStopped,
                       {{"daemon", this->services.self.id}});
  }

  void BeginDrain() {
    if (this->draining.exchange(true)) {
      return;
    }
    this->Spawn(this->Drain());
  }

  void Stop() {
    this->follower.Stop();
    this->caretaker.Stop();
    this->context.stop();
  }

 private:
  template <typename Awaitable>
  void Spawn(Awaitable awaitable) {
    asio::co_spawn(this->context, std::move(awaitable), asio::detached);
  }

  requests::Dispatcher::Hooks DispatcherHooks() {
    return {.on_finished =
                [this](const requests::Call& call,
                       const requests::CallResult& result) {
                  this->attempts.Finish(call, result);
                },
            .on_crash =
                [this](const std::vector<std::string>& fingerprints) {
                  this->MarkCrashed(fingerprints);
                },
            .on_cleared =
                [this](const std::string& fingerprint) {
                  this->ClearMark(fingerprint);
                }};
  }

  requests::Ingress::Hooks IngressHooks() {
    return {.is_ready = [this] { return this->follower.IsReady(); },
            .on_new_service =
                [this](const std::string& service) {
                  this->caretaker.SetService(service);
                },
            .on_target_drain = [this] { this->gossip.BeginDrain(); }};
  }

  void MakeServers() {
    const auto on_bad_request = [this](std::string_view reason) {
      this->metrics.Count(metrics::Counter::kBadHttpRequests);
      this->events.Write(events::Event::kBadHttpRequest, {{"reason", reason}});
    };
    const auto on_closed = [this](const http::ClosedConnection& closed) {
      this->metrics.Count(metrics::Counter::kConnectionsCut);
      this->events.Write(
          events::Event::kConnectionCut,
          {{"reason", closed.reason}, {"address", closed.address}});
    };
    http::ServerOptions options{
        .address = this->settings.callers_address,
        .body_limit = this->settings.limits.body_bytes,
        .header_limit = this->settings.limits.header_bytes,
        .on_bad_request = on_bad_request,
        .held = std::make_shared<http::SharedHeldMemory>(
            this->settings.limits.held_bytes),
        .on_closed = on_closed};
    this->callers_server = std::make_unique<http::Server>(
        this->context, options,
        [this](http::Request request,
               io::async::CancellationPointer cancellation) {
          return this->ingress.HandleCaller(std::move(request),
                                            std::move(cancellation));
        });
    options.address = this->settings.local_address;
    this->local_server = std::make_unique<http::Server>(
        this->context, options,
        [this](http::Request request,
               io::async::CancellationPointer cancellation) {
          return this->ingress.HandleLocal(std::move(request),
                                           std::move(cancellation));
        });
    options.address = this->settings.operators_address;
    // Operators get through while callers take all of their part.
    options.held =
        std::make_shared<http::SharedHeldMemory>(kOperatorsHeldBytes);
    this->operators_server = std::make_unique<http::Server>(
        this->context, options,
        [this](http::Request request,
               io::async::CancellationPointer cancellation) {
          return this->operators_port.Handle(std::move(request),
                                             std::move(cancellation));
        });
  }

  asio::awaitable<void> Pause(core::Duration duration) {
    asio::steady_timer timer(co_await asio::this_coro::executor, duration);
    co_await timer.async_wait(asio::use_awaitable);
  }

  asio::awaitable<void> ReportReady() {
    while (!this->follower.IsReady()) {
      co_await this->Pause(kDrainPoll);
    }
    this->events.Write(
        events::Event::kReady,
        {{"daemon", this->services.self.id},
         {"offset", std::to_string(this->tables.configuration.next())}});
  }

  asio::awaitable<void> TickFast() {
    while (true) {
      co_await this->Pause(kFastTick);
      this->gossip.Tick();
      this->tokens.Tick();
    }
  }

  asio::awaitable<void> TickSlowly() {
    while (true) {
      co_await this->Pause(kSlowTick);
      this->attempts.FetchMissing();
      this->tables.crashes.Lock()->Expire(Now());
    }
  }

  asio::awaitable<void> Drain() {
    this->events.Write(events::Event::kDrainBegun,
                       {{"daemon", this->services.self.id}});
    const core::Instant deadline = Now() + this->settings.drain_timeout;
    this->dispatcher.BeginDrain();
    this->gossip.BeginDrain();
    co_await this->Pause(kDrainNotice);
    this->callers_server->BeginStop();
    while (Now() < deadline && !this->IsIdle()) {
      co_await this->Pause(kDrainPoll);
    }
    co_await this->caretaker.Leave(deadline);
    // Stays a moment: others fetch attempt records that this daemon holds.
    co_await this->Pause(std::min<core::Duration>(
        kSlowTick * 3, std::max(core::Duration{}, deadline - Now())));
    this->Stop();
  }

  bool IsIdle() {
    return this->dispatcher.IsIdle() && this->ingress.InFlight() == 0;
  }

  void OnFold(const configuration::State& state, core::Offset offset,
              const configuration::Record* record,
              const configuration::commands::ApplyResult& result) {
    const bool jumped = result.outcome == ApplyOutcome::kSnapshotAdopted;
    if (jumped) {
      this->tables.attempts.Lock()->ApplySnapshot(state);
    } else if (record != nullptr && ChangesMembers(*record)) {
      this->tables.attempts.Lock()->ApplyMembers(state, Now());
    }
    this->gossip.ApplyConfiguration(state);
    this->tokens.ApplyConfiguration(state);
    if (state.objects.contains(
            configuration::TargetObject(this->services.self.id))) {
      this->dispatcher.BeginDrain();
    }
    this->ReportFold(offset, record, result);
  }

  // Whether the record can change attempt groups, or which members have ended.
  static bool ChangesMembers(const configuration::Record& record) {
    return std::holds_alternative<configuration::MemberJoined>(record) ||
           std::holds_alternative<configuration::MemberLeft>(record) ||
           std::holds_alternative<configuration::ChangeRecord>(record);
  }

  void ReportFold(core::Offset offset, const configuration::Record* record,
                  const configuration::commands::ApplyResult& result) {
    const std::string at = std::to_string(offset);
    const bool is_change =
        record != nullptr &&
        !std::holds_alternative<configuration::SnapshotWritten>(*record);
    switch (result.outcome) {
      case ApplyOutcome::kApplied:
        this->events.Write(events::Event::kRecordApplied,
                           {{"offset", at}, {"detail", result.detail}});
        return;
      case ApplyOutcome::kRejected:
        this->events.Write(events::Event::kRecordRejected,
                           {{"offset", at}, {"detail", result.detail}});
        return;
      case ApplyOutcome::kUnreadable:
        this->metrics.Count(metrics::Counter::kUnreadableRecords);
        this->events.Write(events::Event::kRecordUnreadable,
                           {{"offset", at}, {"detail", result.detail}});
        return;
      case ApplyOutcome::kSnapshotMismatch:
        this->events.Write(events::Event::kSnapshotMismatch, {{"offset", at}});
        return;
      case ApplyOutcome::kSnapshotAdopted:
        this->events.Write(events::Event::kSnapshotAdopted, {{"offset", at}});
        return;
      case ApplyOutcome::kIgnored:
        if (is_change) {
          this->events.Write(events::Event::kRecordRejected,
                             {{"offset", at}, {"detail", result.detail}});
        }
        return;
      case ApplyOutcome::kSnapshotMatches:
      case ApplyOutcome::kAlreadyProcessed:
      case ApplyOutcome::kGap:
        return;
    }
  }

  peers::Fault FaultFor(const std::string& peer) {
    auto table = this->faults.Lock();
    auto found = table->find(peer);
    if (found == table->end()) {
      found = table->find("*");
    }
    return found == table->end() ? peers::Fault{} : found->second;
  }

  void SendToAllLive(const peers::Envelope& envelope) {
    for (const core::DaemonRef& daemon :
         this->tables.membership.Lock()->LiveMembers()) {
      this->transport->Send(daemon.id, envelope);
    }
  }

  void MarkCrashed(const std::vector<std::string>& running) {
    peers::Envelope envelope;
    {
      auto crashes = this->tables.crashes.Lock();
      const auto marked =
          core::quarantine::FingerprintsToMark(running, *crashes, Now());
      // Each crash counts as one target, also when the same one restarts.
      core::DaemonRef target = this->services.self;
      target.incarnation += ++this->crash_count;
      for (const std::string& fingerprint : marked) {
        crashes->Add({fingerprint, target}, Now());
        peers::CrashMark* mark = envelope.mutable_crash_marks()->add_marks();
        mark->set_fingerprint(fingerprint);
        mark->mutable_target()->set_id(target.id);
        mark->mutable_target()->set_incarnation(target.incarnation);
      }
    }
    this->SendToAllLive(envelope);
  }

  void ClearMark(const std::string& fingerprint) {
    this->tables.crashes.Lock()->Clear(fingerprint);
    peers::Envelope envelope;
    envelope.mutable_crash_marks()->add_cleared(fingerprint);
    this->SendToAllLive(envelope);
  }

  void HandleCrashMarks(const peers::CrashMarks& marks) {
    auto crashes = this->tables.crashes.Lock();
    for (const peers::CrashMark& mark : marks.marks()) {
      crashes->Add({mark.fingerprint(),
                    {mark.target().id(), mark.target().incarnation()}},
                   Now());
    }
    for (const std::string& fingerprint : marks.cleared()) {
      crashes->Clear(fingerprint);
    }
  }

  // Runs on the transport's thread.
  void OnMessage(peers::Incoming message) {
    if (!this->transport_is_set) {
      return;
    }
    this->metrics.Count(metrics::Counter::kPeerMessages);
    using peers::Envelope;
    const Envelope& envelope = message.envelope;
    switch (envelope.body_case()) {
      case Envelope::kForward:
        // Known before the next message, which may cancel it.
        (*this->forwards.Lock())[KeyOf(envelope)] =
            std::make_shared<io::async::Cancellation>();
        this->Spawn(this->ServeForward(
            std::make_shared<const peers::Incoming>(std::move(message))));
        return;
      case Envelope::kCancel:
        this->CancelForward(envelope);
        return;
      case Envelope::kPing:
        this->gossip.HandlePing(message);
        return;
      case Envelope::kRecordsRequest:
        this->follower.HandleRequest(message);
        return;
      case Envelope::kRecords:
        this->follower.HandleRecords(envelope.records());
        return;
      case Envelope::kLoanRequest:
        this->tokens.HandleLoanRequest(message);
        return;
      case Envelope::kLoanSettlement:
        this->tokens.HandleSettlement(envelope.loan_settlement());
        return;
      case Envelope::kAttemptProposal:
        this->attempts.HandleProposal(message);
        return;
      case Envelope::kAttemptRelease:
        this->attempts.HandleRelease(envelope.attempt_release());
        return;
      case Envelope::kAttemptFinish:
        this->attempts.HandleFinish(envelope.attempt_finish());
        return;
      case Envelope::kAttemptExportRequest:
        this->attempts.HandleExportRequest(message);
        return;
      case Envelope::kCrashMarks:
        this->HandleCrashMarks(envelope.crash_marks());
        return;
      default:
        return;  // answers arrive through their requests
    }
  }

  using ForwardKey = std::pair<std::string, std::uint64_t>;

  static ForwardKey KeyOf(const peers::Envelope& envelope) {
    return {envelope.sender_address(), envelope.correlation_id()};
  }

  asio::awaitable<void> ServeForward(
      std::shared_ptr<const peers::Incoming> message) {
    const ForwardKey key = KeyOf(message->envelope);
    const io::async::CancellationPointer cancellation =
        this->forwards.Lock()->at(key);
    const requests::Call call =
        requests::FromForward(message->envelope.forward(), Now());
    requests::CallResult result;
    try {
      result = co_await this->dispatcher.Dispatch(call, cancellation);
    } catch (const std::exception& problem) {
      result = requests::MayHaveRun(502, problem.what());
    }
    this->forwards.Lock()->erase(key);
    peers::Envelope envelope;
    *envelope.mutable_forward_answer() = requests::ToForwardAnswer(result);
    this->transport->Reply(*message, std::move(envelope));
  }

  void CancelForward(const peers::Envelope& envelope) {
    io::async::CancellationPointer cancellation;
    {
      auto table = this->forwards.Lock();
      const auto found = table->find(KeyOf(envelope));
      if (found != table->end()) {
        cancellation = found->second;
      }
    }
    if (cancellation) {
      cancellation->Cancel();
    }
  }

  settings::Settings settings;
  core::DaemonRef self;
  events::EventLog events;
  metrics::Metrics metrics;
  tables::Tables tables;
  operators::FaultTable faults;
  tables::Guarded<std::map<ForwardKey, io::async::CancellationPointer>>
      forwards;
  Services services;
  agreement::Follower follower;
  agreement::Caretaker caretaker;
  membership::Gossip gossip;
  requests::AttemptGate attempts;
  requests::TokenGate tokens;
  requests::Dispatcher dispatcher;
  requests::Router router;
  requests::Ingress ingress;
  operators::OperatorsPort operators_port;
  std::atomic<bool> draining = false;
  std::atomic<std::uint64_t> crash_count = 0;
  std::atomic<bool> transport_is_set = false;
  // Destroyed before everything that its unfinished coroutines refer to.
  asio::io_context context;
  std::unique_ptr<peers::Transport> transport;
  std::unique_ptr<http::Server> callers_server;
  std::unique_ptr<http::Server> local_server;
  std::unique_ptr<http::Server> operators_server;
};

Daemon::Daemon(settings::Settings settings)
    : parts(std::make_unique<Parts>(std::move(settings))) {}

Daemon::~Daemon() = default;

void Daemon::Run() { this->parts->Run(); }

void Daemon::BeginDrain() { this->parts->BeginDrain(); }

void Daemon::Stop() { this->parts->Stop(); }

}  // namespace lycheewell::daemon
