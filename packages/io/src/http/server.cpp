#include "lycheewell/io/http/server.h"

#include <sys/socket.h>

#include <atomic>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/strand.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core.hpp>
#include <chrono>
#include <map>
#include <mutex>
#include <set>

#include "lycheewell/core/overload/connection_admission.h"
#include "lycheewell/io/http/address.h"

namespace lycheewell::io::http {
namespace asio = boost::asio;
namespace beast = boost::beast;
using tcp = asio::ip::tcp;

namespace {

constexpr auto kTokens = asio::as_tuple(asio::use_awaitable);

using Strand = asio::strand<asio::io_context::executor_type>;
using Socket = asio::basic_stream_socket<tcp, Strand>;
using Stream = beast::basic_stream<tcp, Strand>;

// Beside a header, the buffer of a connection holds the start of a body or of
// the next request.
constexpr std::size_t kBufferMargin = 4 * 1024;

// A request's body is held here and on its way to the target.
constexpr std::size_t kCopiesOfBody = 2;

constexpr std::string_view kNotRun = "not-run";

// Retry-After of requests that do not fit into memory, in seconds.
constexpr std::string_view kNoMemoryRetryAfter = "1";

// Bytes that count towards the servers' bound while the object lives.
class HeldBytes {
 public:
  explicit HeldBytes(std::shared_ptr<SharedHeldMemory> new_memory)
      : memory(std::move(new_memory)) {}
  ~HeldBytes() {
    if (this->memory) {
      this->memory->Remove(this->bytes);
    }
  }
  HeldBytes(const HeldBytes&) = delete;
  HeldBytes& operator=(const HeldBytes&) = delete;

  bool Take(std::size_t more) {
    if (this->memory && !this->memory->Take(more)) {
      return false;
    }
    this->bytes += more;
    return true;
  }
  void Add(std::size_t more) {
    if (this->memory) {
      this->memory->Add(more);
    }
    this->bytes += more;
  }

 private:
  std::shared_ptr<SharedHeldMemory> memory;  // null: no bound
  std::size_t bytes = 0;
};

// A problem that says nothing about whether a target ran the request.
Response MakeProblem(Status status, std::string_view title) {
  Response response = MakeResponse(
      status, "application/problem+json",
      R"({"type":"about:blank","title":")" + std::string(title) +
          R"(","status":)" + std::to_string(static_cast<int>(status)) + "}");
  response.keep_alive(false);
  response.prepare_payload();
  return response;
}

// Whether the peer has closed the connection; false when data is waiting.
bool PeerHasClosed(int socket) {
  char byte = 0;
  const ssize_t count =
      recv(socket, &byte, sizeof byte, MSG_PEEK | MSG_DONTWAIT);
  if (count > 0) {
    return false;
  }
  return count == 0 || (errno != EAGAIN && errno != EWOULDBLOCK);
}

}  // namespace

bool SharedHeldMemory::Take(std::size_t bytes) {
  constexpr bool kIsEssential = false;
  const std::lock_guard lock(this->mutex);
  const bool fits =
      this->memory.may_take_request(kIsEssential) &&
      bytes <= this->memory.limit_bytes() - this->memory.used_bytes();
  if (fits) {
    this->memory.Change(0, bytes);
  }
  return fits;
}

void SharedHeldMemory::Add(std::size_t bytes) {
  const std::lock_guard lock(this->mutex);
  this->memory.Change(0, bytes);
}

void SharedHeldMemory::Remove(std::size_t bytes) {
  const std::lock_guard lock(this->mutex);
  this->memory.Change(bytes, 0);
}

std::size_t SharedHeldMemory::most_connections() const {
  return this->memory.most_connections();
}

std::size_t SharedHeldMemory::used_bytes() const {
  const std::lock_guard lock(this->mutex);
  return this->memory.used_bytes();
}

