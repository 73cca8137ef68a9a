#include "lycheewell/io/http/parse_response.h"

#include <algorithm>
#include <string_view>

#include "lycheewell/io/http/message.h"

namespace lycheewell::io::http {
namespace beast = boost::beast;

namespace {

bool HasLineThatBeginsWithBlank(std::string_view lines) {
  return lines.find("\n ") != std::string_view::npos ||
         lines.find("\n\t") != std::string_view::npos;
}

bool HasUndecodedTransferCoding(const Response& response) {
  const auto [first, last] = response.equal_range(Field::transfer_encoding);
  return std::any_of(first, last, [](const auto& field) {
    return !beast::iequals(field.value(), "chunked") &&
           !beast::iequals(field.value(), "identity");
  });
}

}  // namespace

beast::error_code ParseResponse(ResponseParser& parser,
                                beast::flat_buffer& input) {
  // One call of put() takes no more than the rest of the head, a piece of the
  // body, or the last chunk with the trailer.
  parser.eager(false);
  while (input.size() > 0 && !parser.is_done()) {
    const bool is_in_head = !parser.is_header_done();
    beast::error_code error;
    const std::size_t used = parser.put(input.data(), error);
    const std::string_view parsed(static_cast<const char*>(input.data().data()),
                                  used);
    const bool has_fields =
        is_in_head || (parser.is_done() && parser.chunked());
    if (has_fields && HasLineThatBeginsWithBlank(parsed)) {
      return beast::http::error::bad_field;
    }
    if (is_in_head && parser.is_header_done() &&
        HasUndecodedTransferCoding(parser.get())) {
      return beast::http::error::bad_transfer_encoding;
    }
    input.consume(used);
    if (error && error != beast::http::error::need_more) {
      return error;
    }
    if (error || used == 0) {
      break;
    }
  }
  return {};
}

}  // namespace lycheewell::io::http
