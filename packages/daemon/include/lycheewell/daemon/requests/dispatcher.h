// Hands requests to the target beside this daemon: concurrency, queue, drain,
// crashes.
#ifndef LYCHEEWELL_DAEMON_REQUESTS_DISPATCHER_H_
#define LYCHEEWELL_DAEMON_REQUESTS_DISPATCHER_H_

#include <boost/asio/awaitable.hpp>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "lycheewell/core/overload/admission_level.h"
#include "lycheewell/core/overload/admission_queue.h"
#include "lycheewell/core/overload/concurrency_limit.h"
#include "lycheewell/daemon/requests/call.h"
#include "lycheewell/daemon/services.h"

namespace lycheewell::daemon::requests {

// What a target says of itself.
struct TargetAnnouncement {
  std::string service;
  std::string address;   // "host:port"
  int slots = 64;        // requests that it can run at once
  std::string instance;  // differs for each start of the target

  bool operator==(const TargetAnnouncement&) const = default;
};

struct DispatcherStatus {
  std::optional<TargetAnnouncement> target;
  bool draining = false;
  int running = 0;
  int limit = 0;
  std::size_t queued = 0;
  int admission_level = 0;
  std::chrono::microseconds latency{0};

  bool operator==(const DispatcherStatus&) const = default;
};

class Dispatcher {
 public:
  struct Hooks {
    // A request with an idempotency key has a whole answer.
    std::function<void(const Call&, const CallResult&)> on_finished;
    // These requests were running at the target when it crashed.
    std::function<void(const std::vector<std::string>& fingerprints)> on_crash;
    // A suspect request ended well.
    std::function<void(const std::string& fingerprint)> on_cleared;
  };

  Dispatcher(Services& services, Hooks hooks);

  // Commands.

  // Returns whether the service is new here.
  bool Announce(const TargetAnnouncement& announcement);

  // From now on every new request is refused as not run.
  void BeginDrain();

  // Runs `call` at the target, or says why not.
  boost::asio::awaitable<CallResult> Dispatch(
      const Call& call, io::async::CancellationPointer cancellation);

  // Queries.

  DispatcherStatus Status();
  bool IsIdle();

 private:
  enum class Turn { kRun, kDisplaced, kExpired, kCancelled };
  using TurnWaiter = io::async::Waiter<Turn>;

  struct Queued {
    std::shared_ptr<TurnWaiter> waiter;
    std::string fingerprint;
  };

  // Gives a running request's place to the next one when it goes.
  class TicketGuard {
   public:
    TicketGuard(Dispatcher& new_dispatcher, std::uint64_t new_ticket)
        : dispatcher(new_dispatcher), ticket(new_ticket) {}
    ~TicketGuard() { this->dispatcher.FinishTicket(this->ticket); }

    TicketGuard(const TicketGuard&) = delete;
    TicketGuard& operator=(const TicketGuard&) = delete;

   private:
    Dispatcher& dispatcher;
    std::uint64_t ticket;
  };

  struct State {
    std::optional<TargetAnnouncement> target;
    std::optional<core::overload::ConcurrencyLimit> limit;
    core::overload::AdmissionQueue queue;
    core::overload::AdmissionLevel level{core::Instant{}};
    std::map<std::string, core::overload::ReportedLevel> route_levels;
    std::map<std::uint64_t, std::string> running;  // ticket -> fingerprint
    std::map<std::uint64_t, Queued> waiting;       // by ticket
    std::uint64_t next_ticket = 1;
    bool draining = false;
    bool suspect_is_running = false;
    std::deque<std::shared_ptr<io::async::Waiter<bool>>> suspects;
    // Requests that ran when the first connection of the instance broke.
    std::vector<std::string> running_at_break;
    core::Instant broken_at;
    bool break_is_open = false;
  };

  boost::asio::awaitable<CallResult> RunInTurn(
      const Call& call, io::async::CancellationPointer cancellation);
  boost::asio::awaitable<CallResult> RunAtTarget(
      const Call& call, const TargetAnnouncement& target, std::uint64_t ticket,
      io::async::CancellationPointer cancellation);
  boost::asio::awaitable<bool> EnterSuspect(const Call& call);
  void LeaveSuspect();
  boost::asio::awaitable<void> ExamineBreak(const TargetAnnouncement& target);

  std::optional<CallResult> RefuseAtOnce(State& state, const Call& call);
  void StartNext(State& state);
  void FinishTicket(std::uint64_t ticket);
  void ConfirmCrash(State& state);
  int LevelFor(State& state, const std::string& route_key, core::Instant now);
  io::http::Request MakeRequest(const Call& call,
                                const std::string& handle) const;

  Services& services;
  Hooks hooks;
  // In the lock order after the configuration, before the other tables.
  tables::Guarded<State> state;
};

}  // namespace lycheewell::daemon::requests

#endif  // LYCHEEWELL_DAEMON_REQUESTS_DISPATCHER_H_
