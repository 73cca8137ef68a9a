// The admission level: requests of lower rank are refused before they queue.
#ifndef LYCHEEWELL_CORE_OVERLOAD_ADMISSION_LEVEL_H_
#define LYCHEEWELL_CORE_OVERLOAD_ADMISSION_LEVEL_H_

#include "lycheewell/core/overload/rank.h"
#include "lycheewell/core/types.h"

namespace lycheewell::core::overload {

// Admission level of the queue beside one target. It rises while queue entries
// wait too long and falls otherwise.
class AdmissionLevel {
 public:
  explicit AdmissionLevel(Instant now);

  // Commands.

  // Records the longest current wait in the queue and adjusts the level when an
  // adjustment period has passed.
  void Observe(Duration longest_wait, Instant now);

  // Queries.

  int level() const { return static_cast<int>(this->current); }
  bool Admits(int rank) const { return rank >= this->level(); }

 private:
  double current = 0;
  Duration period_longest_wait{};
  Instant adjusted_at;
};

// Admission level reported by another daemon. It decays to 0, so that requests
// are admitted again when no further reports arrive.
class ReportedLevel {
 public:
  void Record(int level, Instant now);
  int LevelAt(Instant now) const;

 private:
  int level = 0;
  Instant recorded_at;
};

}  // namespace lycheewell::core::overload

#endif  // LYCHEEWELL_CORE_OVERLOAD_ADMISSION_LEVEL_H_
