// What text a daemon accepts from clients, targets, peers and the store.
#ifndef LYCHEEWELL_CORE_NAMES_H_
#define LYCHEEWELL_CORE_NAMES_H_

#include <cstddef>
#include <string_view>

namespace lycheewell::core {

// Longest names in bytes. The name of a target's instance is a part of a key in
// the platform's store, which has at most 255 bytes.
inline constexpr std::size_t kMaxNameBytes = 255;
inline constexpr std::size_t kMaxInstanceNameBytes = 128;

// Whether `text` is well-formed UTF-8 as in RFC 3629.
bool IsUtf8(std::string_view text);

// Whether `text` can name a daemon or data centre, also within a record's key:
// 1 to kMaxNameBytes bytes of UTF-8 without control characters.
bool IsName(std::string_view text);

// Whether `text` can name an instance of a target: 1 to kMaxInstanceNameBytes
// visible ASCII characters without a slash. URLs, headers and the store's keys
// leave such a name unchanged.
bool IsInstanceName(std::string_view text);

// Whether `text` is a token as in RFC 9110, such as a method or the name of a
// header.
bool IsToken(std::string_view text);

// Whether `text` can be the path and query of a request line. Unlike RFC 9112
// it may contain bytes above 0x7f, which clients send and targets understand.
bool IsPathAndQuery(std::string_view text);

// Whether `lines` consists of lines "Name: value\r\n" whose names are tokens
// and whose values have no control characters other than tabs.
bool AreHeaderLines(std::string_view lines);

}  // namespace lycheewell::core

#endif  // LYCHEEWELL_CORE_NAMES_H_
