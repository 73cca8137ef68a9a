// Tells which requests were running at a target when its process crashed.
#ifndef LYCHEEWELL_CORE_QUARANTINE_CRASH_DETECTOR_H_
#define LYCHEEWELL_CORE_QUARANTINE_CRASH_DETECTOR_H_

#include <deque>
#include <vector>

#include "lycheewell/core/quarantine/crash_marks.h"
#include "lycheewell/core/types.h"

namespace lycheewell::core::quarantine {

// The connections to a crashed process break within this time of each other.
inline constexpr Duration kBreakSpread = std::chrono::milliseconds(250);
// A target that comes back as another start later than this after its
// connections broke has not crashed then.
inline constexpr Duration kCrashWindow = std::chrono::seconds(10);

// A broken connection alone is no crash: targets also break off single answers.
// It becomes one when the target's process turns out to be gone or replaced.
class CrashDetector {
 public:
  // Commands.

  // The connection on which `request` was running broke.
  void RecordBreak(const RunningRequest& request, Instant now);

  // The target's process is gone or has been replaced without having announced
  // it. Returns the requests that were running when it crashed, with those that
  // are `still_running` by the daemon's account. Empty if no connection broke
  // lately.
  std::vector<RunningRequest> TakeCrash(
      const std::vector<RunningRequest>& still_running, Instant now);

  // Forgets the breaks: the target has left as it had announced.
  void Reset() { this->breaks.clear(); }

 private:
  struct Break {
    RunningRequest request;
    Instant at;
  };

  std::deque<Break> breaks;  // of the last kBreakSpread, oldest first
};

}  // namespace lycheewell::core::quarantine

#endif  // LYCHEEWELL_CORE_QUARANTINE_CRASH_DETECTOR_H_
