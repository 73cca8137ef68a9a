// One HTTP/1.1 connection to a target or to the store.
#ifndef LYCHEEWELL_SIDECAR_HTTP_CLIENT_CONNECTION_H_
#define LYCHEEWELL_SIDECAR_HTTP_CLIENT_CONNECTION_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <variant>

#include "lycheewell/core/types.h"
#include "lycheewell/io/http/message.h"
#include "lycheewell/io/http/parse_response.h"
#include "lycheewell/sidecar/http/byte_budget.h"

namespace lycheewell::sidecar::http {

// Limits of one response. A longer one fails the exchange and closes the
// connection.
inline constexpr std::uint32_t kMaxResponseHeaderBytes = 64 * 1024;
inline constexpr std::uint64_t kMaxResponseBodyBytes = 8ULL * 1024 * 1024;

enum class ExchangeFailure {
  kNotSent,  // the request was not sent
  kBroken,  // the request may have arrived, but no complete answer was received
};

struct ExchangeProblem {
  ExchangeFailure failure = ExchangeFailure::kNotSent;
  std::string detail;
  bool is_connection_refused = false;  // nothing listens at the address

  bool operator==(const ExchangeProblem&) const = default;
};

using ExchangeOutcome = std::variant<io::http::Response, ExchangeProblem>;

// For use on the event loop's thread only. Always keeps a read pending, so that
// a close or unexpected bytes are detected while the connection is idle.
class ClientConnection : public std::enable_shared_from_this<ClientConnection> {
 public:
  struct Exchange {
    std::string message;  // the complete request as sent
    bool is_head = false;
    // Says whether a response belongs to this request. Others are discarded.
    std::function<bool(const io::http::Response&)> is_matching_response;
    std::function<void(ExchangeOutcome)> done;
    // Optional. Called when the connection is open and the message is handed to
    // it, possibly from within Start().
    std::function<void()> on_written;
  };

  // `body_budget` bounds the response bodies of all connections that share it;
  // null: no bound.
  ClientConnection(boost::asio::io_context& context,
                   boost::asio::ip::tcp::endpoint endpoint,
                   ByteBudgetPointer body_budget = nullptr);

  // Commands.

  // Sends a request; the connection must be idle. `done` is called once, never
  // from within this call.
  void Start(Exchange exchange);

  // Closes the connection and drops a running exchange without calling `done`.
  void Abort();

  // Queries.

  // Whether the connection is open and idle and has received nothing
  // unexpected.
  bool is_usable() const;
  bool is_connected() const { return this->connected; }
  core::Instant idle_since() const { return this->became_idle_at; }
  // The idle timeout that the peer has announced, if any.
  std::optional<std::chrono::seconds> peer_idle_timeout() const {
    return this->idle_timeout;
  }

 private:
  void Connect();
  void Write();
  void Read();
  // `at_end`: the peer has ended its stream in order.
  void Consume(bool at_end);
  void OnEndOfStream();
  // Closes the connection if it received bytes that belong to no exchange.
  void CloseOnStrayBytes();
  void CompleteResponse();
  void Fail(const std::string& detail, bool is_connection_refused = false);
  void CloseSocket();

  boost::asio::ip::tcp::socket socket;
  boost::asio::ip::tcp::endpoint endpoint;
  boost::beast::flat_buffer buffer;
  std::optional<io::http::ResponseParser> parser;
  std::optional<Exchange> current;
  std::shared_ptr<std::string> outgoing;
  std::optional<std::chrono::seconds> idle_timeout;
  core::Instant became_idle_at;
  BodyAllowance body_allowance;
  int skipped_responses = 0;  // during the current exchange
  bool connected = false;
  bool closed = false;
  bool sent_any = false;
  bool writing = false;
  bool must_close = false;
  // A write took the socket's error, for example a reset. The kernel reports it
  // once, so reads then see an end of stream that the peer has not sent. After
  // the peer's own end of stream writes fail with a broken pipe instead.
  bool is_broken = false;
};

}  // namespace lycheewell::sidecar::http

#endif  // LYCHEEWELL_SIDECAR_HTTP_CLIENT_CONNECTION_H_
