// Addresses of the form "host:port" with an IP number as host.
#ifndef LYCHEEWELL_IO_HTTP_ADDRESS_H_
#define LYCHEEWELL_IO_HTTP_ADDRESS_H_

#include <boost/asio/ip/tcp.hpp>
#include <optional>
#include <string_view>

namespace lycheewell::io::http {

// Empty when `address` is not an IP number and a port; IPv6 numbers stand in
// square brackets.
std::optional<boost::asio::ip::tcp::endpoint> TryParseEndpoint(
    std::string_view address);

// Throws std::invalid_argument when `address` does not parse.
boost::asio::ip::tcp::endpoint ParseEndpoint(std::string_view address);

}  // namespace lycheewell::io::http

#endif  // LYCHEEWELL_IO_HTTP_ADDRESS_H_
