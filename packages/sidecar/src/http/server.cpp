#include "lycheewell/sidecar/http/server.h"

#include <sys/socket.h>

#include <array>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <cerrno>
#include <optional>

#include "lycheewell/sidecar/clock.h"
#include "lycheewell/sidecar/http/socket_options.h"

namespace lycheewell::sidecar::http {
namespace asio = boost::asio;
namespace beast = boost::beast;
using tcp = asio::ip::tcp;

namespace {

// Bytes of pipelined requests that are buffered while a request is served.
constexpr std::size_t kMaxPipelinedBytes = 64 * 1024;

// Connections that the kernel queues until they are accepted.
constexpr int kListenBacklog = 1024;

// Delay after a failed accept, for example if no file descriptor is free.
constexpr auto kAcceptRetryDelay = std::chrono::milliseconds(20);

// Waiting connections that are looked at to find one to close.
constexpr std::size_t kMaxInspected = 16;

constexpr std::string_view kTooManyConnections = "too many connections";

// Retry-After of requests on connections beyond the bound.
constexpr std::string_view kNoConnectionRetryAfter = "Retry-After: 0.500\r\n";

// Idle connections are kept open this much longer than the idle timeout, since
// a client's request may be in transit when the timeout passes.
constexpr auto kIdleTimeoutMargin = std::chrono::seconds(1);

// The connection is closed if the client does not accept its answer in time.
constexpr auto kWriteTimeout = std::chrono::seconds(10);

// Limits how slowly a request body may arrive.
constexpr auto kBodyTimeout = std::chrono::seconds(30);

// After its answer, or when it is idle at the end of a drain, a connection is
// read for this long: closing with unread input would reset it.
constexpr auto kLingerTime = std::chrono::milliseconds(500);

// Retry-After of requests whose body does not fit into memory. Bodies are held
// until their request is answered.
constexpr std::string_view kNoMemoryRetryAfter = "Retry-After: 0.500\r\n";

std::string StatusLine(unsigned status) {
  const auto reason =
      beast::http::obsolete_reason(beast::http::int_to_status(status));
  return "HTTP/1.1 " + std::to_string(status) + " " +
         std::string(reason.data(), reason.size()) + "\r\n";
}

}  // namespace

// Keeps a read pending, so that a client's disconnect is detected at once.
class ServerConnection : public std::enable_shared_from_this<ServerConnection> {
 public:
  ServerConnection(Server& new_server, tcp::socket new_socket)
      : server(new_server), socket(std::move(new_socket)) {
    SetSocketOptions(this->socket);
    boost::system::error_code ignored;  // reads fail then, and it is closed
    this->socket.non_blocking(true, ignored);
  }

  void Start() {
    this->server.idle.Add(this, Now());
    this->StartTimer(this->Limits().idle_timeout + kIdleTimeoutMargin);
    this->Read();
  }

  // Whether no request is being read, served or answered.
  bool is_idle() const {
    return !this->exchange && !this->parser && !this->writing &&
           !this->lingering && !this->expecting_request;
  }

  // Whether bytes have arrived that the pending read will deliver.
  bool has_unread_input() const {
    boost::system::error_code error;
    return this->socket.available(error) > 0;
  }

  // Ends an idle connection; a request that has arrived by now is still
  // served.
  void CloseWhenIdle() {
    if (this->closed || this->buffer.size() > 0 || this->has_unread_input()) {
      return;  // the pending read delivers the request
    }
    this->Linger();
  }

  // Refuses the request of this connection, which is one too many.
  void RefuseRequest() { this->refuses = true; }

  // Closes the connection if no request arrives within `limit`.
  void ExpectRequestWithin(core::Duration limit) {
    this->expecting_request = true;
    this->StartTimer(limit);
  }

  void Close() {
    if (this->closed) {
      return;
    }
    this->closed = true;
    this->StopWaiting();
    this->server.timers.Cancel(this->timer);
    boost::system::error_code ignored;
    this->socket.shutdown(tcp::socket::shutdown_both, ignored);
    this->socket.close(ignored);
    if (this->exchange) {
      const auto on_disconnect = std::move(this->exchange->on_disconnect);
      this->exchange->answered = true;
      this->exchange->body_allowance.reset();
      this->exchange.reset();
      if (on_disconnect) {
        on_disconnect();
      }
    }
    this->server.connections.erase(this->shared_from_this());
  }