// State that connections share with the server and that outlives it.
class Server::Shared : public std::enable_shared_from_this<Server::Shared> {
 public:
  Shared(asio::io_context& new_context, ServerOptions new_options,
         Handler new_handler)
      : context(new_context),
        options(std::move(new_options)),
        handler(std::move(new_handler)),
        acceptor(asio::make_strand(new_context)) {
    const tcp::endpoint endpoint = ParseEndpoint(this->options.address);
    this->acceptor.open(endpoint.protocol());
    this->acceptor.set_option(asio::socket_base::reuse_address(true));
    this->acceptor.bind(endpoint);
    this->acceptor.listen();
    this->bound_port = this->acceptor.local_endpoint().port();
  }

  void Start() {
    asio::co_spawn(this->acceptor.get_executor(),
                   this->Accept(this->shared_from_this()), asio::detached);
  }

  void BeginStop() {
    this->stopping = true;
    asio::post(this->acceptor.get_executor(),
               [self = this->shared_from_this()] {
                 boost::system::error_code ignored;
                 self->acceptor.close(ignored);
               });
    const std::lock_guard lock(this->mutex);
    for (const auto& connection : this->connections) {
      CancelIfIdle(connection);
    }
  }

  std::uint16_t port() const { return this->bound_port; }

  std::size_t connection_count() const {
    const std::lock_guard lock(this->mutex);
    return this->connections.size();
  }

 private:
  struct Connection {
    Connection(Socket socket, const ServerOptions& options)
        : stream(std::move(socket)),
          buffer(options.header_limit + kBufferMargin),
          held(options.held) {
      boost::system::error_code ignored;
      this->peer = this->stream.socket().remote_endpoint(ignored).address();
      this->held.Add(core::overload::kConnectionBytes +
                     this->buffer.max_size());
    }

    Stream stream;
    beast::flat_buffer buffer;
    HeldBytes held;
    asio::ip::address peer;
    // Written on the stream's strand.
    std::atomic<bool> is_idle = true;
    std::atomic<std::chrono::steady_clock::time_point> idle_since =
        std::chrono::steady_clock::now();
  };
  using ConnectionPointer = std::shared_ptr<Connection>;

  static void CancelIfIdle(const ConnectionPointer& connection) {
    asio::post(connection->stream.get_executor(), [connection] {
      if (connection->is_idle) {
        connection->stream.cancel();
      }
    });
  }

  // Whether another connection is taken; an idle one may be closed for it. The
  // mutex is held.
  bool MakeRoomFor(const ConnectionPointer& connection) {
    using core::overload::ConnectionDecision;
    if (!this->options.held) {
      return true;
    }
    const std::size_t most =
        this->options.held->most_connections() /
        (1 + connection->buffer.max_size() / core::overload::kConnectionBytes);
    core::overload::ConnectionUse use{.open = this->connections.size()};
    ConnectionPointer oldest;
    for (const auto& other : this->connections) {
      use.of_address += other->peer == connection->peer ? 1 : 0;
      if (other->is_idle &&
          (!oldest || other->idle_since.load() < oldest->idle_since.load())) {
        oldest = other;
      }
    }
    if (oldest) {
      use.idle_for =
          std::chrono::steady_clock::now() - oldest->idle_since.load();
    }
    const auto decision = core::overload::DecideConnection(
        core::overload::LimitTo({.usual = most, .most = most}, most), use);
    if (decision == ConnectionDecision::kReplaceIdle) {
      CancelIfIdle(oldest);
    }
    return decision == ConnectionDecision::kTake ||
           decision == ConnectionDecision::kReplaceIdle;
  }

  void ReportClosed(const Connection& connection) {
    if (this->options.on_closed) {
      this->options.on_closed({.reason = "too many connections",
                               .address = connection.peer.to_string()});
    }
  }

  asio::awaitable<void> Accept(std::shared_ptr<Shared> self) {
    constexpr auto kPauseAfterError = std::chrono::milliseconds(20);
    while (!this->stopping) {
      auto [error, socket] = co_await this->acceptor.async_accept(
          asio::make_strand(this->context), kTokens);
      if (error == asio::error::operation_aborted ||
          error == asio::error::bad_descriptor) {
        co_return;
      }
      if (error) {  // for example no file descriptors left
        asio::steady_timer timer(this->context, kPauseAfterError);
        co_await timer.async_wait(kTokens);
        continue;
      }
      boost::system::error_code ignored;
      socket.set_option(tcp::no_delay(true), ignored);
      auto connection =
          std::make_shared<Connection>(std::move(socket), this->options);
      bool has_room = false;
      {
        const std::lock_guard lock(this->mutex);
        has_room = this->MakeRoomFor(connection);
        if (has_room) {
          this->connections.insert(connection);
        }
      }
      if (!has_room) {
        this->ReportClosed(*connection);
        continue;
      }
      asio::co_spawn(connection->stream.get_executor(),
                     this->Serve(self, connection), asio::detached);
    }
  }

