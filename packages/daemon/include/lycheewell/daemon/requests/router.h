// Takes a request to a target: refuses what cannot be served, chooses targets,
// forwards, and retries within the request's credit.
#ifndef LYCHEEWELL_DAEMON_REQUESTS_ROUTER_H_
#define LYCHEEWELL_DAEMON_REQUESTS_ROUTER_H_

#include <atomic>
#include <boost/asio/awaitable.hpp>
#include <set>
#include <string>

#include "lycheewell/core/retry/retry_policy.h"
#include "lycheewell/daemon/requests/attempt_gate.h"
#include "lycheewell/daemon/requests/call.h"
#include "lycheewell/daemon/requests/dispatcher.h"
#include "lycheewell/daemon/services.h"

namespace lycheewell::daemon::requests {

class Router {
 public:
  Router(Services& services, Dispatcher& dispatcher, AttemptGate& attempts);

  // Runs `call` and returns its final result, with the credit it left over.
  boost::asio::awaitable<CallResult> Route(
      Call& call, io::async::CancellationPointer cancellation);

 private:
  struct Choice {
    core::DaemonRef daemon;
    bool is_local = false;
  };

  std::optional<CallResult> RefuseEarly(const Call& call);
  std::optional<Choice> Choose(const Call& call,
                               const std::set<core::DaemonRef>& tried);
  boost::asio::awaitable<CallResult> Attempt(
      const Call& call, const Choice& choice,
      io::async::CancellationPointer cancellation);
  boost::asio::awaitable<CallResult> Forward(
      const Call& call, const core::DaemonRef& daemon,
      io::async::CancellationPointer cancellation);
  boost::asio::awaitable<CallResult> RouteAttempts(
      Call& call, io::async::CancellationPointer cancellation);
  bool MayRetry(const Call& call, const CallResult& result,
                core::retry::RetryCredit& credit);
  void RecordAttempt(const Call& call, const core::DaemonRef& daemon,
                     const CallResult& result, core::Duration latency);

  Services& services;
  Dispatcher& dispatcher;
  AttemptGate& attempts;
};

}  // namespace lycheewell::daemon::requests

#endif  // LYCHEEWELL_DAEMON_REQUESTS_ROUTER_H_
