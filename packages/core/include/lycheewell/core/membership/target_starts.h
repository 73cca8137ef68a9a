// Tells the current start of a target from earlier ones whose reports arrive
// late.
#ifndef LYCHEEWELL_CORE_MEMBERSHIP_TARGET_STARTS_H_
#define LYCHEEWELL_CORE_MEMBERSHIP_TARGET_STARTS_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <set>

#include "lycheewell/core/types.h"

namespace lycheewell::core::membership {

// One start of a target: its instance name, which a later start may have again,
// and when it was born, in Unix milliseconds of a clock that may be set back.
using TargetStart = DaemonRef;

// What a target says about itself.
struct TargetReport {
  TargetStart start;
  std::uint64_t sequence = 0;  // increases with each report of a start
  bool is_leaving = false;

  bool operator==(const TargetReport&) const = default;
};

enum class ReportVerdict {
  kCurrent,   // news of the current start
  kReplaced,  // another start is the current one from now on
  kKnown,     // the start has said something newer already
  kOther,     // from another start than the current one
};

class TargetStarts {
 public:
  struct Options {
    // A start that has said nothing for this long may have been replaced by one
    // that looks older.
    Duration overdue_after = std::chrono::milliseconds(2250);
  };

  explicit TargetStarts(const Options& options);

  // Commands.

  // Takes a report. A start that says it leaves is retired whatever the
  // verdict.
  ReportVerdict Report(const TargetReport& report, Instant now);

  // The start has left: it must not get work again.
  void Retire(const TargetStart& start) { this->retired.insert(start); }

  // Queries.

  const TargetStart& current() const { return this->latest.start; }
  // Whether `start` is the current one; a time of birth of 0 is not known.
  bool IsCurrent(const TargetStart& start) const;
  bool is_retired(const TargetStart& start) const {
    return this->retired.contains(start);
  }

 private:
  // Reports after which a start replaces one that has left under the same name
  // but looks younger. Requests that name the instance would reach either.
  static constexpr int kReportsAfterDeparture = 3;
  static constexpr std::size_t kMaxEarlier = 8;

  struct Candidate {
    TargetReport report;
    int reports = 0;
  };

  bool IsOverdue(Instant now) const;
  // Whether a start other than the current one has replaced it.
  bool Replaces(const TargetReport& report, Instant now);

  Options options;
  TargetReport latest;  // of the current start
  Instant reported_at{};
  std::deque<TargetReport> earlier;  // the last reports of replaced starts
  Candidate candidate;
  std::set<TargetStart> retired;
};

}  // namespace lycheewell::core::membership

#endif  // LYCHEEWELL_CORE_MEMBERSHIP_TARGET_STARTS_H_
