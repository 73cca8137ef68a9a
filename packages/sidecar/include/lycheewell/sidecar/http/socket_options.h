// Socket options that detect an unresponsive peer.
#ifndef LYCHEEWELL_SIDECAR_HTTP_SOCKET_OPTIONS_H_
#define LYCHEEWELL_SIDECAR_HTTP_SOCKET_OPTIONS_H_

#include <boost/asio/ip/tcp.hpp>

namespace lycheewell::sidecar::http {

// Disables Nagle's algorithm and sets timeouts that close the connection if the
// peer's host does not respond. Errors are ignored: a connection without the
// options still works.
void SetSocketOptions(boost::asio::ip::tcp::socket& socket);

}  // namespace lycheewell::sidecar::http

#endif  // LYCHEEWELL_SIDECAR_HTTP_SOCKET_OPTIONS_H_
