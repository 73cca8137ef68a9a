// What a daemon takes for text, a name and HTTP.
#include "lycheewell/core/names.h"

#include <catch2/catch.hpp>
#include <string>

#include "lycheewell/core/membership/start_name.h"

namespace {
using namespace lycheewell::core;
using membership::ParseStartName;
using membership::StartName;

std::string Byte(int value) { return {static_cast<char>(value)}; }

}  // namespace

TEST_CASE("Texts are UTF-8 only if each character is well-formed", "[names]") {
  SECTION("characters of one to four bytes") {
    for (const char* text : {"", "i-1", "\xc2\x80", "\xdf\xbf", "\xe0\xa0\x80",
                             "\xed\x9f\xbf", "\xef\xbf\xbd", "\xf0\x90\x80\x80",
                             "\xf4\x8f\xbf\xbf", "gr\xc3\xbc\xc3\x9f"}) {
      INFO(text);
      CHECK(IsUtf8(text));
    }
  }
  SECTION("overlong forms, surrogates, large numbers and cut characters") {
    for (const char* text :
         {"\x80", "\xbf", "\xc0\x80", "\xc1\xbf", "\xc2", "\xc2\x41",
          "\xe0\x9f\xbf", "\xe0\xa0", "\xed\xa0\x80", "\xed\xbf\xbf",
          "\xe1\x80\xc0", "\xf0\x8f\xbf\xbf", "\xf0\x90\x80",
          "\xf4\x90\x80\x80", "\xf5\x80\x80\x80", "\xff", "i-\xff\xfe",
          "caf\xe9"}) {
      INFO(text);
      CHECK_FALSE(IsUtf8(text));
    }
  }
}

TEST_CASE("Names are short texts without control characters", "[names]") {
  CHECK(IsName("kochi-a"));
  CHECK(IsName("S\xc3\xa3o Paulo"));
  CHECK(IsName(std::string(kMaxNameBytes, 'n')));
  CHECK_FALSE(IsName(""));
  CHECK_FALSE(IsName(std::string(kMaxNameBytes + 1, 'n')));
  CHECK_FALSE(IsName("a\xff"));
  CHECK_FALSE(IsName("a\nb"));
  CHECK_FALSE(IsName(std::string("a\0b", 3)));
}

TEST_CASE("The name of an instance has visible ASCII characters only",
          "[names]") {
  for (int value = 0; value < 256; ++value) {
    INFO(value);
    CHECK(IsInstanceName("i-" + Byte(value)) ==
          (value > ' ' && value < 0x7f && value != '/'));
  }
  CHECK_FALSE(IsInstanceName(""));
  CHECK(IsInstanceName(std::string(kMaxInstanceNameBytes, 'i')));
  CHECK_FALSE(IsInstanceName(std::string(kMaxInstanceNameBytes + 1, 'i')));

  SECTION("and so does the name of one of its starts") {
    const DaemonRef start{.id = "i@1", .incarnation = 1'765'000'000'000};
    CHECK(ParseStartName(StartName(start)) == start);
    for (const char* name : {"", "i", "@", "@5", "i@", "i@x", "i@5x", "i@-5",
                             "i\xff@5", "i@99999999999999999999999"}) {
      INFO(name);
      CHECK_FALSE(ParseStartName(name));
    }
  }
}

TEST_CASE("Parts of requests are taken as HTTP has them", "[names]") {
  for (int value = 0; value < 256; ++value) {
    INFO(value);
    const bool is_control = value < ' ' || value == 0x7f;
    CHECK(IsPathAndQuery("/a" + Byte(value) + "?b") ==
          (!is_control && value != ' '));
    CHECK(AreHeaderLines("X-Line: a" + Byte(value) + "b\r\n") ==
          (!is_control || value == '\t'));
    const bool is_separator =
        std::string("\"(),/:;<=>?@[\\]{} ").find(static_cast<char>(value)) !=
        std::string::npos;
    CHECK(IsToken("A" + Byte(value)) ==
          (!is_control && !is_separator && value < 0x80));
  }
  CHECK_FALSE(IsPathAndQuery(""));
  CHECK_FALSE(IsToken(""));

  SECTION("headers are whole lines") {
    CHECK(AreHeaderLines(""));
    CHECK(AreHeaderLines("A: 1\r\nB:\r\n"));
    for (const char* lines : {"A", "A: 1", "A: 1\n", "A: 1\r\n\r\n", ": 1\r\n",
                              "A B: 1\r\n", "A: 1\r\nB", " A: 1\r\n"}) {
      INFO(lines);
      CHECK_FALSE(AreHeaderLines(lines));
    }
  }
}
