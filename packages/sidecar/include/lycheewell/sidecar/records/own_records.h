// Records in the platform's store that outlive the process which wrote them.
#ifndef LYCHEEWELL_SIDECAR_RECORDS_OWN_RECORDS_H_
#define LYCHEEWELL_SIDECAR_RECORDS_OWN_RECORDS_H_

#include <deque>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "lycheewell/sidecar/hooks.h"
#include "lycheewell/sidecar/records/record_key.h"
#include "lycheewell/sidecar/timer_queue.h"

namespace lycheewell::sidecar::records {

// Writes the records of one daemon. A record has a key of its own and is never
// changed into another one, so a write that the store executes late, after a
// newer one, does no harm.
class OwnRecords {
 public:
  // Only the latest records of each kind are kept in the store: the state that
  // grows with the fleet is read by each daemon that starts.
  static constexpr std::size_t kMaxPerKind = 2;

  OwnRecords(TimerQueue& timers, const StoreHooks& store, std::string daemon);

  // Commands.

  // Writes the record until the store has confirmed it, and drops the oldest
  // ones beyond kMaxPerKind in the same call. `done` is then called.
  void Put(const std::string& kind, const std::string& id,
           const std::string& value, const std::function<void()>& done);

  // Counts a record that an earlier process of this daemon has written.
  void Recall(const RecordKey& key);

 private:
  void Write(const std::vector<StoredRecord>& records,
             const std::function<void()>& done, core::Duration backoff);

  TimerQueue& timers;
  const StoreHooks& store;
  std::string daemon;
  std::map<std::string, std::deque<std::string>> ids;  // by kind, oldest first
};

}  // namespace lycheewell::sidecar::records

#endif  // LYCHEEWELL_SIDECAR_RECORDS_OWN_RECORDS_H_
