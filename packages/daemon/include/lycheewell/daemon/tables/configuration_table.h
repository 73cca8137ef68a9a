// The configuration in force at one daemon, and the records that led to it.
#ifndef LYCHEEWELL_DAEMON_TABLES_CONFIGURATION_TABLE_H_
#define LYCHEEWELL_DAEMON_TABLES_CONFIGURATION_TABLE_H_

#include <deque>
#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

#include "lycheewell/core/configuration/commands/apply_record.h"
#include "lycheewell/core/configuration/queries/view.h"

namespace lycheewell::daemon::tables {

struct RawRecord {
  core::Offset offset = 0;
  std::string body;

  bool operator==(const RawRecord&) const = default;
};

class ConfigurationTable {
 public:
  using FoldResult = core::configuration::commands::ApplyResult;
  using State = core::configuration::State;

  // Called for every folded record in order, with the table's lock held.
  using FoldHook = std::function<void(const State& state, core::Offset offset,
                                      const core::configuration::Record* record,
                                      const FoldResult& result)>;

  ConfigurationTable();

  // Commands.

  void SetFoldHook(FoldHook hook);

  // Folds records in offset order; returns how many were new. Stops at a gap.
  std::size_t Fold(const std::vector<RawRecord>& records);

  // Takes over a peer's whole state when it is newer; returns whether it was.
  bool AdoptState(const std::string& encoded);

  // Queries.

  core::configuration::queries::ViewPointer view() const;
  core::Offset next() const;

  // Records from `from` on; empty when the oldest one is no longer kept.
  std::optional<std::vector<RawRecord>> RecordsFrom(core::Offset from,
                                                    std::size_t most) const;

  // Offset of the last snapshot record that was folded.
  core::Offset last_snapshot() const;

  // Whether a gap was met that was not closed yet.
  bool has_gap() const;

 private:
  void Publish();

  mutable std::mutex mutex;
  State state;
  core::configuration::queries::ViewPointer published;
  std::deque<RawRecord> kept;
  FoldHook on_fold;
  core::Offset snapshot_offset = 0;
  bool gap = false;
};

}  // namespace lycheewell::daemon::tables

#endif  // LYCHEEWELL_DAEMON_TABLES_CONFIGURATION_TABLE_H_
