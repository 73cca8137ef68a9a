// What the fleet knows about requests that were running at crashed targets.
#ifndef LYCHEEWELL_SIDECAR_REQUESTS_QUARANTINE_H_
#define LYCHEEWELL_SIDECAR_REQUESTS_QUARANTINE_H_

#include <mesh.pb.h>

#include <deque>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "lycheewell/core/quarantine/crash_marks.h"
#include "lycheewell/sidecar/decision_log.h"
#include "lycheewell/sidecar/timer_queue.h"

namespace lycheewell::sidecar::requests {

// Marks go to all peers at once, to daemons that start with the first message
// of a link, and to the store, in case all daemons restart.
class Quarantine {
 public:
  struct Options {
    // Sends a frame to all peers.
    std::function<void(const mesh::Frame&)> broadcast;
    // Writes the record of a crash to the store.
    std::function<void(const std::string& id, const std::string& value)>
        put_record;
  };

  Quarantine(TimerQueue& timers, DecisionLog& log, Options options);

  // Commands.

  // A start of the target beside this daemon crashed while `running` ran there.
  void OnCrash(const core::DaemonRef& start,
               const std::vector<core::quarantine::RunningRequest>& running);

  // A target has answered the request.
  void OnCompleted(const std::string& fingerprint);

  // Takes over what a peer or the store knows.
  void Apply(const mesh::CrashMarks& known);

  // Queries.

  core::quarantine::QuarantineStatus StatusOf(
      const std::string& fingerprint) const;

  // For a peer that starts.
  void Describe(mesh::CrashMarks& known) const;

 private:
  // Tells the peers which marks were withdrawn lately.
  void BroadcastWithdrawn();
  // Corrects this daemon's records in the store.
  void WithdrawFromRecords(const core::quarantine::CrashMark& mark);

  TimerQueue& timers;
  DecisionLog& log;
  Options options;
  core::quarantine::CrashMarks marks;
  mesh::CrashMarks withdrawn;  // not sent yet
  TimerQueue::Id broadcast_timer = 0;
  // Records of this daemon in the store, by id. Few: OwnRecords::kMaxPerKind.
  std::map<std::string, mesh::CrashMarks> records;
  std::deque<std::string> record_ids;  // oldest first
};

}  // namespace lycheewell::sidecar::requests

#endif  // LYCHEEWELL_SIDECAR_REQUESTS_QUARANTINE_H_