  asio::awaitable<void> Serve([[maybe_unused]] std::shared_ptr<Shared> self,
                              ConnectionPointer connection) {
    bool keep_alive = true;
    while (keep_alive && !this->stopping) {
      keep_alive = co_await this->ServeOne(connection);
    }
    boost::system::error_code ignored;
    connection->stream.socket().shutdown(tcp::socket::shutdown_both, ignored);
    connection->stream.close();
    const std::lock_guard lock(this->mutex);
    this->connections.erase(connection);
  }

  // Reads and answers one request; returns whether to go on.
  asio::awaitable<bool> ServeOne(ConnectionPointer connection) {
    Stream& stream = connection->stream;
    if (connection->buffer.size() == 0 &&
        !(co_await this->WaitForRequest(connection))) {
      co_return false;
    }
    connection->is_idle = false;
    HeldBytes held(this->options.held);
    beast::http::request_parser<beast::http::string_body> parser;
    parser.body_limit(this->options.body_limit);
    parser.header_limit(static_cast<std::uint32_t>(this->options.header_limit));
    stream.expires_after(this->options.transfer_timeout);
    auto [head_error, head_size] = co_await beast::http::async_read_header(
        stream, connection->buffer, parser, kTokens);
    if (head_error) {
      co_await this->AnswerBadRequest(connection, head_error);
      co_return false;
    }
    const std::size_t body_size = parser.content_length().value_or(
        parser.chunked() ? this->options.body_limit : 0);
    if (!held.Take(kCopiesOfBody * body_size)) {
      co_await this->RefuseForMemory(connection);
      co_return false;
    }
    auto [error, size] = co_await beast::http::async_read(
        stream, connection->buffer, parser, kTokens);
    if (error) {
      co_await this->AnswerBadRequest(connection, error);
      co_return false;
    }
    stream.expires_never();
    Request request = parser.release();
    const bool keep_alive = request.keep_alive();
    const unsigned version = request.version();
    const bool is_head = request.method() == Verb::head;
    auto response = co_await this->RunHandler(connection, std::move(request));
    if (!response) {
      co_return false;
    }
    response->version(version);
    response->keep_alive(keep_alive && response->keep_alive() &&
                         !this->stopping);
    const bool goes_on = response->keep_alive();
    held.Add(response->body().size());
    stream.expires_after(this->options.transfer_timeout);
    beast::http::response_serializer<beast::http::string_body> serializer(
        *response);
    serializer.split(is_head);
    boost::system::error_code write_error;
    if (is_head) {
      auto [header_error, written] =
          co_await beast::http::async_write_header(stream, serializer, kTokens);
      write_error = header_error;
    } else {
      auto [body_error, written] =
          co_await beast::http::async_write(stream, serializer, kTokens);
      write_error = body_error;
    }
    connection->idle_since = std::chrono::steady_clock::now();
    connection->is_idle = true;
    co_return !write_error && goes_on;
  }

  asio::awaitable<bool> WaitForRequest(ConnectionPointer connection) {
    Stream& stream = connection->stream;
    stream.expires_after(this->options.idle_timeout);
    constexpr std::size_t kFirstRead = 4096;
    auto [error, count] = co_await stream.async_read_some(
        connection->buffer.prepare(kFirstRead), kTokens);
    connection->buffer.commit(count);
    co_return !error;
  }

