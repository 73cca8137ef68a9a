#include "lycheewell/sidecar/loop_monitor.h"

#include <chrono>
#include <string>

namespace lycheewell::sidecar {
using daemon::events::Event;

namespace {

// Lateness from which on callers notice it beside the time of their requests.
constexpr core::Duration kNoticeableLateness = std::chrono::milliseconds(100);

}  // namespace

LoopMonitor::LoopMonitor(TimerQueue& timers, DecisionLog& new_log,
                         Counters& new_counters)
    : log(new_log), counters(new_counters) {
  timers.on_run = [this](core::Duration late_by) { this->OnRun(late_by); };
}

void LoopMonitor::OnRun(core::Duration late_by) {
  if (late_by < kNoticeableLateness) {
    return;
  }
  this->counters.Observe("loop_late", late_by);
  this->log.Write(
      Event::kLoopLate,
      {{"late_ms",
        std::to_string(
            std::chrono::duration_cast<std::chrono::milliseconds>(late_by)
                .count())}});
}

}  // namespace lycheewell::sidecar
