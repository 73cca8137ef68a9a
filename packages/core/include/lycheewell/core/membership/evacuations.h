// The data centres that operators have evacuated.
#ifndef LYCHEEWELL_CORE_MEMBERSHIP_EVACUATIONS_H_
#define LYCHEEWELL_CORE_MEMBERSHIP_EVACUATIONS_H_

#include <compare>
#include <cstdint>
#include <set>
#include <string>
#include <vector>

#include "lycheewell/core/types.h"

namespace lycheewell::core::membership {

// A position in the operators' log.
struct LogPosition {
  // Rises when the log comes back from an older copy: offsets are then given
  // out again.
  std::uint64_t era = 0;
  Offset offset = 0;

  auto operator<=>(const LogPosition&) const = default;
};

// What one record of the log says.
struct EvacuationRecord {
  std::string data_centre;
  bool is_evacuated = false;  // false: the evacuation is taken back

  bool operator==(const EvacuationRecord&) const = default;
};

// What one read of the log has returned.
struct EvacuationRead {
  LogPosition end;
  // The newest record of each data centre, instead of the records of a part of
  // the log in their order.
  bool is_complete = false;
  std::vector<EvacuationRecord> records;

  bool operator==(const EvacuationRead&) const = default;
};

// Immutable.
struct Evacuations {
  LogPosition proven_at;  // all records before it are taken into account
  std::set<std::string> data_centres;

  bool operator==(const Evacuations&) const = default;
};

// What is known after a read. A read of a part of the log must begin at or
// before `known.proven_at`, in the same era.
//
// A log that comes back from an older copy may lack records until they are
// written again. With `keeps_missing`, a complete read of a newer era adds
// evacuations and ends none.
Evacuations AfterRead(const Evacuations& known, const EvacuationRead& read,
                      bool keeps_missing);

// The one that is proven at the later position. Two of the same position can
// differ because complete reads are no snapshots: then what either of them
// names is evacuated until a later record says otherwise.
Evacuations Merge(const Evacuations& first, const Evacuations& second);

}  // namespace lycheewell::core::membership

#endif  // LYCHEEWELL_CORE_MEMBERSHIP_EVACUATIONS_H_
