// Applies one log record to the configuration state.
#ifndef LYCHEEWELL_CORE_CONFIGURATION_COMMANDS_APPLY_RECORD_H_
#define LYCHEEWELL_CORE_CONFIGURATION_COMMANDS_APPLY_RECORD_H_

#include <string>
#include <variant>

#include "lycheewell/core/configuration/state.h"

namespace lycheewell::core::configuration::commands {

enum class ApplyOutcome {
  kApplied,           // the record changed the state
  kIgnored,           // every reader of the log ignores the record
  kRejected,          // the change conflicts or is invalid; see `detail`
  kUnreadable,        // malformed, or of an unknown type or newer format
  kSnapshotMatches,   // the snapshot equals the state
  kSnapshotAdopted,   // the snapshot replaced a state that missed records
  kSnapshotMismatch,  // the state differs from the snapshot and is kept
  kAlreadyProcessed,  // the offset is below `state.next_offset`
  kGap,               // earlier records are missing; the state is unchanged
};

struct ApplyResult {
  ApplyOutcome outcome = ApplyOutcome::kIgnored;
  std::string detail;

  bool operator==(const ApplyResult&) const = default;
};

// Applies the record at `offset` to `state`. `state.next_offset` never
// decreases. An unreadable record is skipped, so it cannot block the records
// after it.
ApplyResult ApplyRecord(State& state, Offset offset,
                        const std::variant<Record, RecordError>& record);

}  // namespace lycheewell::core::configuration::commands

#endif  // LYCHEEWELL_CORE_CONFIGURATION_COMMANDS_APPLY_RECORD_H_
