#include "lycheewell/sidecar/manifest/manifest_keeper.h"

#include "lycheewell/sidecar/clock.h"

namespace lycheewell::sidecar::manifest {
using daemon::events::Event;

namespace {

// Delay before the retry of a failed call. It is short compared with the time
// within which a manifest must be in force everywhere.
constexpr core::Duration kRetryDelay = std::chrono::milliseconds(250);

// Retry delay of a daemon on standby. It is longer because readers send new
// manifests first, and the store charges for refused calls, too.
constexpr core::Duration kStandbyRetryDelay = std::chrono::milliseconds(1000);

// A daemon may be on standby while its proof is younger than this many poll
// timeouts. A reader's proof is at most two poll timeouts old, and peers are
// pinged about once a second.
constexpr double kMaxStandbyProofAgeInPolls = 2.8;

// How often a daemon on standby checks the age of its proof.
constexpr core::Duration kStandbyCheckPeriod = std::chrono::milliseconds(200);

}  // namespace

core::Duration TimeSinceBoot() { return Now().time_since_epoch(); }

ManifestKeeper::ManifestKeeper(TimerQueue& new_timers,
                               const DialectHooks& new_dialect,
                               const StoreHooks& new_store,
                               DecisionLog& new_log,
                               core::Duration new_poll_timeout)
    : timers(new_timers),
      dialect(new_dialect),
      store(new_store),
      log(new_log),
      poll_timeout(new_poll_timeout) {}

void ManifestKeeper::Start() { this->ReadNewest(); }

void ManifestKeeper::ReadNewest() {
  this->next_offset_known = false;
  this->store.read_manifest([this, sent_at = TimeSinceBoot()](auto result) {
    this->OnStoreResult(std::move(result), sent_at);
  });
}

bool ManifestKeeper::MayStandby() const {
  const auto age = this->proof_age();
  return this->is_store_reader && !this->is_store_reader() && age &&
         *age < std::chrono::duration_cast<core::Duration>(
                    this->poll_timeout * kMaxStandbyProofAgeInPolls);
}

void ManifestKeeper::AwaitNewer() {
  if (this->MayStandby()) {
    this->timers.After(kStandbyCheckPeriod, [this] { this->AwaitNewer(); });
    return;
  }
  this->store.await_manifest(this->next_offset, this->poll_timeout,
                             [this, sent_at = TimeSinceBoot()](auto result) {
                               this->OnStoreResult(std::move(result), sent_at);
                             });
}

void ManifestKeeper::RetryLater() {
  const bool is_reader = !this->is_store_reader || this->is_store_reader();
  this->timers.After(is_reader ? kRetryDelay : kStandbyRetryDelay, [this] {
    if (this->next_offset_known) {
      this->AwaitNewer();
    } else {
      this->ReadNewest();
    }
  });
}

void ManifestKeeper::OnStoreResult(
    std::variant<StoredManifest, StoreError> result, core::Duration sent_at) {
  if (const auto* error = std::get_if<StoreError>(&result)) {
    if (error->kind == StoreErrorKind::kRecordsGone) {
      this->ReadNewest();
      return;
    }
    if (this->store_reachable) {
      this->log.Write(Event::kStoreUnreachable, {{"detail", error->detail}});
    }
    this->store_reachable = false;
    this->RetryLater();
    return;
  }
  if (!this->store_reachable) {
    this->log.Write(Event::kStoreReachable, {});
  }
  this->store_reachable = true;
  auto& stored = std::get<StoredManifest>(result);
  this->next_offset = stored.next_offset;
  this->next_offset_known = true;
  // A manifest that cannot be decoded may withdraw keys, so it is no proof for
  // the current one.
  const bool is_readable =
      !stored.document || this->Adopt(*stored.document, "store");
  // A read that stops before the end of the log may miss the newest manifest.
  if (this->current && is_readable && stored.is_caught_up) {
    this->proven_at = std::max(this->proven_at.value_or(sent_at), sent_at);
  }
  this->AwaitNewer();
}

bool ManifestKeeper::Adopt(const std::string& document,
                           std::string_view source) {
  auto decoded = this->dialect.decode_manifest(document);
  if (const auto* problem = std::get_if<Unusable>(&decoded)) {
    this->log.Write(Event::kManifestUnreadable,
                    {{"source", source}, {"reason", problem->reason}});
    return false;
  }
  auto& manifest = std::get<core::manifest::Manifest>(decoded);
  if (this->current && manifest.version <= this->current->version()) {
    return true;
  }
  const std::uint64_t before = this->version();
  this->current =
      std::make_shared<const core::routing::RouteTable>(std::move(manifest));
  this->text = document;
  this->log.Write(
      Event::kManifestAdopted,
      {{"version", std::to_string(this->version())},
       {"before", std::to_string(before)},
       {"source", source},
       {"routes", std::to_string(this->current->manifest().routes.size())}});
  if (this->on_change) {
    this->on_change();
  }
  return true;
}

void ManifestKeeper::RecordProof(std::uint64_t version, core::Duration age,
                                 core::Duration requested_at) {
  if (!this->current || this->version() < version) {
    return;
  }
  const core::Duration peer_proven_at = requested_at - age;
  if (!this->proven_at || *this->proven_at < peer_proven_at) {
    this->proven_at = peer_proven_at;
  }
}

std::optional<core::Duration> ManifestKeeper::proof_age() const {
  if (!this->proven_at || !this->current) {
    return std::nullopt;
  }
  return TimeSinceBoot() - *this->proven_at;
}

}  // namespace lycheewell::sidecar::manifest
