// Records in the store, also those that daemons of earlier versions wrote.
#include "lycheewell/sidecar/records/fleet_records.h"

#include <catch2/catch.hpp>
#include <string>
#include <variant>

namespace {
using namespace lycheewell;
using namespace lycheewell::sidecar::records;
using sidecar::StoredRecord;

std::string MemberRecord(const std::string& name, const std::string& address) {
  mesh::Member member;
  member.set_name(name);
  member.set_address(address);
  return member.SerializeAsString();
}

bool IsUnreadable(const StoredRecord& stored) {
  return std::holds_alternative<sidecar::Unusable>(DecodeFleetRecord(stored));
}

}  // namespace

TEST_CASE("Records of the fleet name members, departures and crashes",
          "[sidecar][records]") {
  const auto member = DecodeFleetRecord(
      {.key = "vm-1", .value = MemberRecord("vm-1", "10.0.0.1:7000")});
  REQUIRE(std::holds_alternative<mesh::Member>(member));
  CHECK(std::get<mesh::Member>(member).name() == "vm-1");
  const RecordKey departure{
      .kind = "departure", .daemon = "vm-1", .id = "i-1@5"};
  CHECK(std::get<DepartureRecord>(DecodeFleetRecord(
            {.key = EncodeKey(departure), .value = "i-1@5"})) ==
        DepartureRecord{.key = departure,
                        .start = {.id = "i-1", .incarnation = 5}});
  const RecordKey unknown{.kind = "news", .daemon = "vm-1", .id = "\xff"};
  CHECK(std::get<UnknownRecord>(
            DecodeFleetRecord({.key = EncodeKey(unknown), .value = "1"})) ==
        UnknownRecord{.key = unknown});
}

// Guards against daemons that could not link up after they had read a record
// with bytes that are no text.
TEST_CASE("Records that cannot be read name nothing", "[sidecar][records]") {
  CHECK(IsUnreadable({.key = "vm-1", .value = "\xff\xff"}));
  CHECK(IsUnreadable(
      {.key = "vm-1", .value = MemberRecord("vm-\xff", "10.0.0.1:7000")}));
  CHECK(IsUnreadable({.key = "vm-1", .value = MemberRecord("vm-1", "vm-1")}));
  CHECK(IsUnreadable({.key = "departure/vm-1/i-\xff\xfe@5", .value = "x"}));
  CHECK(IsUnreadable({.key = "departure/vm-1/i-1", .value = "i-1"}));
  CHECK(IsUnreadable({.key = "departure/\xff/i-1@5", .value = "i-1@5"}));
  CHECK(IsUnreadable({.key = "crash/vm-1/i-1@5", .value = "\xff"}));
  CHECK(IsUnreadable({.key = "crash/vm-1/i-\xff@5", .value = ""}));

  SECTION("and marks that cannot be read are left out of a crash") {
    mesh::CrashMarks marks;
    for (const char* instance : {"i-1", "i-\xff", ""}) {
      auto* mark = marks.add_marks();
      mark->set_fingerprint("f");
      mark->set_instance(instance);
    }
    const auto record = DecodeFleetRecord(
        {.key = "crash/vm-1/i-1@5", .value = marks.SerializeAsString()});
    REQUIRE(std::holds_alternative<CrashRecord>(record));
    CHECK(std::get<CrashRecord>(record).marks.marks_size() == 1);
  }
}
