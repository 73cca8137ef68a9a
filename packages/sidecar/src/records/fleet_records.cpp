#include "lycheewell/sidecar/records/fleet_records.h"

#include "lycheewell/core/membership/start_name.h"
#include "lycheewell/core/names.h"
#include "lycheewell/sidecar/links/message_checks.h"

namespace lycheewell::sidecar::records {

FleetRecord DecodeFleetRecord(const StoredRecord& stored) {
  const auto key = DecodeKey(stored.key);
  if (!key) {
    mesh::Member member;
    return member.ParseFromString(stored.value) && links::IsMember(member)
               ? FleetRecord(std::move(member))
               : FleetRecord(Unusable{"not a member"});
  }
  if (!core::IsName(key->daemon)) {
    return Unusable{"its key names no daemon"};
  }
  if (key->kind != kDepartureRecords && key->kind != kCrashRecords) {
    return UnknownRecord{.key = *key};
  }
  const auto start = core::membership::ParseStartName(key->id);
  if (!start) {
    return Unusable{"its key names no start of a target"};
  }
  if (key->kind == kDepartureRecords) {
    return DepartureRecord{.key = *key, .start = *start};
  }
  CrashRecord crash{.key = *key};
  if (!crash.marks.ParseFromString(stored.value)) {
    return Unusable{"not the marks of a crash"};
  }
  links::RemoveInvalid(crash.marks);
  return crash;
}

}  // namespace lycheewell::sidecar::records
