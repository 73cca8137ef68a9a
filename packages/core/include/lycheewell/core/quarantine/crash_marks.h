// Requests that were running at a target when it crashed.
//
// One mark makes a request a suspect: a target runs at most one suspect at a
// time, so that a second crash marks only the suspect that was there. A second
// mark at another target quarantines it.
#ifndef LYCHEEWELL_CORE_QUARANTINE_CRASH_MARKS_H_
#define LYCHEEWELL_CORE_QUARANTINE_CRASH_MARKS_H_

#include <map>
#include <set>
#include <string>
#include <vector>

#include "lycheewell/core/types.h"

namespace lycheewell::core::quarantine {

inline constexpr Duration kMarkLifetime = std::chrono::minutes(5);
inline constexpr std::size_t kCrashesToQuarantine = 2;
inline constexpr std::size_t kMostMarks = 100'000;

// The request with `fingerprint` ran at `target` when it crashed.
struct CrashMark {
  std::string fingerprint;  // digest of account, method, path and body
  DaemonRef target;

  bool operator==(const CrashMark&) const = default;
};

enum class Standing { kClear, kSuspect, kQuarantined };

class CrashMarks {
 public:
  // Commands.

  void Add(const CrashMark& mark, Instant now);

  // A request with this fingerprint ended well: it is no longer a suspect.
  void Clear(const std::string& fingerprint);

  void Expire(Instant now);

  // Queries.

  Standing StandingOf(const std::string& fingerprint, Instant now) const;
  std::size_t size() const { return this->marks.size(); }

 private:
  struct Entry {
    std::set<std::string> targets;
    Instant expires_at;
  };

  std::map<std::string, Entry> marks;
};

// Which of the requests `running` at a crashed target are marked: the suspects
// among them, or all of them when there is none.
std::vector<std::string> FingerprintsToMark(
    const std::vector<std::string>& running, const CrashMarks& marks,
    Instant now);

}  // namespace lycheewell::core::quarantine

#endif  // LYCHEEWELL_CORE_QUARANTINE_CRASH_MARKS_H_
