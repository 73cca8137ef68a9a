// Queue in front of one target, with strict priority by importance and round
// robin between accounts of the same importance.
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
  std::uint64_t ticket = 0;  // chosen by the caller, identifies the entry
  Importance importance = Importance::kNormal;
  std::string account;
  int rank = 0;
  Instant enqueued_at;
  Instant deadline;

  bool operator==(const QueueEntry&) const = default;
};

// Whether an offered entry was accepted, and the entry that it displaced.
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

  // Accepts `entry` if fewer than `capacity` entries are queued, or if it can
  // displace an entry of lower importance, or one of the same importance from
  // an account with at least two entries more than that of `entry`.
  OfferResult Offer(QueueEntry entry, std::size_t capacity);

  // Removes the next entry to run and the expired entries that precede it.
  PopResult Pop(Instant now);

  // Removes a cancelled entry. Returns false if it is not queued.
  bool Remove(std::uint64_t ticket);

  // Queries.

  std::size_t size() const { return this->count; }

  // Longest time that any queued entry has waited.
  Duration OldestWait(Instant now) const;

 private:
  // Entries of one importance, served round robin by account.
  struct Level {
    std::map<std::string, std::deque<QueueEntry>> by_account;
    std::string last_served;
  };

  std::optional<QueueEntry> PopRoundRobin(Level& level);
  QueueEntry PopNewestOfLargestAccount(Level& level);

  std::array<Level, kImportanceLevels> levels;
  std::size_t count = 0;
};

}  // namespace lycheewell::core::overload

#endif  // LYCHEEWELL_CORE_OVERLOAD_ADMISSION_QUEUE_H_
