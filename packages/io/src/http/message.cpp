#include "lycheewell/io/http/message.h"

#include <cctype>
#include <cstdio>

namespace lycheewell::io::http {
namespace {

int HexDigit(char digit) {
  if (digit >= '0' && digit <= '9') {
    return digit - '0';
  }
  const int lower = std::tolower(static_cast<unsigned char>(digit));
  return lower >= 'a' && lower <= 'f' ? lower - 'a' + 10 : -1;
}

std::string DecodePercent(std::string_view text) {
  std::string decoded;
  for (std::size_t index = 0; index < text.size(); ++index) {
    const bool has_digits = text[index] == '%' && index + 2 < text.size() + 0;
    const int high = has_digits ? HexDigit(text[index + 1]) : -1;
    const int low = has_digits ? HexDigit(text[index + 2]) : -1;
    if (high >= 0 && low >= 0) {
      decoded.push_back(static_cast<char>(high * 16 + low));
      index += 2;
    } else {
      decoded.push_back(text[index] == '+' ? ' ' : text[index]);
    }
  }
  return decoded;
}

}  // namespace

Target SplitTarget(std::string_view target) {
  const std::size_t mark = target.find('?');
  if (mark == std::string_view::npos) {
    return {std::string(target), {}};
  }
  return {std::string(target.substr(0, mark)),
          std::string(target.substr(mark + 1))};
}

std::string QueryValue(std::string_view query, std::string_view name) {
  while (!query.empty()) {
    const std::size_t end = query.find('&');
    const std::string_view pair = query.substr(0, end);
    const std::size_t equals = pair.find('=');
    if (pair.substr(0, equals) == name) {
      return equals == std::string_view::npos
                 ? std::string{}
                 : DecodePercent(pair.substr(equals + 1));
    }
    if (end == std::string_view::npos) {
      break;
    }
    query.remove_prefix(end + 1);
  }
  return {};
}

std::string EncodeQueryValue(std::string_view text) {
  std::string encoded;
  for (const char letter : text) {
    const auto byte = static_cast<unsigned char>(letter);
    if (std::isalnum(byte) != 0 || letter == '-' || letter == '.' ||
        letter == '_') {
      encoded.push_back(letter);
      continue;
    }
    char escape[4];
    std::snprintf(escape, sizeof escape, "%%%02X", byte);
    encoded += escape;
  }
  return encoded;
}

Response MakeResponse(Status status, std::string_view content_type,
                      std::string body) {
  constexpr unsigned kHttpVersion = 11;
  Response response{status, kHttpVersion};
  response.set(
      Field::content_type,
      boost::beast::string_view(content_type.data(), content_type.size()));
  response.body() = std::move(body);
  response.prepare_payload();
  return response;
}

Response MakeJson(Status status, std::string body) {
  return MakeResponse(status, "application/json", std::move(body));
}

}  // namespace lycheewell::io::http
