#include "lycheewell/io/http/server.h"

#include <sys/socket.h>

#include <atomic>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/strand.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core.hpp>
#include <mutex>
#include <set>

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
      asio::post(connection->stream.get_executor(), [connection] {
        if (connection->is_idle) {
          connection->stream.cancel();
        }
      });
    }
  }

  std::uint16_t port() const { return this->bound_port; }

  std::size_t connection_count() const {
    const std::lock_guard lock(this->mutex);
    return this->connections.size();
  }

 private:
  struct Connection {
    explicit Connection(Socket socket) : stream(std::move(socket)) {}

    Stream stream;
    beast::flat_buffer buffer;
    bool is_idle = true;  // used on the stream's strand
  };
  using ConnectionPointer = std::shared_ptr<Connection>;

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
      auto connection = std::make_shared<Connection>(std::move(socket));
      {
        const std::lock_guard lock(this->mutex);
        this->connections.insert(connection);
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
    beast::http::request_parser<beast::http::string_body> parser;
    parser.body_limit(this->options.body_limit);
    parser.header_limit(static_cast<std::uint32_t>(this->options.header_limit));
    stream.expires_after(this->options.transfer_timeout);
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
    response.set("Lycheewell-Outcome", "not-run");
    connection->stream.expires_after(this->options.transfer_timeout);
    co_await beast::http::async_write(connection->stream, response, kTokens);
    co_await this->DrainInput(connection);
  }

  // Reads what the caller still sends, for a short time: closing with unread
  // data would reset the connection before the caller has read the answer.
  asio::awaitable<void> DrainInput(ConnectionPointer connection) {
    constexpr auto kDrainTime = std::chrono::seconds(1);
    constexpr std::size_t kDrainBytes = 8 * 1024 * 1024;
    constexpr std::size_t kChunk = 64 * 1024;
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
