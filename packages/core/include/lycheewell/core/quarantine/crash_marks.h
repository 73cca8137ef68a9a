// Quarantines requests that crash targets ("queries of death").
//
// A crash of a target marks the requests that were running there. One mark
// makes a request a suspect: a target runs at most one suspect at a time, so
// that a second crash points at the one that was running there. A request that
// was running at two crashes, at one of them as the only suspect, or at three
// is quarantined. When the quarantine lapses, the request is a suspect again
// and one more crash renews its quarantine for twice as long.
#ifndef LYCHEEWELL_CORE_QUARANTINE_CRASH_MARKS_H_
#define LYCHEEWELL_CORE_QUARANTINE_CRASH_MARKS_H_

#include <map>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "lycheewell/core/types.h"

namespace lycheewell::core::quarantine {

// A suspect is clear again this long after its last crash. Also the duration of
// a request's first quarantine.
inline constexpr Duration kMarkLifetime = std::chrono::minutes(5);
inline constexpr std::size_t kCrashesToQuarantine = 2;
// Of a request that was never the only suspect: copies of it may crash several
// targets before any of them knows of the others.
inline constexpr std::size_t kCrashesWithoutProof = 3;
// Limit on the requests that are marked at once.
inline constexpr std::size_t kMaxMarks = 100'000;
// Limit on the marks of one request. The oldest ones are dropped.
inline constexpr std::size_t kMaxMarksPerRequest = 8;

// Identifies requests with the same account, method, host, path, query and body
// as 15 hexadecimal digits. Equal in every process and build.
std::string FingerprintOf(std::string_view account, std::string_view method,
                          std::string_view host,
                          std::string_view path_and_query,
                          std::string_view body);

// The request with `fingerprint` was running at `target` when it crashed.
struct CrashMark {
  std::string fingerprint;
  DaemonRef target;  // one start of a target; a restart is another one
  // The request was the only one at the target that can be to blame: it ran
  // alone, or it was the suspect that the target had admitted.
  bool is_sole_suspect = true;

  bool operator==(const CrashMark&) const = default;
};

// Suspects run one at a time at each target; quarantined requests are refused.
enum class QuarantineStatus { kClear, kSuspect, kQuarantined };

class CrashMarks {
 public:
  // Commands.

  // Adds a mark of a crash at `now`. Ignores marks that were withdrawn, and
  // requests without marks while there are kMaxMarks others.
  void Add(const CrashMark& mark, Instant now);

  // Removes the marks of a request that has completed without a crash.
  void Clear(const std::string& fingerprint);

  // Like Clear, but the marks do not count either if they arrive again later.
  // Returns them.
  std::vector<CrashMark> Withdraw(const std::string& fingerprint, Instant now);

  // Withdraws one mark, known or not.
  void Withdraw(const CrashMark& mark, Instant now);

  void Expire(Instant now);

  // Queries.

  QuarantineStatus StatusOf(const std::string& fingerprint, Instant now) const;
  std::size_t size() const { return this->marks.size(); }
  bool empty() const { return this->marks.empty(); }

  struct TimedMark {
    CrashMark mark;
    Instant at;

    bool operator==(const TimedMark&) const = default;
  };
  // The marks that count, newest crash first, at most `limit` of them.
  std::vector<TimedMark> Newest(std::size_t limit, Instant now) const;

 private:
  struct Crash {
    Instant at;
    bool is_sole_suspect = false;
  };
  struct Entry {
    std::map<DaemonRef, Crash> crashes;  // by target
  };

  static std::size_t CountSoleSuspectCrashes(const Entry& entry);
  static Instant LastCrash(const Entry& entry);
  // Zero unless the crashes suffice for a quarantine.
  static Duration QuarantineTime(const Entry& entry);
  static Instant ExpiryOf(const Entry& entry);
  void Erase(const std::string& fingerprint, const DaemonRef& target);

  std::map<std::string, Entry> marks;  // by fingerprint
  // Withdrawn marks, by fingerprint and target, with the end of their lifetime.
  std::map<std::pair<std::string, DaemonRef>, Instant> withdrawn;
};

// A request that was running at a target when it crashed.
struct RunningRequest {
  std::string fingerprint;
  bool is_suspect = false;  // it was admitted as the target's only suspect

  bool operator==(const RunningRequest&) const = default;
};

// The marks that a crash of `target` leaves on the requests that were `running`
// there. If a suspect was among them, requests that became suspects only while
// they ran get none: they are likely to have run beside another one's crash.
std::vector<CrashMark> MarksOfCrash(const DaemonRef& target,
                                    const std::vector<RunningRequest>& running,
                                    const CrashMarks& marks, Instant now);

// The fingerprints to mark of the requests that were `running` at a target when
// it crashed: those of the suspects and quarantined requests among them, or all
// of them if there are none.
std::vector<std::string> FingerprintsToMark(
    const std::vector<std::string>& running, const CrashMarks& marks,
    Instant now);

}  // namespace lycheewell::core::quarantine

#endif  // LYCHEEWELL_CORE_QUARANTINE_CRASH_MARKS_H_
