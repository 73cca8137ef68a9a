// The lines of the log, also with values that came from outside.
#include "lycheewell/daemon/events/event_log.h"

#include <log4cplus/nullappender.h>

#include <catch2/catch.hpp>
#include <string>
#include <string_view>

namespace {
using namespace lycheewell::daemon::events;

std::string TextOf(std::string_view value) {
  EventLog log(EventLogOptions{
      .appender = log4cplus::SharedAppenderPtr(new log4cplus::NullAppender)});
  log.Write(Event::kStarted, {{"name", value}});
  return log.Recent(1).at(0).text;
}

}  // namespace

// Guards against lines that no reader of UTF-8 can decode, or that a value
// breaks in two.
TEST_CASE("Lines of the log are printable UTF-8", "[events]") {
  CHECK(TextOf("vm-1") == "name=vm-1");
  CHECK(TextOf("Z\xc3\xbcrich") == "name=Z\xc3\xbcrich");

  SECTION("values with blanks or quotes, and empty ones, are quoted") {
    CHECK(TextOf("") == R"(name="")");
    CHECK(TextOf("a b") == R"(name="a b")");
    CHECK(TextOf("a\"b") == R"(name="a\"b")");
  }
  SECTION("line breaks become blanks") {
    CHECK(TextOf("a\r\nb") == R"(name="a  b")");
  }
  SECTION("other bytes are written as numbers") {
    CHECK(TextOf("i-\xff\xfe") == R"(name=i-\xFF\xFE)");
    CHECK(TextOf("caf\xe9 1") == R"(name="caf\xE9 1")");
    CHECK(TextOf(std::string_view("a\0b\x1b\x7f", 5)) ==
          R"(name=a\x00b\x1B\x7F)");
  }
}
