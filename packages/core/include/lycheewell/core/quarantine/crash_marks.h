// Quarantines requests that crash targets ("queries of death").
//
// A crash of a target marks the requests that were running there. One mark
// makes a request a suspect: a target runs at most one suspect at a time, so
// that a second crash marks only the suspect that was running there. A second
// mark at another target, or at the same target after a restart, quarantines
// the request.
#ifndef LYCHEEWELL_CORE_QUARANTINE_CRASH_MARKS_H_
#define LYCHEEWELL_CORE_QUARANTINE_CRASH_MARKS_H_

#include <map>
#include <set>
#include <string>
#include <vector>

#include "lycheewell/core/types.h"

namespace lycheewell::core::quarantine {

// A request's marks expire this long after its last crash.
inline constexpr Duration kMarkLifetime = std::chrono::minutes(5);
inline constexpr std::size_t kCrashesToQuarantine = 2;
// Limit on the requests that are marked at once.
inline constexpr std::size_t kMaxMarks = 100'000;

// The request with `fingerprint` was running at `target` when it crashed.
struct CrashMark {
  std::string fingerprint;  // digest of account, method, path and body
  DaemonRef target;

  bool operator==(const CrashMark&) const = default;
};

// Suspects run one at a time at each target; quarantined requests are refused.
enum class QuarantineStatus { kClear, kSuspect, kQuarantined };

class CrashMarks {
 public:
  // Commands.

  // Adds a mark and renews the lifetime of the request's marks. Ignores a
  // request without marks while there are kMaxMarks others.
  void Add(const CrashMark& mark, Instant now);

  // Removes the marks of a request that has completed without a crash.
  void Clear(const std::string& fingerprint);

  void Expire(Instant now);

  // Queries.

  QuarantineStatus StatusOf(const std::string& fingerprint, Instant now) const;
  std::size_t size() const { return this->marks.size(); }

 private:
  struct Entry {
    std::set<std::string> targets;  // "id#incarnation"
    Instant expires_at;
  };

  std::map<std::string, Entry> marks;  // by fingerprint
};

// The fingerprints to mark of the requests that were `running` at a target when
// it crashed: those of the suspects and quarantined requests among them, or all
// of them if there are none.
std::vector<std::string> FingerprintsToMark(
    const std::vector<std::string>& running, const CrashMarks& marks,
    Instant now);

}  // namespace lycheewell::core::quarantine

#endif  // LYCHEEWELL_CORE_QUARANTINE_CRASH_MARKS_H_