  void Send(const Answer& answer) {
    constexpr unsigned kNoContent = 204;
    constexpr unsigned kNotModified = 304;
    const bool is_head = this->exchange && this->exchange->message.method() ==
                                               io::http::Verb::head;
    this->closes_after =
        this->closes_after || answer.closes || this->server.draining;
    if (this->exchange) {
      this->exchange->body_allowance.reset();
    }
    this->exchange.reset();
    auto message = std::make_shared<std::string>(StatusLine(answer.status));
    *message += answer.header_lines;
    if (answer.status != kNoContent && answer.status != kNotModified) {
      *message +=
          "Content-Length: " + std::to_string(answer.body.size()) + "\r\n";
    }
    *message += this->closes_after ? "Connection: close\r\n\r\n" : "\r\n";
    if (!is_head) {
      *message += answer.body;
    }
    this->writing = true;
    this->StartTimer(kWriteTimeout);
    asio::async_write(this->socket, asio::buffer(*message),
                      [self = this->shared_from_this(), message](
                          const boost::system::error_code& error, std::size_t) {
                        self->AfterWrite(error);
                      });
  }

 private:
  using Parser = beast::http::request_parser<beast::http::string_body>;

  ServerLimits Limits() const { return this->server.options.limits(); }

  // Time that the rest of the request's body has to arrive.
  core::Duration BodyTimeout() const {
    core::Duration limit = kBodyTimeout;
    if (this->server.options.time_limit) {
      limit =
          std::min(limit, this->server.options.time_limit(this->parser->get()) -
                              (Now() - this->began_at));
    }
    return std::max(core::Duration::zero(), limit);
  }

  void StopWaiting() {
    this->server.idle.Remove(this);
    this->server.arriving.Remove(this);
  }

  void StartTimer(core::Duration limit) {
    this->server.timers.Cancel(this->timer);
    this->timer = this->server.timers.After(
        limit, [self = this->shared_from_this()] { self->OnTimeout(); });
  }

  void OnTimeout() {
    this->timer = 0;
    if (this->parser && !this->exchange && !this->rejected) {
      this->Reject(408, "the request took too long to arrive");
      return;
    }
    this->Close();
  }

  void AfterWrite(const boost::system::error_code& error) {
    this->writing = false;
    if (this->closed) {
      return;
    }
    if (error) {
      this->Close();
      return;
    }
    if (this->refuses) {
      this->Close();  // no input is left that would reset the connection
      return;
    }
    if (this->closes_after) {
      this->Linger();
      return;
    }
    this->server.idle.Add(this, Now());
    this->StartTimer(this->Limits().idle_timeout + kIdleTimeoutMargin);
    this->Consume();
    this->ReadOn();
  }

  // Closes the connection after the client has had time to read the answer.
  void Linger() {
    boost::system::error_code ignored;
    this->socket.shutdown(tcp::socket::shutdown_send, ignored);
    this->lingering = true;
    this->buffer.consume(this->buffer.size());
    this->server.idle.Add(this, Now());
    this->StartTimer(kLingerTime);
    if (!this->reading) {
      this->Read();
    }
  }

  // Only waits: no read into `buffer` may be pending while it is consumed.
  void Read() {
    this->reading = true;
    this->socket.async_wait(tcp::socket::wait_read,
                            [self = this->shared_from_this()](
                                const boost::system::error_code& error) {
                              self->reading = false;
                              if (self->closed) {
                                return;
                              }
                              if (error) {
                                self->Close();
                                return;
                              }
                              self->TakeInput();
                            });
  }

  void TakeInput() {
    auto& input = this->server.input;
    boost::system::error_code error;
    const std::size_t size = this->socket.read_some(asio::buffer(input), error);
    if (error && error != asio::error::would_block) {
      this->Close();
      return;
    }
    if (size > 0 && !this->lingering) {
      asio::buffer_copy(this->buffer.prepare(size),
                        asio::buffer(input.data(), size));
      this->buffer.commit(size);
      this->read_at = Now();
      this->Consume();
    }
    this->ReadOn();
  }

  // Reads on unless the client has sent enough requests ahead.
  void ReadOn() {
    if (!this->closed && !this->reading &&
        this->buffer.size() < kMaxPipelinedBytes) {
      this->Read();
    }
  }

