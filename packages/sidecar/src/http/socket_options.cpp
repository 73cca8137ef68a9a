#include "lycheewell/sidecar/http/socket_options.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

namespace lycheewell::sidecar::http {
namespace {

// The connection is closed if sent data stays unacknowledged for this long.
// Several round trips and retransmissions between data centres fit.
constexpr int kUserTimeoutMs = 2500;

// TCP keep-alive: idle time before the first probe, interval between probes,
// and unanswered probes after which the connection is closed.
constexpr int kKeepAliveIdleSeconds = 2;
constexpr int kKeepAliveIntervalSeconds = 1;
constexpr int kKeepAliveProbeCount = 2;

void SetIntOption(int handle, int level, int name, int value) {
  setsockopt(handle, level, name, &value, sizeof value);
}

}  // namespace

void SetSocketOptions(boost::asio::ip::tcp::socket& socket) {
  const int handle = socket.native_handle();
  SetIntOption(handle, IPPROTO_TCP, TCP_NODELAY, 1);
  SetIntOption(handle, IPPROTO_TCP, TCP_USER_TIMEOUT, kUserTimeoutMs);
  SetIntOption(handle, SOL_SOCKET, SO_KEEPALIVE, 1);
  SetIntOption(handle, IPPROTO_TCP, TCP_KEEPIDLE, kKeepAliveIdleSeconds);
  SetIntOption(handle, IPPROTO_TCP, TCP_KEEPINTVL, kKeepAliveIntervalSeconds);
  SetIntOption(handle, IPPROTO_TCP, TCP_KEEPCNT, kKeepAliveProbeCount);
}

}  // namespace lycheewell::sidecar::http
