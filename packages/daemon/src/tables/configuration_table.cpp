#include "lycheewell/daemon/tables/configuration_table.h"

namespace lycheewell::daemon::tables {
namespace {

namespace configuration = core::configuration;
using configuration::commands::ApplyOutcome;

// Records kept for peers that are behind.
constexpr std::size_t kKeptRecords = 2000;

}  // namespace

ConfigurationTable::ConfigurationTable()
    : published(std::make_shared<const configuration::queries::View>(State{})) {
}

void ConfigurationTable::SetFoldHook(FoldHook hook) {
  const std::lock_guard lock(this->mutex);
  this->on_fold = std::move(hook);
}

std::size_t ConfigurationTable::Fold(const std::vector<RawRecord>& records) {
  const std::lock_guard lock(this->mutex);
  std::size_t folded = 0;
  for (const RawRecord& raw : records) {
    const auto decoded = configuration::DecodeRecord(raw.body);
    const FoldResult result =
        configuration::commands::ApplyRecord(this->state, raw.offset, decoded);
    if (result.outcome == ApplyOutcome::kAlreadyProcessed) {
      continue;
    }
    if (result.outcome == ApplyOutcome::kGap) {
      this->gap = true;
      continue;  // a later snapshot may close the gap
    }
    this->gap = false;
    ++folded;
    const bool jumped = result.outcome == ApplyOutcome::kSnapshotAdopted;
    if (jumped) {
      this->kept.clear();
    }
    if (jumped || result.outcome == ApplyOutcome::kSnapshotMatches) {
      this->snapshot_offset = raw.offset;
    }
    this->kept.push_back(raw);
    if (this->kept.size() > kKeptRecords) {
      this->kept.pop_front();
    }
    if (this->on_fold) {
      this->on_fold(this->state, raw.offset,
                    std::get_if<configuration::Record>(&decoded), result);
    }
  }
  if (folded > 0) {
    this->Publish();
  }
  return folded;
}

bool ConfigurationTable::AdoptState(const std::string& encoded) {
  auto decoded = configuration::DecodeState(encoded);
  auto* adopted = std::get_if<State>(&decoded);
  if (adopted == nullptr) {
    return false;
  }
  const std::lock_guard lock(this->mutex);
  if (adopted->next_offset <= this->state.next_offset) {
    return false;
  }
  this->state = std::move(*adopted);
  this->kept.clear();
  this->gap = false;
  if (this->on_fold) {
    this->on_fold(this->state, this->state.next_offset, nullptr,
                  {ApplyOutcome::kSnapshotAdopted, "from a peer"});
  }
  this->Publish();
  return true;
}

void ConfigurationTable::Publish() {
  this->published =
      std::make_shared<const configuration::queries::View>(this->state);
}

configuration::queries::ViewPointer ConfigurationTable::view() const {
  const std::lock_guard lock(this->mutex);
  return this->published;
}

core::Offset ConfigurationTable::next() const {
  const std::lock_guard lock(this->mutex);
  return this->state.next_offset;
}

std::optional<std::vector<RawRecord>> ConfigurationTable::RecordsFrom(
    core::Offset from, std::size_t most) const {
  const std::lock_guard lock(this->mutex);
  std::vector<RawRecord> records;
  if (from >= this->state.next_offset) {
    return records;
  }
  if (this->kept.empty() || this->kept.front().offset > from) {
    return std::nullopt;
  }
  const std::size_t skip = from - this->kept.front().offset;
  for (std::size_t index = skip;
       index < this->kept.size() && records.size() < most; ++index) {
    records.push_back(this->kept[index]);
  }
  return records;
}

core::Offset ConfigurationTable::last_snapshot() const {
  const std::lock_guard lock(this->mutex);
  return this->snapshot_offset;
}

bool ConfigurationTable::has_gap() const {
  const std::lock_guard lock(this->mutex);
  return this->gap;
}

}  // namespace lycheewell::daemon::tables
