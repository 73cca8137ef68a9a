#include "lycheewell/sidecar/http/socket_options.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

namespace lycheewell::sidecar::http {
namespace {

// Data that stays unacknowledged this long ends the connection: several round
// trips and retransmissions between data centres fit.
constexpr int kUserTimeoutMs = 2500;

// Keep-alive probes on an idle connection, in seconds and probes.
constexpr int kProbeAfterSeconds = 2;
constexpr int kProbeIntervalSeconds = 1;
constexpr int kProbes = 2;

void Set(int handle, int level, int name, int value) {
  setsockopt(handle, level, name, &value, sizeof value);
}

}  // namespace

void SetSocketOptions(boost::asio::ip::tcp::socket& socket) {
  const int handle = socket.native_handle();
  Set(handle, IPPROTO_TCP, TCP_NODELAY, 1);
  Set(handle, IPPROTO_TCP, TCP_USER_TIMEOUT, kUserTimeoutMs);
  Set(handle, SOL_SOCKET, SO_KEEPALIVE, 1);
  Set(handle, IPPROTO_TCP, TCP_KEEPIDLE, kProbeAfterSeconds);
  Set(handle, IPPROTO_TCP, TCP_KEEPINTVL, kProbeIntervalSeconds);
  Set(handle, IPPROTO_TCP, TCP_KEEPCNT, kProbes);
}

}  // namespace lycheewell::sidecar::http
