// Short queue in front of one target: importance strictly first, then fair
// between accounts; expired entries are never handed over.
#ifndef LYCHEEWELL_CORE_OVERLOAD_ADMISSION_QUEUE_H_
#define LYCHEEWELL_CORE_OVERLOAD_ADMISSION_QUEUE_H_

#include <array>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "lycheewell/core/overload/rank.h"
#include "lycheewell/core/types.h"

namespace lycheewell::core::overload {

struct QueueEntry {
  std::uint64_t ticket = 0;  // names the entry to the caller
  Importance importance = Importance::kNormal;
  std::string account;
  int rank = 0;
  Instant enqueued_at;
  Instant deadline;

  bool operator==(const QueueEntry&) const = default;
};

// What happened to an offered entry, and which entry made room for it.
struct OfferResult {
  bool accepted = false;
  std::optional<QueueEntry> displaced;

  bool operator==(const OfferResult&) const = default;
};

struct PopResult {
  std::optional<QueueEntry> next;
  std::vector<QueueEntry> expired;

  bool operator==(const PopResult&) const = default;
};

class AdmissionQueue {
 public:
  // Commands.

  // Queues `entry` when fewer than `room` entries wait, or when it displaces
  // one of a lower importance, or one of an account with more entries.
  OfferResult Offer(QueueEntry entry, std::size_t room);

  // Takes the next entry to run and all that expired before `now`.
  PopResult Pop(Instant now);

  // Removes a cancelled entry; false when it is not queued.
  bool Remove(std::uint64_t ticket);

  // Queries.

  std::size_t size() const { return this->count; }

  // How long the next entry has waited.
  Duration OldestWait(Instant now) const;

 private:
  // Entries of one importance: accounts take turns.
  struct Level {
    std::map<std::string, std::deque<QueueEntry>> by_account;
    std::string last_served;
  };

  std::optional<QueueEntry> TakeFrom(Level& level);
  QueueEntry TakeNewestOfLargest(Level& level);

  std::array<Level, kImportanceLevels> levels;
  std::size_t count = 0;
};

}  // namespace lycheewell::core::overload

#endif  // LYCHEEWELL_CORE_OVERLOAD_ADMISSION_QUEUE_H_
