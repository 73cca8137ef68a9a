#include "lycheewell/sidecar/loop_monitor.h"

#include <chrono>
#include <string>

#include "lycheewell/sidecar/clock.h"

namespace lycheewell::sidecar {
using daemon::events::Event;

namespace {

// Lateness from which on callers notice it beside the time of their requests.
constexpr core::Duration kNoticeableLateness = std::chrono::milliseconds(100);

// After a late run, the input that has piled up is read within this time.
constexpr core::Duration kCatchUpTime = std::chrono::seconds(1);

}  // namespace

LoopMonitor::LoopMonitor(TimerQueue& timers, DecisionLog& new_log,
                         Counters& new_counters)
    : log(new_log), counters(new_counters), last_run(Now()) {
  timers.on_run = [this](core::Duration late_by) { this->OnRun(late_by); };
}

bool LoopMonitor::is_behind() const {
  const core::Instant now = Now();
  return now < this->behind_until || now - this->last_run > kNoticeableLateness;
}

void LoopMonitor::OnRun(core::Duration late_by) {
  this->last_run = Now();
  if (late_by < kNoticeableLateness) {
    return;
  }
  this->behind_until = this->last_run + kCatchUpTime;
  this->counters.Observe("loop_late", late_by);
  this->log.Write(
      Event::kLoopLate,
      {{"late_ms",
        std::to_string(
            std::chrono::duration_cast<std::chrono::milliseconds>(late_by)
                .count())}});
}

}  // namespace lycheewell::sidecar
