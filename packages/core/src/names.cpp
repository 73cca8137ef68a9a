#include "lycheewell/core/names.h"

#include <algorithm>
#include <array>

namespace lycheewell::core {
namespace {

constexpr unsigned char kDelete = 0x7f;
constexpr unsigned char kFirstAboveAscii = 0x80;

bool IsControl(char letter) {
  const auto byte = static_cast<unsigned char>(letter);
  return byte < ' ' || byte == kDelete;
}

bool IsVisibleAscii(char letter) { return letter > ' ' && letter < '\x7f'; }

constexpr std::array<bool, 256> MakeTokenTable() {
  std::array<bool, 256> table{};
  for (unsigned char letter = '0'; letter <= '9'; ++letter) {
    table[letter] = true;
  }
  for (unsigned char letter = 'a'; letter <= 'z'; ++letter) {
    table[letter] = true;
    table[static_cast<unsigned char>(letter - 'a' + 'A')] = true;
  }
  for (const char letter : std::string_view("!#$%&'*+-.^_`|~")) {
    table[static_cast<unsigned char>(letter)] = true;
  }
  return table;
}

constexpr std::array<bool, 256> kIsTokenCharacter = MakeTokenTable();

// The bytes that may follow the first byte of a character.
struct Continuation {
  std::size_t count = 0;  // 0: no character begins with the byte
  // Bounds of the first of them; the others are 0x80 to 0xbf. They exclude
  // overlong forms, surrogates and numbers above U+10FFFF.
  unsigned char lowest = 0x80;
  unsigned char highest = 0xbf;
};

Continuation ContinuationOf(unsigned char first) {
  if (first >= 0xc2 && first <= 0xdf) {
    return {.count = 1};
  }
  if (first >= 0xe0 && first <= 0xef) {
    return {.count = 2,
            .lowest = first == 0xe0 ? static_cast<unsigned char>(0xa0)
                                    : static_cast<unsigned char>(0x80),
            .highest = first == 0xed ? static_cast<unsigned char>(0x9f)
                                     : static_cast<unsigned char>(0xbf)};
  }
  if (first >= 0xf0 && first <= 0xf4) {
    return {.count = 3,
            .lowest = first == 0xf0 ? static_cast<unsigned char>(0x90)
                                    : static_cast<unsigned char>(0x80),
            .highest = first == 0xf4 ? static_cast<unsigned char>(0x8f)
                                     : static_cast<unsigned char>(0xbf)};
  }
  return {};
}

}  // namespace

bool IsUtf8(std::string_view text) {
  for (std::size_t index = 0; index < text.size(); ++index) {
    const auto first = static_cast<unsigned char>(text[index]);
    if (first < kFirstAboveAscii) {
      continue;
    }
    Continuation next = ContinuationOf(first);
    if (next.count == 0 || text.size() - index <= next.count) {
      return false;
    }
    for (; next.count > 0; --next.count) {
      const auto byte = static_cast<unsigned char>(text[++index]);
      if (byte < next.lowest || byte > next.highest) {
        return false;
      }
      next.lowest = 0x80;
      next.highest = 0xbf;
    }
  }
  return true;
}

bool IsName(std::string_view text) {
  return !text.empty() && text.size() <= kMaxNameBytes &&
         std::none_of(text.begin(), text.end(), IsControl) && IsUtf8(text);
}

bool IsInstanceName(std::string_view text) {
  return !text.empty() && text.size() <= kMaxInstanceNameBytes &&
         std::all_of(text.begin(), text.end(), [](char letter) {
           return IsVisibleAscii(letter) && letter != '/';
         });
}

bool IsToken(std::string_view text) {
  return !text.empty() &&
         std::all_of(text.begin(), text.end(), [](char letter) {
           return kIsTokenCharacter[static_cast<unsigned char>(letter)];
         });
}

bool IsPathAndQuery(std::string_view text) {
  return !text.empty() &&
         std::none_of(text.begin(), text.end(), [](char letter) {
           return letter == ' ' || IsControl(letter);
         });
}

bool AreHeaderLines(std::string_view lines) {
  while (!lines.empty()) {
    const std::size_t end = lines.find("\r\n");
    if (end == std::string_view::npos) {
      return false;
    }
    const std::string_view line = lines.substr(0, end);
    const std::size_t colon = line.find(':');
    if (colon == std::string_view::npos || !IsToken(line.substr(0, colon))) {
      return false;
    }
    const std::string_view value = line.substr(colon + 1);
    if (std::any_of(value.begin(), value.end(), [](char letter) {
          return letter != '\t' && IsControl(letter);
        })) {
      return false;
    }
    lines.remove_prefix(end + 2);
  }
  return true;
}

}  // namespace lycheewell::core
