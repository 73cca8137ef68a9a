// The callers' port and the local port: who asks, for which account, with what
// limits.
#ifndef LYCHEEWELL_DAEMON_REQUESTS_INGRESS_H_
#define LYCHEEWELL_DAEMON_REQUESTS_INGRESS_H_

#include <atomic>
#include <boost/asio/awaitable.hpp>
#include <functional>
#include <optional>
#include <string>

#include "lycheewell/daemon/requests/call.h"
#include "lycheewell/daemon/requests/dispatcher.h"
#include "lycheewell/daemon/requests/router.h"
#include "lycheewell/daemon/requests/token_gate.h"
#include "lycheewell/daemon/services.h"
#include "lycheewell/io/http/message.h"

namespace lycheewell::daemon::requests {

class Ingress {
 public:
  struct Hooks {
    // Whether this daemon has a configuration to serve by.
    std::function<bool()> is_ready;
    // The target announced a service that is new here.
    std::function<void(const std::string& service)> on_new_service;
    // The target asks to leave.
    std::function<void()> on_target_drain;
  };

  Ingress(Services& services, Router& router, Dispatcher& dispatcher,
          TokenGate& tokens, Hooks hooks);

  // Serves one request of a caller.
  boost::asio::awaitable<std::optional<io::http::Response>> HandleCaller(
      io::http::Request request, io::async::CancellationPointer cancellation);

  // Serves one request of the target beside this daemon: an announcement, or a
  // call to another service on behalf of a request that runs there.
  boost::asio::awaitable<std::optional<io::http::Response>> HandleLocal(
      io::http::Request request, io::async::CancellationPointer cancellation);

  // Requests that are being served now.
  int InFlight() const { return this->in_flight; }

 private:
  struct Identity {
    std::string account;
    std::optional<CallResult> refusal;
  };

  Identity Identify(const io::http::Request& request,
                    const core::configuration::Route& route);
  std::optional<Call> MakeCall(const io::http::Request& request,
                               std::string_view service,
                               const core::configuration::Route& route,
                               const std::string& account);
  boost::asio::awaitable<CallResult> ServeCaller(
      const io::http::Request& request,
      io::async::CancellationPointer cancellation, std::string& request_id);
  boost::asio::awaitable<CallResult> ServeLocalCall(
      const io::http::Request& request,
      io::async::CancellationPointer cancellation, std::string& request_id);
  io::http::Response HandleAnnouncement(const io::http::Request& request);
  core::Duration TimeoutOf(const io::http::Request& request) const;
  void CountResult(const CallResult& result);

  Services& services;
  Router& router;
  Dispatcher& dispatcher;
  TokenGate& tokens;
  Hooks hooks;
  std::atomic<int> in_flight = 0;
};

}  // namespace lycheewell::daemon::requests

#endif  // LYCHEEWELL_DAEMON_REQUESTS_INGRESS_H_
