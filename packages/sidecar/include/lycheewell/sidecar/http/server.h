// HTTP/1.1 server on the event loop, for clients and targets.
#ifndef LYCHEEWELL_SIDECAR_HTTP_SERVER_H_
#define LYCHEEWELL_SIDECAR_HTTP_SERVER_H_

#include <array>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>

#include "lycheewell/core/overload/connection_admission.h"
#include "lycheewell/core/overload/held_memory.h"
#include "lycheewell/core/types.h"
#include "lycheewell/io/http/message.h"
#include "lycheewell/sidecar/http/byte_budget.h"
#include "lycheewell/sidecar/http/waiting_connections.h"
#include "lycheewell/sidecar/timer_queue.h"

namespace lycheewell::sidecar::http {

class ServerConnection;

// An answer; Content-Length and Connection are added when it is sent.
struct Answer {
  unsigned status = 200;
  std::string header_lines;  // "Name: value\r\n" each
  std::string body;
  bool closes = false;

  bool operator==(const Answer&) const = default;
};

// A request and the means to answer it.
class ServerExchange {
 public:
  ServerExchange(std::weak_ptr<ServerConnection> connection,
                 io::http::Request request, core::Instant began_at,
                 std::unique_ptr<BodyAllowance> body_allowance);

  // Commands.

  // Sends the answer. Calls after the first one have no effect.
  void Send(const Answer& answer);

  // Sets the action to run if the client disconnects before the answer is sent.
  void OnDisconnect(std::function<void()> action) {
    this->on_disconnect = std::move(action);
  }

  // Queries.

  const io::http::Request& request() const { return this->message; }
  io::http::Request& request() { return this->message; }
  // When the first bytes of the request were read.
  core::Instant began_at() const { return this->first_read_at; }
  bool is_answered() const { return this->answered; }

 private:
  friend class ServerConnection;
  std::weak_ptr<ServerConnection> connection;
  io::http::Request message;
  core::Instant first_read_at;
  std::unique_ptr<BodyAllowance> body_allowance;
  std::function<void()> on_disconnect;
  bool answered = false;
};

using ExchangePointer = std::shared_ptr<ServerExchange>;

struct ServerLimits {
  std::uint32_t header_bytes = 16 * 1024;
  std::uint64_t body_bytes = 1024 * 1024;
  core::Duration header_timeout = std::chrono::seconds(3);
  core::Duration idle_timeout = std::chrono::seconds(15);

  bool operator==(const ServerLimits&) const = default;
};

// A connection that could not be accepted, for example for lack of a file
// descriptor.
struct AcceptFailure {
  std::string detail;
  // Connections that the server holds, and those of them without a request.
  std::size_t open_connections = 0;
  std::size_t idle_connections = 0;

  bool operator==(const AcceptFailure&) const = default;
};

// A connection that was closed because of what it held.
struct ConnectionCut {
  std::string_view reason;
  std::string address;  // of the client
  std::size_t held_bytes = 0;

  bool operator==(const ConnectionCut&) const = default;
};

using HeldMemoryPointer = std::shared_ptr<core::overload::HeldMemory>;

struct ServerOptions {
  boost::asio::ip::tcp::endpoint endpoint;
  std::function<void(ExchangePointer)> handler;
  // Called for each request, so that limits can change.
  std::function<ServerLimits()> limits;
  // Called for requests that the server rejects without calling the handler.
  std::function<void(unsigned status, std::string_view reason)> on_bad_request;
  // Called when a connection could not be accepted; it is tried again.
  std::function<void(const AcceptFailure&)> on_accept_failure;
  // Bounds of the open connections, called for each new one. Null: no bound.
  std::function<core::overload::ConnectionBounds()> connection_bounds;
  // Time within which a request with this head must be answered; if its body
  // has not arrived by then, it is refused. Null: no such limit.
  std::function<core::Duration(const io::http::Request& head)> time_limit;
  // Whether requests are read late, so that their clients may have left before.
  // Null: never.
  std::function<bool()> is_behind;
  // Bounds the bodies of all requests that have not been answered; null: no
  // bound.
  ByteBudgetPointer body_budget;
  // Bounds what connections hold, together with those of all servers that share
  // it; null: no bound.
  HeldMemoryPointer held;
  // Whether the server goes on while clients' requests are refused for lack of
  // memory.
  bool is_essential = false;
  std::function<void(const ConnectionCut&)> on_cut;
};

class Server {
 public:
  // Most bytes that are read from a connection at once.
  static constexpr std::size_t kReadSize = 8 * 1024;

  // Binds the endpoint; throws boost::system::system_error on failure.
  Server(boost::asio::io_context& context, TimerQueue& timers,
         ServerOptions options);

  // Commands.

  void Start();

  // Closes each connection after its next answer.
  void BeginDrain() { this->draining = true; }

  // Serves the connections that the kernel has accepted, stops accepting new
  // ones and closes those that are idle. May be called again.
  void Close();

  // Queries.

  bool is_draining() const { return this->draining; }
  std::size_t connection_count() const { return this->connections.size(); }
  // Connections without a request.
  std::size_t idle_connection_count() const { return this->idle.size(); }

 private:
  friend class ServerConnection;
  void Accept();
  void AddConnection(boost::asio::ip::tcp::socket socket);
  core::overload::ConnectionBounds Bounds() const;
  core::overload::ConnectionDecision Decide(std::size_t of_address) const;
  std::size_t CountOf(const boost::asio::ip::address& address) const;
  // Closes one of the connections that have waited longest: of the address with
  // the most, and without unread input unless its answer is not read.
  bool CloseOldest(const WaitingConnections& waiting,
                   const boost::asio::ip::address& newcomer);
  // Closes connections if what is held for clients comes near its limit.
  void CutConnections();
  void ScheduleInspection();
  void ReportCut(const ServerConnection& connection, std::string_view reason);
  void ReportAcceptFailure(const std::string& detail);
  // Takes the connections that wait in the kernel's queue.
  void AcceptQueued();

  TimerQueue& timers;
  ServerOptions options;
  boost::asio::ip::tcp::acceptor acceptor;
  std::set<std::shared_ptr<ServerConnection>> connections;
  WaitingConnections idle;      // without a request
  WaitingConnections arriving;  // with an incomplete request
  WaitingConnections unread;    // with an answer that is being sent
  std::map<boost::asio::ip::address, std::size_t> addresses;  // connections of
  TimerQueue::Id inspection = 0;
  bool draining = false;
  // What a connection has just read; all of them use it in turn.
  std::array<char, kReadSize> input{};
};

}  // namespace lycheewell::sidecar::http

#endif  // LYCHEEWELL_SIDECAR_HTTP_SERVER_H_
