#include "soak/proxy.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <chrono>
#include <string>

namespace lycheewell::soak {
namespace asio = boost::asio;
using asio::ip::tcp;
using std::chrono::milliseconds;

namespace {

constexpr std::size_t kBlockBytes = 4 * 1024;
constexpr milliseconds kHoldCheckPeriod{10};

tcp::endpoint Loopback(int port) {
  return {asio::ip::make_address("127.0.0.1"),
          static_cast<std::uint16_t>(port)};
}

asio::awaitable<void> WaitFor(milliseconds time) {
  asio::steady_timer timer(co_await asio::this_coro::executor, time);
  co_await timer.async_wait(asio::use_awaitable);
}

void Reset(tcp::socket& socket) {
  boost::system::error_code ignored;
  socket.set_option(asio::socket_base::linger(true, 0), ignored);
  socket.close(ignored);
}

}  // namespace

Proxy::Proxy(asio::io_context& new_context, int port, int new_target_port)
    : context(new_context),
      acceptor(new_context, Loopback(port)),
      target_port(new_target_port) {
  asio::co_spawn(this->context, this->Accept(), asio::detached);
}

void Proxy::ResetAll() {
  asio::post(this->context, [this] {
    for (const SocketPointer& socket : this->sockets) {
      Reset(*socket);
    }
  });
}

asio::awaitable<void> Proxy::Accept() {
  for (;;) {
    const auto caller = std::make_shared<tcp::socket>(
        co_await this->acceptor.async_accept(asio::use_awaitable));
    asio::co_spawn(this->context, this->Serve(caller), asio::detached);
  }
}

asio::awaitable<void> Proxy::Serve(SocketPointer caller) {
  const auto target = std::make_shared<tcp::socket>(this->context);
  const int connection = ++this->last_connection;
  try {
    co_await target->async_connect(Loopback(this->target_port),
                                   asio::use_awaitable);
  } catch (const boost::system::system_error&) {
    Reset(*caller);  // nothing listens behind the proxy
    co_return;
  }
  this->sockets.insert(caller);
  this->sockets.insert(target);
  asio::co_spawn(this->context,
                 this->Pump(caller, target, connection, this->holds_to_target),
                 asio::detached);
  co_await this->Pump(target, caller, connection, this->holds_from_target);
}

asio::awaitable<void> Proxy::Pump(SocketPointer from, SocketPointer to,
                                  int connection,
                                  const std::atomic<bool>& is_held) {
  std::string block(kBlockBytes, '\0');
  try {
    for (;;) {
      const std::size_t size = co_await from->async_read_some(
          asio::buffer(block), asio::use_awaitable);
      if (this->delay_ms > 0) {
        co_await WaitFor(milliseconds(this->delay_ms));
      }
      if (this->bytes_per_second > 0) {
        co_await WaitFor(milliseconds(static_cast<int>(size) * 1000 /
                                      this->bytes_per_second));
      }
      while (is_held || connection <= this->last_silent) {
        co_await WaitFor(kHoldCheckPeriod);
      }
      co_await asio::async_write(*to, asio::buffer(block.data(), size),
                                 asio::use_awaitable);
    }
  } catch (const boost::system::system_error&) {
    Reset(*from);  // one side has ended: so does the other
    Reset(*to);
  }
  this->sockets.erase(from);
  this->sockets.erase(to);
}

}  // namespace lycheewell::soak
