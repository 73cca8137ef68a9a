// The fleet's records in the platform's store, and what a daemon takes of them.
#ifndef LYCHEEWELL_SIDECAR_RECORDS_FLEET_RECORDS_H_
#define LYCHEEWELL_SIDECAR_RECORDS_FLEET_RECORDS_H_

#include <mesh.pb.h>

#include <string_view>
#include <variant>

#include "lycheewell/core/types.h"
#include "lycheewell/sidecar/hooks.h"
#include "lycheewell/sidecar/records/record_key.h"

namespace lycheewell::sidecar::records {

// Kinds of records other than members, the first part of their keys: crashed
// targets, and starts of targets that have said that they leave.
inline constexpr std::string_view kCrashRecords = "crash";
inline constexpr std::string_view kDepartureRecords = "departure";

struct DepartureRecord {
  RecordKey key;
  core::DaemonRef start;

  bool operator==(const DepartureRecord&) const = default;
};

struct CrashRecord {
  RecordKey key;
  mesh::CrashMarks marks;
};

// A kind that this version does not know is passed over.
struct UnknownRecord {
  RecordKey key;

  bool operator==(const UnknownRecord&) const = default;
};

using FleetRecord = std::variant<mesh::Member, DepartureRecord, CrashRecord,
                                 UnknownRecord, Unusable>;

// Marks of a crash that cannot be read are left out.
FleetRecord DecodeFleetRecord(const StoredRecord& stored);

}  // namespace lycheewell::sidecar::records

#endif  // LYCHEEWELL_SIDECAR_RECORDS_FLEET_RECORDS_H_
