// HTTP types shared by servers and clients.
#ifndef LYCHEEWELL_IO_HTTP_MESSAGE_H_
#define LYCHEEWELL_IO_HTTP_MESSAGE_H_

#include <boost/beast/http.hpp>
#include <string>
#include <string_view>

namespace lycheewell::io::http {

using Request = boost::beast::http::request<boost::beast::http::string_body>;
using Response = boost::beast::http::response<boost::beast::http::string_body>;
using Status = boost::beast::http::status;
using Field = boost::beast::http::field;
using Verb = boost::beast::http::verb;

// Path and query of a request target.
struct Target {
  std::string path;
  std::string query;

  bool operator==(const Target&) const = default;
};

Target SplitTarget(std::string_view target);

// The value of `name` in a query, with %XX decoded; empty when it is absent.
std::string QueryValue(std::string_view query, std::string_view name);

// Encodes `text` for use as a query value.
std::string EncodeQueryValue(std::string_view text);

Response MakeResponse(Status status, std::string_view content_type,
                      std::string body);
Response MakeJson(Status status, std::string body);

// A string_view of a Beast field value.
inline std::string_view View(boost::beast::string_view text) {
  return {text.data(), text.size()};
}

}  // namespace lycheewell::io::http

#endif  // LYCHEEWELL_IO_HTTP_MESSAGE_H_
