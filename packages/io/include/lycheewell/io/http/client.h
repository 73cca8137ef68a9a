// HTTP/1.1 client with a pool of kept connections.
#ifndef LYCHEEWELL_IO_HTTP_CLIENT_H_
#define LYCHEEWELL_IO_HTTP_CLIENT_H_

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <chrono>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <variant>
#include <vector>

#include "lycheewell/io/async/cancellation.h"
#include "lycheewell/io/http/message.h"

namespace lycheewell::io::http {

// How far an exchange came that gave no whole answer.
enum class ExchangeErrorKind {
  kNotConnected,  // no byte of the request was sent
  kBroken,        // the connection ended before the whole answer
  kTimeout,       // no whole answer in time
  kCancelled,
  kTooLarge,  // the answer exceeds the limit
};

struct ExchangeError {
  ExchangeErrorKind kind = ExchangeErrorKind::kNotConnected;
  std::string detail;

  bool operator==(const ExchangeError&) const = default;
};

using ExchangeResult = std::variant<Response, ExchangeError>;

struct ExchangeOptions {
  std::string address;  // "host:port"
  std::chrono::steady_clock::duration timeout = std::chrono::seconds(10);
  std::size_t body_limit = 8 * 1024 * 1024;
  async::CancellationPointer cancellation;  // may be empty
};

// Safe to use from any thread. A connection whose exchange did not end with a
// whole answer is closed and never used again.
class Client {
 public:
  explicit Client(boost::asio::io_context& context);

  // Sends `request` and returns the whole answer. `options` must live until
  // then.
  boost::asio::awaitable<ExchangeResult> Exchange(
      Request request, const ExchangeOptions& options);

  // Closes the connections that are not in use.
  void CloseIdle();

  // Whether a new connection to `address` can be made.
  boost::asio::awaitable<bool> CanConnect(std::string address);

 private:
  struct Connection;
  using ConnectionPointer = std::shared_ptr<Connection>;

  ConnectionPointer TakeIdle(const std::string& address);
  void KeepIdle(const std::string& address, ConnectionPointer connection);

  boost::asio::io_context& context;
  std::mutex mutex;
  std::map<std::string, std::vector<ConnectionPointer>> idle;
};

}  // namespace lycheewell::io::http

#endif  // LYCHEEWELL_IO_HTTP_CLIENT_H_
