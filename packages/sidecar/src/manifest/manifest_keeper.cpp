#include "lycheewell/sidecar/manifest/manifest_keeper.h"

#include <time.h>

namespace lycheewell::sidecar::manifest {
using daemon::events::Event;

namespace {

// Pause after a failed call: short against the time within which a manifest
// must be in force everywhere.
constexpr core::Duration kRetryPause = std::chrono::milliseconds(250);

// Pause of a daemon that does not wait at the store for others: readers bring
// it the news first, and every refused call is priced, too.
constexpr core::Duration kStandByRetryPause = std::chrono::milliseconds(1000);

// A daemon stands by while its proof is younger than this part of the wait. A
// reader's proof is at most two waits old, and peers are asked once a second.
constexpr double kStandByWaits = 2.8;

// How often a daemon that stands by looks at the age of its proof.
constexpr core::Duration kStandByCheck = std::chrono::milliseconds(200);

}  // namespace

core::Duration TimeSinceBoot() {
  timespec now{};
  clock_gettime(CLOCK_BOOTTIME, &now);
  return std::chrono::seconds(now.tv_sec) +
         std::chrono::nanoseconds(now.tv_nsec);
}

ManifestKeeper::ManifestKeeper(TimerQueue& new_timers,
                               const DialectHooks& new_dialect,
                               const StoreHooks& new_store,
                               DecisionLog& new_log, core::Duration new_wait)
    : timers(new_timers),
      dialect(new_dialect),
      store(new_store),
      log(new_log),
      wait(new_wait) {}

void ManifestKeeper::Start() { this->ReadNewest(); }

void ManifestKeeper::ReadNewest() {
  this->knows_end = false;
  this->store.read_manifest([this, sent_at = TimeSinceBoot()](auto result) {
    this->Handle(std::move(result), sent_at);
  });
}

bool ManifestKeeper::MayStandBy() const {
  const auto age = this->proof_age();
  return this->is_reader && !this->is_reader() && age &&
         *age < std::chrono::duration_cast<core::Duration>(this->wait *
                                                           kStandByWaits);
}

void ManifestKeeper::AwaitNewer() {
  if (this->MayStandBy()) {
    this->timers.After(kStandByCheck, [this] { this->AwaitNewer(); });
    return;
  }
  this->store.await_manifest(this->end, this->wait,
                             [this, sent_at = TimeSinceBoot()](auto result) {
                               this->Handle(std::move(result), sent_at);
                             });
}

void ManifestKeeper::RetryLater() {
  const bool reads_for_others = !this->is_reader || this->is_reader();
  this->timers.After(reads_for_others ? kRetryPause : kStandByRetryPause,
                     [this] {
                       if (this->knows_end) {
                         this->AwaitNewer();
                       } else {
                         this->ReadNewest();
                       }
                     });
}

void ManifestKeeper::Handle(std::variant<StoredManifest, StoreError> result,
                            core::Duration sent_at) {
  if (const auto* error = std::get_if<StoreError>(&result)) {
    if (error->kind == StoreErrorKind::kForgotten) {
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
  this->end = stored.end;
  this->knows_end = true;
  // An unreadable manifest may withdraw keys: it proves nothing.
  const bool is_understood =
      !stored.document || this->Adopt(*stored.document, "store");
  // A read that ends before the log does may lack the newest manifest.
  if (this->current && is_understood && stored.is_caught_up) {
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

void ManifestKeeper::LearnProof(std::uint64_t version, core::Duration age,
                                core::Duration asked_at) {
  if (!this->current || this->version() < version) {
    return;
  }
  const core::Duration proven = asked_at - age;
  if (!this->proven_at || *this->proven_at < proven) {
    this->proven_at = proven;
  }
}

std::optional<core::Duration> ManifestKeeper::proof_age() const {
  if (!this->proven_at || !this->current) {
    return std::nullopt;
  }
  return TimeSinceBoot() - *this->proven_at;
}

}  // namespace lycheewell::sidecar::manifest
