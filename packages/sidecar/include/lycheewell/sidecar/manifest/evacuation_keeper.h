// Holds the evacuations that this daemon knows of and puts them into force.
#ifndef LYCHEEWELL_SIDECAR_MANIFEST_EVACUATION_KEEPER_H_
#define LYCHEEWELL_SIDECAR_MANIFEST_EVACUATION_KEEPER_H_

#include <mesh.pb.h>

#include <functional>
#include <map>
#include <optional>
#include <ostream>
#include <set>
#include <string>
#include <string_view>

#include "lycheewell/core/membership/evacuations.h"
#include "lycheewell/core/routing/evacuation_shift.h"
#include "lycheewell/sidecar/counters.h"
#include "lycheewell/sidecar/decision_log.h"
#include "lycheewell/sidecar/hooks.h"
#include "lycheewell/sidecar/settings.h"
#include "lycheewell/sidecar/timer_queue.h"

namespace lycheewell::sidecar::manifest {

// While the settings have no bound for evacuations, they have no effect.
class EvacuationKeeper {
 public:
  struct Options {
    const Settings& settings;
    // Time since the manifest was last proven to be the newest.
    std::function<std::optional<core::Duration>()> proof_age;
    // Sends to the peers of this data centre.
    std::function<void(const mesh::Frame&)> broadcast;
    // The targets that take work may have changed.
    std::function<void(const core::routing::EvacuationShift&)> on_step;
    // No target of this data centre takes work any more.
    std::function<void()> on_own_closed;
    // The targets of this data centre begin to take work again. They may have
    // gone cold meanwhile.
    std::function<void()> on_taken_back;
  };

  EvacuationKeeper(TimerQueue& timers, DecisionLog& log, Counters& counters,
                   Options options);

  // Commands.

  void OnStoreRead(const StoredManifest& stored);

  void OnPeer(const mesh::Evacuations& known, const std::string& member);

  // Whether the gate must refuse a call because its data centre is closed.
  // Counts the refusal.
  bool RefusesCall();

  // Queries.

  // Nothing when there is nothing to tell.
  std::optional<mesh::Evacuations> Describe() const;

  void RenderMetrics(std::ostream& text) const;

 private:
  bool is_active() const {
    return this->options.settings.bounds.evacuation > core::Duration::zero();
  }
  // When a data centre must be closed of whose evacuation this daemon learns
  // now.
  core::Instant LatestClosing(core::Instant now) const;
  // Puts what is known into force. `closing` holds the times at which peers
  // close data centres.
  void Enforce(const std::map<std::string, core::Instant>& closing,
               std::string_view source);
  void Step();

  TimerQueue& timers;
  DecisionLog& log;
  Counters& counters;
  Options options;
  core::membership::Evacuations known;
  core::routing::EvacuationShift shift;
  std::set<std::string> in_force;
  std::set<std::string> closed;  // of those in force
  TimerQueue::Id step_timer = 0;
};

}  // namespace lycheewell::sidecar::manifest

#endif  // LYCHEEWELL_SIDECAR_MANIFEST_EVACUATION_KEEPER_H_
