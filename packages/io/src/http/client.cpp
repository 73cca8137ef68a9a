#include "lycheewell/io/http/client.h"

#include <sys/socket.h>

#include <atomic>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/bind_executor.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/strand.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core.hpp>

#include "lycheewell/io/http/address.h"
#include "lycheewell/io/http/parse_response.h"
#include "lycheewell/io/http/status.h"

namespace lycheewell::io::http {
namespace asio = boost::asio;
namespace beast = boost::beast;
using tcp = asio::ip::tcp;

namespace {

constexpr auto kTokens = asio::as_tuple(asio::use_awaitable);
constexpr std::size_t kMostIdleConnections = 256;
constexpr int kMostInterimAnswers = 16;
constexpr std::size_t kReadSize = 16 * 1024;
constexpr auto kConnectTimeout = std::chrono::milliseconds(500);

using Strand = asio::strand<asio::io_context::executor_type>;
using Stream = beast::basic_stream<tcp, Strand>;

// Whether an idle connection has neither been closed nor received bytes.
bool IsQuiet(int socket) {
  char byte = 0;
  const ssize_t count =
      recv(socket, &byte, sizeof byte, MSG_PEEK | MSG_DONTWAIT);
  return count < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

}  // namespace

struct Client::Connection {
  explicit Connection(asio::io_context& context)
      : stream(asio::make_strand(context)) {}

