// The command that changes State: folds in one record.
#ifndef LYCHEEWELL_CORE_CONFIGURATION_COMMANDS_APPLY_RECORD_H_
#define LYCHEEWELL_CORE_CONFIGURATION_COMMANDS_APPLY_RECORD_H_

#include <string>
#include <variant>

#include "lycheewell/core/configuration/state.h"

namespace lycheewell::core::configuration::commands {

enum class FoldOutcome {
  kApplied,           // the state changed
  kIgnored,           // the record has no effect here, as at every reader
  kRejected,          // a conflicting or invalid change; see `detail`
  kUnreadable,        // the record does not parse or is from a newer version
  kSnapshotMatches,   // the snapshot equals the state
  kSnapshotAdopted,   // the snapshot replaced an older state
  kSnapshotMismatch,  // the snapshot differs from the state, which is kept
  kAlreadyFolded,     // the offset was folded before
  kGap,               // records before this one are missing; state unchanged
};

struct FoldResult {
  FoldOutcome outcome = FoldOutcome::kIgnored;
  std::string detail;

  bool operator==(const FoldResult&) const = default;
};

// Folds the record at `offset` into `state`. `state.next` never goes down, and
// an unreadable record is passed over, so the fold never stops.
FoldResult ApplyRecord(State& state, Offset offset,
                       const std::variant<Record, RecordError>& record);

}  // namespace lycheewell::core::configuration::commands

#endif  // LYCHEEWELL_CORE_CONFIGURATION_COMMANDS_APPLY_RECORD_H_