  // Runs the handler and cancels it when the caller closes the connection.
  asio::awaitable<std::optional<Response>> RunHandler(
      ConnectionPointer connection, Request request) {
    auto cancellation = std::make_shared<async::Cancellation>();
    auto is_watching = std::make_shared<bool>(true);
    auto& socket = connection->stream.socket();
    if (connection->buffer.size() == 0) {
      socket.async_wait(
          tcp::socket::wait_read, [connection, cancellation, is_watching](
                                      const boost::system::error_code& error) {
            if (error || !*is_watching) {
              return;
            }
            if (PeerHasClosed(connection->stream.socket().native_handle())) {
              cancellation->Cancel();
            }
          });
    }
    std::optional<Response> response;
    try {
      response = co_await this->handler(std::move(request), cancellation);
    } catch (const std::exception& problem) {
      response = MakeProblem(Status::internal_server_error, "internal error");
      if (this->options.on_bad_request) {
        this->options.on_bad_request(problem.what());
      }
    }
    *is_watching = false;
    boost::system::error_code ignored;
    socket.cancel(ignored);
    co_return response;
  }

  asio::awaitable<void> AnswerBadRequest(ConnectionPointer connection,
                                         boost::system::error_code problem) {
    using beast::http::error;
    static const auto& http_category =
        beast::http::make_error_code(error::end_of_stream).category();
    const bool peer_left = problem.category() != http_category ||
                           problem == error::end_of_stream ||
                           problem == error::partial_message;
    if (peer_left) {
      co_return;
    }
    if (this->options.on_bad_request) {
      this->options.on_bad_request(problem.message());
    }
    Status status = Status::bad_request;
    if (problem == error::body_limit) {
      status = Status::payload_too_large;
    } else if (problem == error::header_limit) {
      status = Status::request_header_fields_too_large;
    }
    Response response = MakeProblem(status, problem.message());
    co_await this->RefuseAndClose(connection, response);
  }

  asio::awaitable<void> RefuseForMemory(ConnectionPointer connection) {
    constexpr std::string_view kReason = "no memory left for requests";
    if (this->options.on_bad_request) {
      this->options.on_bad_request(kReason);
    }
    Response response = MakeProblem(Status::service_unavailable, kReason);
    response.set(Field::retry_after, std::string(kNoMemoryRetryAfter));
    co_await this->RefuseAndClose(connection, response);
  }

  asio::awaitable<void> RefuseAndClose(ConnectionPointer connection,
                                       Response& response) {
    response.set("Lycheewell-Outcome", std::string(kNotRun));
    connection->stream.expires_after(this->options.transfer_timeout);
    co_await beast::http::async_write(connection->stream, response, kTokens);
    co_await this->DrainInput(connection);
  }

  // Reads what the caller still sends, for a short time: closing with unread
  // data would reset the connection before the caller has read the answer.
  asio::awaitable<void> DrainInput(ConnectionPointer connection) {
    constexpr auto kDrainTime = std::chrono::seconds(1);
    constexpr std::size_t kDrainBytes = 8 * 1024 * 1024;
    constexpr std::size_t kChunk = 4 * 1024;
    Stream& stream = connection->stream;
    boost::system::error_code ignored;
    stream.socket().shutdown(tcp::socket::shutdown_send, ignored);
    stream.expires_after(kDrainTime);
    std::string chunk(kChunk, '\0');
    std::size_t drained = 0;
    while (drained < kDrainBytes) {
      auto [error, count] =
          co_await stream.async_read_some(asio::buffer(chunk), kTokens);
      if (error) {
        co_return;
      }
      drained += count;
    }
  }

  asio::io_context& context;
  ServerOptions options;
  Handler handler;
  asio::basic_socket_acceptor<tcp, Strand> acceptor;
  std::uint16_t bound_port = 0;
  std::atomic<bool> stopping = false;
  mutable std::mutex mutex;
  std::set<ConnectionPointer> connections;
};

Server::Server(asio::io_context& context, ServerOptions options,
               Handler handler)
    : shared(std::make_shared<Shared>(context, std::move(options),
                                      std::move(handler))) {}

Server::~Server() { this->shared->BeginStop(); }

void Server::Start() { this->shared->Start(); }

void Server::BeginStop() { this->shared->BeginStop(); }

std::uint16_t Server::port() const { return this->shared->port(); }

std::size_t Server::connection_count() const {
  return this->shared->connection_count();
}

}  // namespace lycheewell::io::http
