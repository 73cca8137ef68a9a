// A TCP proxy on loopback that delays, holds up, narrows and resets.
#ifndef LYCHEEWELL_TESTS_SOAK_PROXY_H_
#define LYCHEEWELL_TESTS_SOAK_PROXY_H_

#include <atomic>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <memory>
#include <set>

namespace lycheewell::soak {

// Commands may come from any thread.
class Proxy {
 public:
  Proxy(boost::asio::io_context& context, int port, int target_port);

  // Commands.

  void SetDelay(int milliseconds) { this->delay_ms = milliseconds; }
  // Holds up what goes to the target, or what comes from it.
  void Hold(bool to_target, bool from_target) {
    this->holds_to_target = to_target;
    this->holds_from_target = from_target;
  }
  // 0: no limit.
  void SetBytesPerSecond(int bytes) { this->bytes_per_second = bytes; }
  void ResetAll();
  // Nothing more passes on the connections that are open now, nor do their
  // ends. New ones work.
  void SilenceOpen() { this->last_silent = this->last_connection.load(); }

 private:
  using Socket = boost::asio::ip::tcp::socket;
  using SocketPointer = std::shared_ptr<Socket>;

  boost::asio::awaitable<void> Accept();
  boost::asio::awaitable<void> Serve(SocketPointer caller);
  boost::asio::awaitable<void> Pump(SocketPointer from, SocketPointer to,
                                    int connection,
                                    const std::atomic<bool>& is_held);

  boost::asio::io_context& context;
  boost::asio::ip::tcp::acceptor acceptor;
  int target_port;
  std::set<SocketPointer> sockets;
  std::atomic<int> delay_ms = 0;
  std::atomic<bool> holds_to_target = false;
  std::atomic<bool> holds_from_target = false;
  std::atomic<int> bytes_per_second = 0;
  std::atomic<int> last_connection = 0;  // connections are numbered from 1
  std::atomic<int> last_silent = 0;
};

}  // namespace lycheewell::soak

#endif  // LYCHEEWELL_TESTS_SOAK_PROXY_H_
