// Waits in a coroutine for one value that another thread delivers.
#ifndef LYCHEEWELL_IO_ASYNC_WAITER_H_
#define LYCHEEWELL_IO_ASYNC_WAITER_H_

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/experimental/concurrent_channel.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <chrono>
#include <memory>
#include <optional>
#include <utility>

namespace lycheewell::io::async {

// The first value delivered counts; later ones are dropped. Held by
// shared_ptr by the coroutine and by whoever may deliver.
template <typename Value>
class Waiter : public std::enable_shared_from_this<Waiter<Value>> {
 public:
  explicit Waiter(const boost::asio::any_io_executor& executor)
      : channel(executor, 1), timer(executor) {}

  // Delivers from any thread.
  void Deliver(Value value) {
    this->channel.try_send(boost::system::error_code{},
                           std::optional<Value>(std::move(value)));
  }

  // Returns the value, or nothing after `timeout`. Called once.
  boost::asio::awaitable<std::optional<Value>> Wait(
      std::chrono::steady_clock::duration timeout) {
    this->timer.expires_after(timeout);
    this->timer.async_wait([self = this->shared_from_this()](
                               const boost::system::error_code& error) {
      if (!error) {
        self->channel.try_send(boost::system::error_code{},
                               std::optional<Value>{});
      }
    });
    auto [error, value] = co_await this->channel.async_receive(
        boost::asio::as_tuple(boost::asio::use_awaitable));
    this->timer.cancel();
    co_return error ? std::optional<Value>{} : std::move(value);
  }

 private:
  boost::asio::experimental::concurrent_channel<void(boost::system::error_code,
                                                     std::optional<Value>)>
      channel;
  boost::asio::steady_timer timer;
};

}  // namespace lycheewell::io::async

#endif  // LYCHEEWELL_IO_ASYNC_WAITER_H_