  void Consume() {
    if (this->exchange || this->writing || this->closed || this->rejected ||
        this->closes_after || this->buffer.size() == 0) {
      return;
    }
    if (!this->parser) {
      const ServerLimits limits = this->Limits();
      this->expecting_request = false;
      this->parser.emplace();
      this->parser->eager(true);
      this->parser->header_limit(limits.header_bytes);
      this->parser->body_limit(limits.body_bytes);
      this->began_at = this->read_at;
      this->server.idle.Remove(this);
      this->body_allowance =
          std::make_unique<BodyAllowance>(this->server.options.body_budget);
      this->StartTimer(limits.header_timeout);
    }
    beast::error_code error;
    const bool had_header = this->parser->is_header_done();
    while (this->buffer.size() > 0 && !this->parser->is_done()) {
      const std::size_t used = this->parser->put(this->buffer.data(), error);
      this->buffer.consume(used);
      if (error || used == 0) {
        break;
      }
    }
    if (error && error != beast::http::error::need_more) {
      this->RejectMalformed(error);
      return;
    }
    if (!this->body_allowance->Grow(this->parser->get().body().size())) {
      this->Reject(503, "no memory for the body",
                   std::string(kNoMemoryRetryAfter));
      return;
    }
    if (!had_header && this->parser->is_header_done() &&
        !this->parser->is_done()) {
      this->StartTimer(this->BodyTimeout());
      if (beast::iequals(this->parser->get()[io::http::Field::expect],
                         "100-continue")) {
        auto interim =
            std::make_shared<std::string>("HTTP/1.1 100 Continue\r\n\r\n");
        asio::async_write(
            this->socket, asio::buffer(*interim),
            [self = this->shared_from_this(), interim](
                const boost::system::error_code&, std::size_t) {});
      }
    }
    if (!this->parser->is_done()) {
      this->server.arriving.Add(this, this->began_at);
      return;
    }
    this->StopWaiting();
    if (this->MayBeReadLate() && this->HasClientLeft()) {
      this->Close();
      return;
    }
    this->is_first_request = false;
    if (this->refuses) {
      this->Reject(503, kTooManyConnections,
                   std::string(kNoConnectionRetryAfter));
      return;
    }
    this->server.timers.Cancel(this->timer);
    this->closes_after = !this->parser->keep_alive();
    this->exchange = std::make_shared<ServerExchange>(
        this->weak_from_this(), this->parser->release(), this->began_at,
        std::move(this->body_allowance));
    this->parser.reset();
    this->server.options.handler(this->exchange);
  }

  // The first request may have waited unread until its connection was accepted.
  bool MayBeReadLate() const {
    return this->is_first_request ||
           (this->server.options.is_behind && this->server.options.is_behind());
  }

  // Looks for the end of the connection behind the bytes that have been read.
  bool HasClientLeft() {
    char next = 0;
    const ssize_t size = recv(this->socket.native_handle(), &next, sizeof next,
                              MSG_PEEK | MSG_DONTWAIT);
    return size == 0 || (size < 0 && errno != EAGAIN && errno != EINTR);
  }

  void RejectMalformed(const beast::error_code& error) {
    if (error == beast::http::error::body_limit) {
      this->Reject(413, error.message());
    } else if (error == beast::http::error::header_limit) {
      this->Reject(431, error.message());
    } else {
      this->Reject(400, error.message());
    }
  }

  void Reject(unsigned status, std::string_view reason,
              std::string header_lines = "") {
    this->rejected = true;
    this->StopWaiting();
    this->body_allowance.reset();
    this->parser.reset();
    this->server.options.on_bad_request(status, reason);
    this->Send({.status = status,
                .header_lines = std::move(header_lines),
                .closes = true});
  }

