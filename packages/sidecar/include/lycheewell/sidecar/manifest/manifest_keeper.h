// Holds the newest known manifest and the time at which it was last proven to
// be the newest.
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

// Time since boot, including time during which the VM is suspended.
core::Duration TimeSinceBoot();

class ManifestKeeper {
 public:
  // `poll_timeout` limits one long poll of the store. A long poll proves the
  // manifest to be the newest as of its start, and only once it has returned.
  ManifestKeeper(TimerQueue& timers, const DialectHooks& dialect,
                 const StoreHooks& store, DecisionLog& log,
                 core::Duration poll_timeout);

  // Commands.

  // Reads the newest manifest and then long-polls the store for newer ones.
  void Start();

  // Replaces the manifest if `document` is newer. Returns false when `document`
  // cannot be decoded.
  bool Adopt(const std::string& document, std::string_view source);

  // Records that a peer had proof, `age` before it replied to a request sent at
  // `requested_at` (TimeSinceBoot), that `version` was the newest.
  void RecordProof(std::uint64_t version, core::Duration age,
                   core::Duration requested_at);

  // Called after each change of the manifest.
  std::function<void()> on_change;

  // Whether this daemon long-polls the store on behalf of others. The others
  // are on standby and call the store only when their proof is too old. Without
  // the hook every daemon long-polls the store.
  std::function<bool()> is_store_reader;

  // Queries.

  // Null until the first manifest arrives.
  std::shared_ptr<const core::routing::RouteTable> table() const {
    return this->current;
  }
  std::uint64_t version() const {
    return this->current ? this->current->version() : 0;
  }
  const std::string& document() const { return this->text; }

  // Time since the manifest was last proven to be the newest. Empty when it
  // never was.
  std::optional<core::Duration> proof_age() const;

  bool is_store_reachable() const { return this->store_reachable; }

 private:
  void ReadNewest();
  void AwaitNewer();
  bool MayStandby() const;
  void RetryLater();
  void OnStoreResult(std::variant<StoredManifest, StoreError> result,
                     core::Duration sent_at);

  TimerQueue& timers;
  const DialectHooks& dialect;
  const StoreHooks& store;
  DecisionLog& log;
  core::Duration poll_timeout;
  std::shared_ptr<const core::routing::RouteTable> current;
  std::string text;
  std::uint64_t next_offset = 0;
  std::optional<core::Duration> proven_at;
  bool store_reachable = false;
  bool next_offset_known = false;
};

}  // namespace lycheewell::sidecar::manifest

#endif  // LYCHEEWELL_SIDECAR_MANIFEST_MANIFEST_KEEPER_H_
