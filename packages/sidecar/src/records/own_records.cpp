#include "lycheewell/sidecar/records/own_records.h"

#include <algorithm>
#include <utility>

namespace lycheewell::sidecar::records {

namespace {

// Backoff between the attempts of a write. The store charges for refused calls.
constexpr core::Duration kMinBackoff = std::chrono::milliseconds(200);
constexpr core::Duration kMaxBackoff = std::chrono::milliseconds(1600);

}  // namespace

OwnRecords::OwnRecords(TimerQueue& new_timers, const StoreHooks& new_store,
                       std::string new_daemon)
    : timers(new_timers), store(new_store), daemon(std::move(new_daemon)) {}

void OwnRecords::Put(const std::string& kind, const std::string& id,
                     const std::string& value,
                     const std::function<void()>& done) {
  std::deque<std::string>& known = this->ids[kind];
  if (std::find(known.begin(), known.end(), id) == known.end()) {
    known.push_back(id);
  }
  std::vector<StoredRecord> records;
  records.push_back(
      {.key = EncodeKey({kind, this->daemon, id}), .value = value});
  while (known.size() > kMaxPerKind) {
    records.push_back({.key = EncodeKey({kind, this->daemon, known.front()})});
    known.pop_front();
  }
  this->Write(records, done, kMinBackoff);
}

void OwnRecords::Write(const std::vector<StoredRecord>& records,
                       const std::function<void()>& done,
                       core::Duration backoff) {
  this->store.put_records(records, [this, records, done, backoff](auto result) {
    if (std::holds_alternative<Done>(result)) {
      done();
      return;
    }
    this->timers.After(backoff, [this, records, done, backoff] {
      this->Write(records, done, std::min(backoff * 2, kMaxBackoff));
    });
  });
}

void OwnRecords::Recall(const RecordKey& key) {
  std::deque<std::string>& known = this->ids[key.kind];
  if (key.daemon == this->daemon &&
      std::find(known.begin(), known.end(), key.id) == known.end()) {
    known.push_front(key.id);
  }
}

}  // namespace lycheewell::sidecar::records