  Stream stream;
  beast::flat_buffer buffer;
  std::atomic<bool> cancelled = false;
};

Client::Client(asio::io_context& new_context) : context(new_context) {}

Client::ConnectionPointer Client::TakeIdle(const std::string& address) {
  const std::lock_guard lock(this->mutex);
  auto& connections = this->idle[address];
  while (!connections.empty()) {
    ConnectionPointer connection = std::move(connections.back());
    connections.pop_back();
    if (IsQuiet(connection->stream.socket().native_handle())) {
      return connection;
    }
  }
  return nullptr;
}

void Client::KeepIdle(const std::string& address,
                      ConnectionPointer connection) {
  const std::lock_guard lock(this->mutex);
  auto& connections = this->idle[address];
  if (connections.size() < kMostIdleConnections) {
    connections.push_back(std::move(connection));
  }
}

namespace {

template <typename ConnectionType>
ExchangeError MakeError(const ConnectionType& connection,
                        const boost::system::error_code& error) {
  if (connection.cancelled) {
    return {ExchangeErrorKind::kCancelled, "cancelled"};
  }
  if (error == beast::error::timeout) {
    return {ExchangeErrorKind::kTimeout, "no whole answer in time"};
  }
  if (error == beast::http::error::body_limit) {
    return {ExchangeErrorKind::kTooLarge, "the answer is too large"};
  }
  return {ExchangeErrorKind::kBroken, error.message()};
}

// Reads a whole response, or the head of one that has no length or no status.
template <typename ConnectionPointer>
asio::awaitable<boost::system::error_code> ReadResponse(
    ConnectionPointer connection, ResponseParser& parser) {
  for (;;) {
    const auto error = ParseResponse(parser, connection->buffer);
    const bool is_complete =
        parser.is_done() ||
        (parser.is_header_done() &&
         (parser.need_eof() ||
          KindOf(parser.get().result_int()) == StatusKind::kNone));
    if (error || is_complete) {
      co_return error;
    }
    auto [read_error, size] = co_await connection->stream.async_read_some(
        connection->buffer.prepare(kReadSize), kTokens);
    if (read_error == asio::error::eof) {
      co_return beast::http::error::partial_message;
    }
    if (read_error) {
      co_return read_error;
    }
    connection->buffer.commit(size);
  }
}

// Connects, sends and receives on the connection's strand.
template <typename ConnectionPointer>
asio::awaitable<ExchangeResult> RunExchange(
    ConnectionPointer connection, tcp::endpoint endpoint, Request request,
    std::size_t body_limit, std::chrono::steady_clock::duration timeout) {
  Stream& stream = connection->stream;
  const auto end = std::chrono::steady_clock::now() + timeout;
  if (!stream.socket().is_open()) {
    stream.expires_after(std::min<std::chrono::steady_clock::duration>(
        kConnectTimeout, timeout));
    auto [error] = co_await stream.async_connect(endpoint, kTokens);
    if (error) {
      co_return ExchangeError{connection->cancelled
                                  ? ExchangeErrorKind::kCancelled
                                  : ExchangeErrorKind::kNotConnected,
                              error.message()};
    }
    boost::system::error_code ignored;
    stream.socket().set_option(tcp::no_delay(true), ignored);
  }
  if (connection->cancelled) {
    co_return ExchangeError{ExchangeErrorKind::kCancelled, "cancelled"};
  }
  stream.expires_at(end);
  auto [write_error, written] =
      co_await beast::http::async_write(stream, request, kTokens);
  if (write_error) {
    co_return MakeError(*connection, write_error);
  }
  for (int interim = 0; interim <= kMostInterimAnswers; ++interim) {
    ResponseParser parser;
    parser.body_limit(body_limit);
    parser.skip(request.method() == Verb::head);
    const auto read_error = co_await ReadResponse(connection, parser);
    if (read_error) {
      co_return MakeError(*connection, read_error);
    }
    const unsigned status = parser.get().result_int();
    const StatusKind kind = KindOf(status);
    if (kind == StatusKind::kInterim) {
      continue;
    }
    if (kind == StatusKind::kNone) {
      co_return ExchangeError{ExchangeErrorKind::kBroken,
                              "answer with status " + std::to_string(status)};
    }
    // A body that ends with the connection has no length to check it against.
    if (parser.need_eof()) {
      co_return ExchangeError{ExchangeErrorKind::kBroken,
                              "the answer has no length"};
    }
    stream.expires_never();
    co_return parser.release();
  }
  co_return ExchangeError{ExchangeErrorKind::kBroken,
                          "too many interim answers"};
}

}  // namespace

asio::awaitable<ExchangeResult> Client::Exchange(
    Request request, const ExchangeOptions& options) {
  const auto endpoint = TryParseEndpoint(options.address);
  if (!endpoint) {
    co_return ExchangeError{ExchangeErrorKind::kNotConnected,
                            "'" + options.address + "' is not an address"};
  }
  if (request.find(Field::host) == request.end()) {
    request.set(Field::host, options.address);
  }
  request.prepare_payload();
  ConnectionPointer connection = this->TakeIdle(options.address);
  if (!connection) {
    connection = std::make_shared<Connection>(this->context);
  }
  const async::CancellationCallback on_cancel(
      options.cancellation, [weak = std::weak_ptr(connection)] {
        const auto cancelled = weak.lock();
        if (!cancelled) {
          return;
        }
        cancelled->cancelled = true;
        asio::post(cancelled->stream.get_executor(),
                   [cancelled] { cancelled->stream.cancel(); });
      });
  ExchangeResult result = co_await asio::co_spawn(
      connection->stream.get_executor(),
      RunExchange(connection, *endpoint, std::move(request), options.body_limit,
                  options.timeout),
      asio::use_awaitable);
  const Response* response = std::get_if<Response>(&result);
  const bool may_keep = response != nullptr && response->keep_alive() &&
                        !connection->cancelled &&
                        connection->buffer.size() == 0;
  if (may_keep) {
    this->KeepIdle(options.address, std::move(connection));
  }
  co_return result;
}

void Client::CloseIdle() {
  const std::lock_guard lock(this->mutex);
  this->idle.clear();
}

asio::awaitable<bool> Client::CanConnect(std::string address) {
  const auto endpoint = TryParseEndpoint(address);
  if (!endpoint) {
    co_return false;
  }
  Stream stream(asio::make_strand(this->context));
  stream.expires_after(kConnectTimeout);
  auto [error] = co_await stream.async_connect(*endpoint, kTokens);
  co_return !error;
}

}  // namespace lycheewell::io::http
