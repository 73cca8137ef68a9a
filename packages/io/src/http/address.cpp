#include "lycheewell/io/http/address.h"

#include <charconv>
#include <stdexcept>
#include <string>

namespace lycheewell::io::http {

using boost::asio::ip::tcp;

std::optional<tcp::endpoint> TryParseEndpoint(std::string_view address) {
  const std::size_t colon = address.rfind(':');
  if (colon == std::string_view::npos) {
    return std::nullopt;
  }
  std::string_view host = address.substr(0, colon);
  if (host.size() >= 2 && host.front() == '[' && host.back() == ']') {
    host = host.substr(1, host.size() - 2);
  }
  const std::string_view port_text = address.substr(colon + 1);
  std::uint16_t port = 0;
  const auto [stop, parse_error] = std::from_chars(
      port_text.data(), port_text.data() + port_text.size(), port);
  const bool whole = stop == port_text.data() + port_text.size();
  boost::system::error_code error;
  const auto number = boost::asio::ip::make_address(std::string(host), error);
  if (error || parse_error != std::errc{} || !whole) {
    return std::nullopt;
  }
  return tcp::endpoint(number, port);
}

tcp::endpoint ParseEndpoint(std::string_view address) {
  const auto endpoint = TryParseEndpoint(address);
  if (!endpoint) {
    throw std::invalid_argument("'" + std::string(address) +
                                "' is not an IP number and port");
  }
  return *endpoint;
}

}  // namespace lycheewell::io::http
