// Holds the newest known manifest and the time at which it was last proven to
// be the newest.
#ifndef LYCHEEWELL_SIDECAR_MANIFEST_MANIFEST_KEEPER_H_
#define LYCHEEWELL_SIDECAR_MANIFEST_MANIFEST_KEEPER_H_

#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "lycheewell/core/manifest/reader_standby.h"
#include "lycheewell/core/routing/route_table.h"
#include "lycheewell/sidecar/decision_log.h"
#include "lycheewell/sidecar/hooks.h"
#include "lycheewell/sidecar/timer_queue.h"

namespace lycheewell::sidecar::manifest {

// Time since boot, including time during which the VM is suspended.
core::Duration TimeSinceBoot();

class ManifestKeeper {
 public:
  // A long poll proves the manifest to be the newest as of its start, and only
  // once it has returned.
  ManifestKeeper(TimerQueue& timers, const DialectHooks& dialect,
                 const StoreHooks& store, DecisionLog& log,
                 const core::manifest::ReaderStandby::Options& standby);

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

  // A daemon that ranks before this one has read the store.
  void OnReadOfBetter() { this->standby.RecordReadOfBetter(); }

  // Called after each adoption, wherever the manifest has come from.
  std::function<void()> on_adopted;

  // Called after this daemon has adopted a manifest from the store on behalf of
  // the others.
  std::function<void()> on_change;

  // Called with each read of the store that has succeeded, before its proof
  // counts.
  std::function<void(const StoredManifest&)> on_read;

  // Called after each read of the store on behalf of the others.
  std::function<void()> on_proof;

  // Rank of this daemon among the readers of its data centre; the first one, of
  // rank 0, reads for the others. Without the hook every daemon does.
  std::function<std::size_t()> reader_rank;

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
  bool ReadsForOthers() const;
  std::size_t Rank() const {
    return this->reader_rank ? this->reader_rank() : 0;
  }
  void RetryLater();
  void OnStoreResult(std::variant<StoredManifest, StoreError> result,
                     core::Duration sent_at);

  TimerQueue& timers;
  const DialectHooks& dialect;
  const StoreHooks& store;
  DecisionLog& log;
  core::manifest::ReaderStandby standby;
  std::shared_ptr<const core::routing::RouteTable> current;
  std::string text;
  std::uint64_t next_offset = 0;
  std::uint64_t era = 0;  // of the log, when `next_offset` was read
  std::optional<core::Duration> proven_at;
  bool store_reachable = false;
  bool next_offset_known = false;
};

}  // namespace lycheewell::sidecar::manifest

#endif  // LYCHEEWELL_SIDECAR_MANIFEST_MANIFEST_KEEPER_H_
