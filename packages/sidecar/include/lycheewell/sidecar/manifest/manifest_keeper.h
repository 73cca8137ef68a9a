// Holds the newest manifest and knows when it was last proven to be the newest.
#ifndef LYCHEEWELL_SIDECAR_MANIFEST_MANIFEST_KEEPER_H_
#define LYCHEEWELL_SIDECAR_MANIFEST_MANIFEST_KEEPER_H_

#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "lycheewell/core/routing/route_table.h"
#include "lycheewell/sidecar/decision_log.h"
#include "lycheewell/sidecar/hooks.h"
#include "lycheewell/sidecar/timer_queue.h"

namespace lycheewell::sidecar::manifest {

// Time that goes on while the VM is suspended.
core::Duration TimeSinceBoot();

class ManifestKeeper {
 public:
  // `wait` is how long one wait for a newer manifest lasts. A wait proves the
  // manifest to be the newest only when it returns, and counts from its start.
  ManifestKeeper(TimerQueue& timers, const DialectHooks& dialect,
                 const StoreHooks& store, DecisionLog& log,
                 core::Duration wait);

  // Commands.

  // Reads the newest manifest and then waits for newer ones, for ever.
  void Start();

  // Takes over a manifest unless it is older; false when it is unreadable.
  bool Adopt(const std::string& document, std::string_view source);

  // A peer knew `version` to be the newest `age` before it answered a question
  // asked at `asked_at` (TimeSinceBoot).
  void LearnProof(std::uint64_t version, core::Duration age,
                  core::Duration asked_at);

  // Called after each change of the manifest.
  std::function<void()> on_change;

  // Whether this daemon waits at the store for others, too. The others call
  // the store only when no proof has reached them for a while. Without the
  // hook every daemon waits at the store.
  std::function<bool()> is_reader;

  // Queries.

  // Null before the first manifest.
  std::shared_ptr<const core::routing::RouteTable> table() const {
    return this->current;
  }
  std::uint64_t version() const {
    return this->current ? this->current->version() : 0;
  }
  const std::string& document() const { return this->text; }

  // How long ago the manifest was known to be the newest; empty: never.
  std::optional<core::Duration> proof_age() const;

  bool is_store_reachable() const { return this->store_reachable; }

 private:
  void ReadNewest();
  void AwaitNewer();
  bool MayStandBy() const;
  void RetryLater();
  void Handle(std::variant<StoredManifest, StoreError> result,
              core::Duration sent_at);

  TimerQueue& timers;
  const DialectHooks& dialect;
  const StoreHooks& store;
  DecisionLog& log;
  core::Duration wait;
  std::shared_ptr<const core::routing::RouteTable> current;
  std::string text;
  std::uint64_t end = 0;
  std::optional<core::Duration> proven_at;
  bool store_reachable = false;
  bool knows_end = false;
};

}  // namespace lycheewell::sidecar::manifest

#endif  // LYCHEEWELL_SIDECAR_MANIFEST_MANIFEST_KEEPER_H_
