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
constexpr std::size_t kMaxInspected = 64;

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

// Time between two looks at the connections whose answers are not read, or that
// hold too much.
constexpr auto kInspectionPeriod = std::chrono::milliseconds(250);

// What a request takes beside its own bytes, until it is answered.
constexpr std::size_t kRequestBytes = 4 * 1024;

// A request's bytes are held here and on their way to the target.
constexpr std::size_t kCopiesOfRequest = 2;

constexpr std::string_view kNoMemory = "no memory left for requests";

// Retry-After of requests that do not fit into memory. They are held until they
// are answered.
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
    this->peer = this->socket.remote_endpoint(ignored).address();
  }

  void Start() {
    ++this->server.addresses[this->peer];
    this->CountHeld();
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

  const asio::ip::address& address() const { return this->peer; }

  std::size_t held_bytes() const { return this->held; }

  std::size_t unread_bytes() const { return this->unread_input; }

  // Time since the client has sent or accepted a byte, if it has to.
  std::optional<core::Duration> standing_still(core::Instant now) const {
    if (this->writing) {
      return now - this->sent_at;
    }
    return this->parser ? std::optional(now - this->read_at) : std::nullopt;
  }

  // Counts the input that waits in the kernel while the connection is not read.
  // Returns whether it is not.
  bool CountUnreadInput() {
    boost::system::error_code error;
    this->unread_input = this->reading ? 0 : this->socket.available(error);
    return !this->reading;
  }

  // Closes the connection without a wait for what the client has not read.
  void Cut() {
    boost::system::error_code ignored;
    this->socket.set_option(asio::socket_base::linger(true, 0), ignored);
    this->Close();
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
    this->outgoing.reset();
    this->CountHeld();
    const auto counted = this->server.addresses.find(this->peer);
    if (counted != this->server.addresses.end() && --counted->second == 0) {
      this->server.addresses.erase(counted);
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
    this->outgoing = std::move(message);
    this->sent_bytes = 0;
    this->sent_at = Now();
    this->writing = true;
    this->server.unread.Add(this, this->sent_at);
    this->StartTimer(kWriteTimeout);
    this->Write();
    this->CountHeld();
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
    this->server.unread.Remove(this);
  }

  // Adjusts what this connection counts towards the server's bound.
  void CountHeld() {
    using core::overload::kConnectionBytes;
    std::size_t bytes = 0;
    if (!this->closed) {
      bytes = kConnectionBytes + this->buffer.capacity();
      bytes += this->outgoing ? this->outgoing->capacity() : 0;
      bytes += this->parser ? this->request_bytes : 0;
      bytes += this->exchange
                   ? kRequestBytes + kCopiesOfRequest * this->request_bytes
                   : 0;
    }
    const auto& memory = this->server.options.held;
    if (!memory) {
      return;
    }
    memory->Change(this->held, bytes);
    this->held = bytes;
    if (memory->is_short()) {
      this->server.ScheduleInspection();
    }
  }

  bool MayTakeRequest() const {
    return !this->server.options.held ||
           this->server.options.held->may_take_request(
               this->server.options.is_essential);
  }

  // Whether to read on. Bytes that are sent ahead of an answer are bounded.
  bool MayRead() const {
    if (this->lingering || (!this->exchange && !this->writing)) {
      return true;
    }
    return this->buffer.size() < kMaxPipelinedBytes &&
           (!this->server.options.held ||
            this->server.options.held->may_read_ahead());
  }

  void Write() {
    this->socket.async_write_some(
        asio::buffer(*this->outgoing) + this->sent_bytes,
        [self = this->shared_from_this(), message = this->outgoing](
            const boost::system::error_code& error, std::size_t size) {
          self->sent_bytes += size;
          if (!error && self->sent_bytes < message->size() && !self->closed) {
            self->sent_at = Now();
            self->Write();
            return;
          }
          self->AfterWrite(error);
        });
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
    this->outgoing.reset();
    this->unread_input = 0;
    this->server.unread.Remove(this);
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
    this->CountHeld();
  }

  // Closes the connection after the client has had time to read the answer.
  void Linger() {
    boost::system::error_code ignored;
    this->socket.shutdown(tcp::socket::shutdown_send, ignored);
    this->lingering = true;
    this->buffer.consume(this->buffer.size());
    this->buffer.shrink_to_fit();
    this->server.idle.Add(this, Now());
    this->StartTimer(kLingerTime);
    this->ReadOn();
    this->CountHeld();
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
    if (!this->MayRead()) {
      if (this->HasClientLeft()) {
        this->Close();
      }
      this->ReadOn();
      return;
    }
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
    this->CountHeld();
  }

  void ReadOn() {
    if (this->closed || this->reading) {
      return;
    }
    if (this->MayRead()) {
      this->Read();
    } else {
      this->server.ScheduleInspection();
    }
  }

  void Consume() {
    if (this->exchange || this->writing || this->closed || this->rejected ||
        this->closes_after || this->buffer.size() == 0) {
      return;
    }
    if (!this->parser) {
      if (!this->MayTakeRequest()) {
        this->Reject(503, kNoMemory, std::string(kNoMemoryRetryAfter));
        return;
      }
      const ServerLimits limits = this->Limits();
      this->expecting_request = false;
      this->request_bytes = 0;
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
      this->request_bytes += used;
      if (error || used == 0) {
        break;
      }
    }
    if (error && error != beast::http::error::need_more) {
      this->RejectMalformed(error);
      return;
    }
    if (this->buffer.size() == 0) {
      this->buffer.shrink_to_fit();
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
  std::shared_ptr<std::string> outgoing;  // the answer that is being sent
  std::size_t sent_bytes = 0;             // of it
  core::Instant sent_at;                  // when the client accepted the last
  std::size_t request_bytes = 0;  // read, of the request that is not answered
  std::size_t unread_input = 0;   // in the kernel
  std::size_t held = 0;           // counted towards the server's bound
  asio::ip::address peer;
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
  constexpr std::size_t kNotKnown = 0;
  if (this->Decide(kNotKnown) == ConnectionDecision::kWait) {
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

core::overload::ConnectionBounds Server::Bounds() const {
  const core::overload::ConnectionBounds bounds =
      this->options.connection_bounds();
  return this->options.held
             ? core::overload::LimitTo(bounds,
                                       this->options.held->most_connections())
             : bounds;
}

core::overload::ConnectionDecision Server::Decide(
    std::size_t of_address) const {
  using core::overload::ConnectionDecision;
  if (!this->options.connection_bounds) {
    return ConnectionDecision::kTake;
  }
  const core::Instant now = Now();
  return core::overload::DecideConnection(
      this->Bounds(), {.open = this->connections.size(),
                       .idle_for = this->idle.longest_wait(now),
                       .arriving_for = this->arriving.longest_wait(now),
                       .unread_for = this->unread.longest_wait(now),
                       .of_address = of_address});
}

std::size_t Server::CountOf(const asio::ip::address& address) const {
  const auto found = this->addresses.find(address);
  return found == this->addresses.end() ? 0 : found->second;
}

bool Server::CloseOldest(const WaitingConnections& waiting,
                         const asio::ip::address& newcomer) {
  const bool is_unread = &waiting == &this->unread;
  const bool has_room = this->connections.size() < this->Bounds().usual;
  ServerConnection* chosen = nullptr;
  waiting.VisitOldest(kMaxInspected, [&](ServerConnection& connection) {
    // With room for others, only the newcomer's address has too many.
    const bool suits = (is_unread || !connection.has_unread_input()) &&
                       (!has_room || connection.address() == newcomer);
    if (suits && (chosen == nullptr || this->CountOf(connection.address()) >
                                           this->CountOf(chosen->address()))) {
      chosen = &connection;
    }
  });
  if (chosen == nullptr) {
    return false;
  }
  if (is_unread) {
    this->ReportCut(*chosen, "its answer was not read");
    chosen->Cut();
  } else {
    chosen->Close();
  }
  return true;
}

void Server::AddConnection(tcp::socket socket) {
  using core::overload::ConnectionDecision;
  const auto connection =
      std::make_shared<ServerConnection>(*this, std::move(socket));
  const auto replace = [&](const WaitingConnections& waiting) {
    if (!this->CloseOldest(waiting, connection->address())) {
      connection->RefuseRequest();
    }
  };
  switch (this->Decide(this->CountOf(connection->address()))) {
    case ConnectionDecision::kTake:
      break;
    case ConnectionDecision::kReplaceIdle:
      replace(this->idle);
      break;
    case ConnectionDecision::kReplaceArriving:
      replace(this->arriving);
      break;
    case ConnectionDecision::kReplaceUnread:
      replace(this->unread);
      break;
    case ConnectionDecision::kTakeToRefuse:
    case ConnectionDecision::kWait:
      connection->RefuseRequest();
      break;
  }
  this->connections.insert(connection);
  connection->Start();
}

void Server::ScheduleInspection() {
  if (this->inspection != 0 || !this->options.held) {
    return;
  }
  this->inspection = this->timers.After(kInspectionPeriod, [this] {
    this->inspection = 0;
    bool is_any_paused = false;
    this->unread.VisitOldest(
        this->unread.size(), [&](ServerConnection& connection) {
          is_any_paused = connection.CountUnreadInput() || is_any_paused;
        });
    this->CutConnections();
    if (is_any_paused || this->options.held->is_short()) {
      this->ScheduleInspection();
    }
  });
}

void Server::CutConnections() {
  const core::Instant now = Now();
  std::vector<std::shared_ptr<ServerConnection>> waiting;
  std::vector<core::overload::HeldConnection> held;
  for (const auto& connection : this->connections) {
    if (const auto still = connection->standing_still(now)) {
      waiting.push_back(connection);
      held.push_back({.bytes = connection->held_bytes(),
                      .unread_bytes = connection->unread_bytes(),
                      .standing_still = *still});
    }
  }
  for (const std::size_t index : this->options.held->ChooseCuts(held)) {
    this->ReportCut(*waiting[index], "held too much");
    waiting[index]->Cut();
  }
}

void Server::ReportCut(const ServerConnection& connection,
                       std::string_view reason) {
  if (this->options.on_cut) {
    this->options.on_cut({.reason = reason,
                          .address = connection.address().to_string(),
                          .held_bytes = connection.held_bytes()});
  }
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
