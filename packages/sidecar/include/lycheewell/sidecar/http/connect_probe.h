// Finds out whether a process listens at an address.
#ifndef LYCHEEWELL_SIDECAR_HTTP_CONNECT_PROBE_H_
#define LYCHEEWELL_SIDECAR_HTTP_CONNECT_PROBE_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <functional>

#include "lycheewell/core/types.h"
#include "lycheewell/sidecar/timer_queue.h"

namespace lycheewell::sidecar::http {

enum class ConnectResult {
  kConnected,
  kRefused,  // nothing listens at the address
  kUnknown,  // no result in time, or another error
};

// Opens a connection and closes it again. Calls `done` once, within `timeout`
// and never from within this call.
void ProbeConnect(boost::asio::io_context& context, TimerQueue& timers,
                  const boost::asio::ip::tcp::endpoint& endpoint,
                  core::Duration timeout,
                  const std::function<void(ConnectResult)>& done);

}  // namespace lycheewell::sidecar::http

#endif  // LYCHEEWELL_SIDECAR_HTTP_CONNECT_PROBE_H_
