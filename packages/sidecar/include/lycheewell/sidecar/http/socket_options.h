// Options that make a silent peer visible.
#ifndef LYCHEEWELL_SIDECAR_HTTP_SOCKET_OPTIONS_H_
#define LYCHEEWELL_SIDECAR_HTTP_SOCKET_OPTIONS_H_

#include <boost/asio/ip/tcp.hpp>

namespace lycheewell::sidecar::http {

// Sends at once, and gives up on a peer whose host does not answer. Errors are
// ignored: a connection that lacks the options still works.
void SetSocketOptions(boost::asio::ip::tcp::socket& socket);

}  // namespace lycheewell::sidecar::http

#endif  // LYCHEEWELL_SIDECAR_HTTP_SOCKET_OPTIONS_H_