  Server& server;
  tcp::socket socket;
  beast::flat_buffer buffer;
  std::optional<Parser> parser;
  std::unique_ptr<BodyAllowance> body_allowance;  // of the request being read
  core::Instant read_at;                          // of the last bytes
  core::Instant began_at;                         // of the request being read
  ExchangePointer exchange;
  TimerQueue::Id timer = 0;
  bool reading = false;
  bool writing = false;
  bool closes_after = false;
  bool rejected = false;
  bool lingering = false;
  bool refuses = false;  // one connection too many
  bool is_first_request = true;
  bool expecting_request = false;  // accepted at the end of a drain
  bool closed = false;
};

ServerExchange::ServerExchange(std::weak_ptr<ServerConnection> new_connection,
                               io::http::Request request,
                               core::Instant new_began_at,
                               std::unique_ptr<BodyAllowance> new_allowance)
    : connection(std::move(new_connection)),
      message(std::move(request)),
      first_read_at(new_began_at),
      body_allowance(std::move(new_allowance)) {}

void ServerExchange::Send(const Answer& answer) {
  if (this->answered) {
    return;
  }
  this->answered = true;
  this->on_disconnect = nullptr;
  if (const auto open = this->connection.lock()) {
    open->Send(answer);
  }
}

Server::Server(asio::io_context& new_context, TimerQueue& new_timers,
               ServerOptions new_options)
    : timers(new_timers),
      options(std::move(new_options)),
      acceptor(new_context) {
  this->acceptor.open(this->options.endpoint.protocol());
  this->acceptor.set_option(asio::socket_base::reuse_address(true));
  this->acceptor.bind(this->options.endpoint);
  this->acceptor.listen(kListenBacklog);
}

void Server::Start() { this->Accept(); }

void Server::Accept() {
  using core::overload::ConnectionDecision;
  if (this->Decide() == ConnectionDecision::kWait) {
    this->ReportAcceptFailure(std::string(kTooManyConnections));
    this->timers.After(kAcceptRetryDelay, [this] { this->Accept(); });
    return;
  }
  this->acceptor.async_accept(
      [this](const boost::system::error_code& error, tcp::socket socket) {
        if (error == asio::error::operation_aborted ||
            error == asio::error::bad_descriptor) {
          return;
        }
        if (error) {
          this->ReportAcceptFailure(error.message());
          this->timers.After(kAcceptRetryDelay, [this] { this->Accept(); });
          return;
        }
        this->AddConnection(std::move(socket));
        this->Accept();
      });
}

core::overload::ConnectionDecision Server::Decide() const {
  using core::overload::ConnectionDecision;
  if (!this->options.connection_bounds) {
    return ConnectionDecision::kTake;
  }
  const core::Instant now = Now();
  return core::overload::DecideConnection(
      this->options.connection_bounds(),
      {.open = this->connections.size(),
       .idle_for = this->idle.longest_wait(now),
       .arriving_for = this->arriving.longest_wait(now)});
}

bool Server::CloseOldest(const WaitingConnections& waiting) {
  ServerConnection* const oldest =
      waiting.FindOldest(kMaxInspected, [](const ServerConnection& connection) {
        return !connection.has_unread_input();
      });
  if (oldest == nullptr) {
    return false;
  }
  oldest->Close();
  return true;
}

void Server::AddConnection(tcp::socket socket) {
  using core::overload::ConnectionDecision;
  const auto connection =
      std::make_shared<ServerConnection>(*this, std::move(socket));
  switch (this->Decide()) {
    case ConnectionDecision::kTake:
      break;
    case ConnectionDecision::kReplaceIdle:
      if (!CloseOldest(this->idle)) {
        connection->RefuseRequest();
      }
      break;
    case ConnectionDecision::kReplaceArriving:
      if (!CloseOldest(this->arriving)) {
        connection->RefuseRequest();
      }
      break;
    case ConnectionDecision::kTakeToRefuse:
    case ConnectionDecision::kWait:
      connection->RefuseRequest();
      break;
  }
  this->connections.insert(connection);
  connection->Start();
}

void Server::ReportAcceptFailure(const std::string& detail) {
  if (this->options.on_accept_failure) {
    this->options.on_accept_failure(
        {.detail = detail,
         .open_connections = this->connection_count(),
         .idle_connections = this->idle_connection_count()});
  }
}

void Server::AcceptQueued() {
  boost::system::error_code error;
  this->acceptor.cancel(error);
  this->acceptor.non_blocking(true, error);
  while (!error) {
    tcp::socket socket(this->acceptor.get_executor());
    this->acceptor.accept(socket, error);
    if (!error) {
      this->AddConnection(std::move(socket));
    }
  }
}

void Server::Close() {
  const auto open = this->connections;
  if (this->acceptor.is_open()) {
    this->AcceptQueued();
    boost::system::error_code ignored;
    this->acceptor.close(ignored);
    for (const auto& connection : this->connections) {
      if (!open.contains(connection)) {
        connection->ExpectRequestWithin(kLingerTime);
      }
    }
  }
  for (const auto& connection : open) {
    if (connection->is_idle()) {
      connection->CloseWhenIdle();
    }
  }
}

}  // namespace lycheewell::sidecar::http
