#include "lycheewell/sidecar/http/connect_probe.h"

#include <memory>

namespace lycheewell::sidecar::http {
namespace asio = boost::asio;
using tcp = asio::ip::tcp;

void ProbeConnect(asio::io_context& context, TimerQueue& timers,
                  const tcp::endpoint& endpoint, core::Duration timeout,
                  const std::function<void(ConnectResult)>& done) {
  const auto socket = std::make_shared<tcp::socket>(context);
  const auto timer = std::make_shared<TimerQueue::Id>(0);
  // Closing the socket ends the connect with an error.
  *timer = timers.After(timeout, [socket, timer] {
    *timer = 0;
    boost::system::error_code ignored;
    socket->close(ignored);
  });
  socket->async_connect(endpoint, [socket, timer, &timers, done](
                                      const boost::system::error_code& error) {
    timers.Cancel(*timer);
    if (!error) {
      done(ConnectResult::kConnected);
    } else {
      done(error == asio::error::connection_refused ? ConnectResult::kRefused
                                                    : ConnectResult::kUnknown);
    }
  });
}

}  // namespace lycheewell::sidecar::http
