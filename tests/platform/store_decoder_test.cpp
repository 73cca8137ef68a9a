// Answers of the store with entries that cannot be read.
#include "store_decoder.h"

#include <catch2/catch.hpp>
#include <string>

namespace {
using namespace lycheewell;
using platform::ApplyOperatorPage;
using platform::ApplyOperatorRecord;
using platform::DecodeLogPart;
using platform::DecodeNewestPage;
using sidecar::StoredManifest;
using sidecar::StoredRecord;

std::string Page(const std::string& items) {
  return R"({"items":[)" + items + R"(],"hasMore":true,"endOffset":7})";
}

std::string BigEndian(std::uint64_t value, std::size_t size) {
  std::string bytes(size, '\0');
  for (std::size_t i = size; i-- > 0; value >>= 8U) {
    bytes[i] = static_cast<char>(value & 0xffU);
  }
  return bytes;
}

std::string Record(const std::string& content) {
  return BigEndian(content.size(), 4) + content;
}

constexpr const char* kGood = R"({"key":"vm-1","value":"dm0tMQ=="})";

}  // namespace

// Guards against daemons that never got to know each other, as one entry made
// the whole page unreadable.
TEST_CASE("An entry that cannot be read costs no other entry of its page",
          "[platform]") {
  SECTION("whatever it is") {
    for (const std::string& entry :
         {std::string("7"), std::string("null"), std::string("[]"),
          std::string("{}"), std::string(R"({"key":7,"value":"dm0tMQ=="})"),
          std::string(R"({"key":{"key":"vm-1"},"value":"dm0tMQ=="})"),
          std::string(100, '[') + std::string(100, ']')}) {
      INFO(entry);
      std::string items = entry;
      items.append(",").append(kGood);
      const auto page = DecodeNewestPage(Page(items));
      REQUIRE(page);
      CHECK(page->records == std::vector<StoredRecord>{{"vm-1", "vm-1"}});
      CHECK(page->without_key == 1);
      CHECK(page->has_more);
      CHECK(page->last_key == "vm-1");
      CHECK(page->end_offset == 7);
    }
  }
  SECTION("a value that is not base64") {
    for (const char* value :
         {R"("x")", R"("====")", R"("dm0tMQ")", R"("dm0t*Q==")",
          R"("dm0=tMQ=")", "7", "null", R"(["dm0tMQ=="])"}) {
      INFO(value);
      const auto page = DecodeNewestPage(Page(std::string(kGood) +
                                              R"(,{"key":"vm-2","value":)" +
                                              std::string(value) + "}"));
      REQUIRE(page);
      CHECK(page->records.size() == 1);
      CHECK(page->without_value == std::vector<std::string>{"vm-2"});
      CHECK(page->last_key == "vm-2");
    }
  }
  SECTION("a key of bytes that are no text") {
    const auto page = DecodeNewestPage(Page(
        std::string(kGood) +
        ",{\"key\":\"departure/vm-1/i-\xff\xfe@5\",\"value\":\"" + "aQ==\"}"));
    REQUIRE(page);
    CHECK(page->records ==
          std::vector<StoredRecord>{{"vm-1", "vm-1"},
                                    {"departure/vm-1/i-\xff\xfe@5", "i"}});
  }
  SECTION("a key of escaped bytes that are no text") {
    const auto page = DecodeNewestPage(
        Page(std::string(kGood) +
             R"(,{"key":"i-\udcff\ud83d\ude00\ud800x\\ud800","value":""})"));
    REQUIRE(page);
    REQUIRE(page->records.size() == 2);
    CHECK(page->records[1].key ==
          "i-\xef\xbf\xbd\xf0\x9f\x98\x80\xef\xbf\xbdx\\ud800");
  }
  SECTION("what is no page is not taken for an empty one") {
    for (const char* body :
         {"", "{", "[]", "{}", R"({"items":[]})",
          R"({"items":7,"endOffset":7})", R"({"items":[],"endOffset":-7})"}) {
      INFO(body);
      CHECK_FALSE(DecodeNewestPage(body));
    }
  }
}

TEST_CASE("A record that cannot be read costs no other record of the log",
          "[platform]") {
  const std::string head = BigEndian(9, 8) + BigEndian(0, 8);
  const auto part = DecodeLogPart(head +
                                      Record("\x03"
                                             "keyvalue") +
                                      Record("") +
                                      Record("\xff"
                                             "short") +
                                      Record(std::string("\0empty", 6)),
                                  5);
  REQUIRE(part);
  CHECK(part->records ==
        std::vector<StoredRecord>{{"key", "value"}, {"", "empty"}});
  CHECK(part->unreadable == 2);
  CHECK(part->next_offset == 9);
  CHECK(part->end_offset == 9);
  CHECK_FALSE(DecodeLogPart("short", 0));
  CHECK_FALSE(DecodeLogPart(head + BigEndian(5, 4) + "cut", 0));
}

TEST_CASE("What operators' records say is taken if it can be read",
          "[platform]") {
  StoredManifest stored;

  SECTION("an evacuation names a data centre") {
    ApplyOperatorRecord({"evacuate/kochi-a", "{}"}, stored);
    ApplyOperatorRecord({"evacuate/\xff", "{}"}, stored);
    ApplyOperatorRecord({"evacuate/", "{}"}, stored);
    CHECK(stored.evacuations.records ==
          std::vector<core::membership::EvacuationRecord>{{"kochi-a", true}});
    CHECK(stored.unreadable_records == 2);
  }
  SECTION("a manifest without a readable value is not taken for none") {
    ApplyOperatorPage(
        *DecodeNewestPage(Page(R"({"key":"config","value":"*"})")), stored);
    CHECK(stored.document == "");
    CHECK(stored.unreadable_records == 1);
  }
  SECTION("another record without one does not hide the manifest") {
    ApplyOperatorPage(
        *DecodeNewestPage(Page(R"({"key":"config","value":"e30="},)"
                               R"({"key":"notes","value":"*"})")),
        stored);
    CHECK(stored.document == "{}");
  }
}
