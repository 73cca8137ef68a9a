// Notices when the event loop runs late.
#ifndef LYCHEEWELL_SIDECAR_LOOP_MONITOR_H_
#define LYCHEEWELL_SIDECAR_LOOP_MONITOR_H_

#include "lycheewell/core/types.h"
#include "lycheewell/sidecar/counters.h"
#include "lycheewell/sidecar/decision_log.h"
#include "lycheewell/sidecar/timer_queue.h"

namespace lycheewell::sidecar {

// A late loop looks like slow targets from outside. Its lateness is logged and
// counted. Timers must run many times a second.
class LoopMonitor {
 public:
  LoopMonitor(TimerQueue& timers, DecisionLog& log, Counters& counters);

  LoopMonitor(const LoopMonitor&) = delete;
  LoopMonitor& operator=(const LoopMonitor&) = delete;

  // Whether input that is read now may have waited for noticeably long.
  bool is_behind() const;

 private:
  void OnRun(core::Duration late_by);

  DecisionLog& log;
  Counters& counters;
  core::Instant last_run;
  core::Instant behind_until;
};

}  // namespace lycheewell::sidecar

#endif  // LYCHEEWELL_SIDECAR_LOOP_MONITOR_H_
