// The rank below which requests are refused before they queue.
#ifndef LYCHEEWELL_CORE_OVERLOAD_ADMISSION_LEVEL_H_
#define LYCHEEWELL_CORE_OVERLOAD_ADMISSION_LEVEL_H_

#include "lycheewell/core/overload/rank.h"
#include "lycheewell/core/types.h"

namespace lycheewell::core::overload {

// Follows the queue beside one target: rises while entries wait too long, falls
// while they do not.
class AdmissionLevel {
 public:
  explicit AdmissionLevel(Instant now);

  // Commands.

  // The queue's longest wait now.
  void Observe(Duration longest_wait, Instant now);

  // Queries.

  int level() const { return static_cast<int>(this->current); }
  bool Admits(int rank) const { return rank >= this->level(); }

 private:
  double current = 0;
  Duration longest{};
  Instant adjusted_at;
};

// A level heard from others: it fades, so that a silent source lets requests
// through again.
class HeardLevel {
 public:
  void Hear(int level, Instant now);
  int LevelAt(Instant now) const;

 private:
  int level = 0;
  Instant heard_at;
};

}  // namespace lycheewell::core::overload

#endif  // LYCHEEWELL_CORE_OVERLOAD_ADMISSION_LEVEL_H_
