// HTTP/1.1 server: keep-alive, pipelining, size limits, slow callers, callers
// that go away, and a graceful stop.
#ifndef LYCHEEWELL_IO_HTTP_SERVER_H_
#define LYCHEEWELL_IO_HTTP_SERVER_H_

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <chrono>
#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <string>

#include "lycheewell/core/overload/held_memory.h"
#include "lycheewell/io/async/cancellation.h"
#include "lycheewell/io/http/message.h"

namespace lycheewell::io::http {

// Answers one request. `cancellation` fires when the caller goes away. Without
// an answer the connection is closed.
using Handler = std::function<boost::asio::awaitable<std::optional<Response>>(
    Request request, async::CancellationPointer cancellation)>;

// What the connections of several servers hold together. Safe to use from any
// thread.
class SharedHeldMemory {
 public:
  explicit SharedHeldMemory(std::size_t limit) : memory(limit) {}

  // Commands.

  // Counts `bytes`; returns false, and counts none, when they do not fit.
  bool Take(std::size_t bytes);
  void Add(std::size_t bytes);
  void Remove(std::size_t bytes);

  // Queries.

  std::size_t most_connections() const;
  std::size_t used_bytes() const;

 private:
  mutable std::mutex mutex;
  core::overload::HeldMemory memory;
};

// A connection that was closed to leave room for others.
struct ClosedConnection {
  std::string reason;
  std::string address;  // of the caller

  bool operator==(const ClosedConnection&) const = default;
};

struct ServerOptions {
  std::string address;  // "host:port"; port 0 picks a free one
  std::size_t body_limit = 1024 * 1024;
  std::size_t header_limit = 16 * 1024;
  // A caller must deliver a whole request within this time of its first byte,
  // and take an answer within it.
  std::chrono::steady_clock::duration transfer_timeout =
      std::chrono::seconds(30);
  std::chrono::steady_clock::duration idle_timeout = std::chrono::seconds(75);
  // Told of each request that could not be parsed, with the reason.
  std::function<void(std::string_view reason)> on_bad_request;
  // Bounds connections, bodies and answers, together with those of all servers
  // that share it; null: no bound.
  std::shared_ptr<SharedHeldMemory> held;
  std::function<void(const ClosedConnection&)> on_closed;
};

class Server {
 public:
  // Binds at once; throws boost::system::system_error when it cannot.
  Server(boost::asio::io_context& context, ServerOptions options,
         Handler handler);
  ~Server();

  // Commands.

  void Start();

  // Stops accepting, lets running requests finish with "Connection: close",
  // and closes idle connections.
  void BeginStop();

  // Queries.

  std::uint16_t port() const;
  std::size_t connection_count() const;

 private:
  class Shared;
  std::shared_ptr<Shared> shared;
};

}  // namespace lycheewell::io::http

#endif  // LYCHEEWELL_IO_HTTP_SERVER_H_
