#include "lycheewell/sidecar/manifest/manifest_keeper.h"

#include <algorithm>

#include "lycheewell/sidecar/clock.h"

namespace lycheewell::sidecar::manifest {
using daemon::events::Event;

namespace {

// Duration of one long poll of a daemon that waits for the first manifest. It
// returns at once when there is one.
constexpr core::Duration kFirstManifestPoll = std::chrono::milliseconds(2000);

// A daemon on standby checks the age of its proof at least this often: its rank
// may change.
constexpr core::Duration kMaxStandbyCheckDelay = std::chrono::milliseconds(500);

}  // namespace

core::Duration TimeSinceBoot() { return Now().time_since_epoch(); }

ManifestKeeper::ManifestKeeper(
    TimerQueue& new_timers, const DialectHooks& new_dialect,
    const StoreHooks& new_store, DecisionLog& new_log,
    const core::manifest::ReaderStandby::Options& options)
    : timers(new_timers),
      dialect(new_dialect),
      store(new_store),
      log(new_log),
      standby(options) {}

void ManifestKeeper::Start() { this->ReadNewest(); }

void ManifestKeeper::ReadNewest() {
  this->next_offset_known = false;
  this->store.read_manifest([this, sent_at = TimeSinceBoot()](auto result) {
    this->OnStoreResult(std::move(result), sent_at);
  });
}

bool ManifestKeeper::ReadsForOthers() const {
  return this->standby.ReadsForOthers(this->Rank());
}

void ManifestKeeper::AwaitNewer() {
  const core::Duration wait =
      this->standby.StandbyTime(this->Rank(), this->proof_age());
  if (wait > core::Duration::zero()) {
    this->timers.After(std::min(wait, kMaxStandbyCheckDelay),
                       [this] { this->AwaitNewer(); });
    return;
  }
  this->standby.BeginRead();
  this->store.await_manifest(
      this->next_offset,
      this->current ? this->standby.poll_timeout() : kFirstManifestPoll,
      [this, sent_at = TimeSinceBoot()](auto result) {
        this->standby.EndRead(std::holds_alternative<StoredManifest>(result));
        this->OnStoreResult(std::move(result), sent_at);
      });
}

void ManifestKeeper::RetryLater() {
  this->timers.After(this->standby.RetryDelay(this->Rank()), [this] {
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
  const bool is_older_copy = stored.evacuations.end.era != this->era;
  if (is_older_copy && !stored.evacuations.is_complete) {
    // Its offsets are not those that were read before.
    this->ReadNewest();
    return;
  }
  this->era = stored.evacuations.end.era;
  if (stored.unreadable_records > 0) {
    this->log.Write(Event::kBadPeerMessage,
                    {{"source", "store"},
                     {"reason", "unreadable records of the operators"},
                     {"records", std::to_string(stored.unreadable_records)}});
  }
  if (this->on_read) {
    this->on_read(stored);
  }
  this->next_offset = stored.next_offset;
  this->next_offset_known = true;
  // A manifest that cannot be decoded may withdraw keys, so it is no proof for
  // the current one.
  const std::uint64_t version_before = this->version();
  const bool is_readable =
      !stored.document || this->Adopt(*stored.document, "store");
  // A read that stops before the end of the log may miss the newest manifest.
  if (this->current && is_readable && stored.is_caught_up) {
    this->proven_at = std::max(this->proven_at.value_or(sent_at), sent_at);
  }
  if (this->ReadsForOthers()) {
    if (this->version() != version_before && this->on_change) {
      this->on_change();
    }
    if (this->proven_at == sent_at && this->on_proof) {
      this->on_proof();
    }
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
  if (this->on_adopted) {
    this->on_adopted();
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
