// Parses responses more strictly than Beast does where a lenient reading would
// change them.
#ifndef LYCHEEWELL_IO_HTTP_PARSE_RESPONSE_H_
#define LYCHEEWELL_IO_HTTP_PARSE_RESPONSE_H_

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>

namespace lycheewell::io::http {

using ResponseParser =
    boost::beast::http::response_parser<boost::beast::http::string_body>;

// Parses what `input` holds of one response and consumes it; what follows the
// response stays. Returns no error as long as more bytes may complete it.
//
// Errors are those of Beast, and
// - bad_field for a header or trailer line that begins with a blank: it is a
//   malformed line or an obsolete fold of the line before, and nothing tells
//   which;
// - bad_transfer_encoding for a transfer coding other than chunked, whose bytes
//   are not the body.
boost::beast::error_code ParseResponse(ResponseParser& parser,
                                       boost::beast::flat_buffer& input);

}  // namespace lycheewell::io::http

#endif  // LYCHEEWELL_IO_HTTP_PARSE_RESPONSE_H_
