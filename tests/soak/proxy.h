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

 private:
  using Socket = boost::asio::ip::tcp::socket;
  using SocketPointer = std::shared_ptr<Socket>;

  boost::asio::awaitable<void> Accept();
  boost::asio::awaitable<void> Serve(SocketPointer caller);
  boost::asio::awaitable<void> Pump(SocketPointer from, SocketPointer to,
                                    const std::atomic<bool>& is_held);

  boost::asio::io_context& context;
  boost::asio::ip::tcp::acceptor acceptor;
  int target_port;
  std::set<SocketPointer> sockets;
  std::atomic<int> delay_ms = 0;
  std::atomic<bool> holds_to_target = false;
  std::atomic<bool> holds_from_target = false;
  std::atomic<int> bytes_per_second = 0;
};

}  // namespace lycheewell::soak

#endif  // LYCHEEWELL_TESTS_SOAK_PROXY_H_
