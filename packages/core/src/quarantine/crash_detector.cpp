#include "lycheewell/core/quarantine/crash_detector.h"

namespace lycheewell::core::quarantine {

void CrashDetector::RecordBreak(const RunningRequest& request, Instant now) {
  while (!this->breaks.empty() &&
         now - this->breaks.front().at > kBreakSpread) {
    this->breaks.pop_front();
  }
  this->breaks.push_back({.request = request, .at = now});
}

std::vector<RunningRequest> CrashDetector::TakeCrash(
    const std::vector<RunningRequest>& still_running, Instant now) {
  std::vector<RunningRequest> running;
  if (!this->breaks.empty() && now - this->breaks.back().at <= kCrashWindow) {
    for (const Break& broken : this->breaks) {
      running.push_back(broken.request);
    }
    running.insert(running.end(), still_running.begin(), still_running.end());
  }
  this->breaks.clear();
  return running;
}

}  // namespace lycheewell::core::quarantine
