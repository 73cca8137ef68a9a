#include "lycheewell/sidecar/manifest/evacuation_keeper.h"

#include <algorithm>
#include <map>
#include <utility>

#include "lycheewell/sidecar/clock.h"

namespace lycheewell::sidecar::manifest {
using core::membership::Evacuations;
using daemon::events::Event;

namespace {

// Targets leave within this time, or this part of a short bound.
constexpr core::Duration kLeaveTime = std::chrono::milliseconds(1500);
constexpr double kMaxLeavePart = 0.3;

// A data centre is closed when the last proof without the evacuation is this
// part of the bound old. The rest covers calls on their way.
constexpr double kClosingPart = 0.7;

// Targets return within this time. Their queues and the admission at the entry
// settle within a second after each step.
constexpr core::Duration kReturnTime = std::chrono::seconds(4);

constexpr core::Duration kStepPeriod = std::chrono::milliseconds(100);

// Evacuations that were proven this short a time ago outlast the loss of their
// records when the store comes back from an older copy.
constexpr core::Duration kMaxLostHistory = std::chrono::seconds(30);

core::Duration Part(core::Duration whole, double part) {
  return std::chrono::duration_cast<core::Duration>(whole * part);
}

std::uint32_t Milliseconds(core::Duration duration) {
  return static_cast<std::uint32_t>(std::max<std::int64_t>(
      0, std::chrono::ceil<std::chrono::milliseconds>(duration).count()));
}

}  // namespace

EvacuationKeeper::EvacuationKeeper(TimerQueue& new_timers, DecisionLog& new_log,
                                   Counters& new_counters, Options new_options)
    : timers(new_timers),
      log(new_log),
      counters(new_counters),
      options(std::move(new_options)) {}

void EvacuationKeeper::OnStoreRead(const StoredManifest& stored) {
  const core::membership::LogPosition& end = stored.evacuations.end;
  if (this->known.proven_at != core::membership::LogPosition{} &&
      end.era > this->known.proven_at.era) {
    this->log.Write(Event::kStoreRestored, {{"era", std::to_string(end.era)}});
  }
  const auto age = this->options.proof_age();
  const bool keeps_missing = age && *age < kMaxLostHistory;
  const std::set<std::string> before = this->known.data_centres;
  this->known = core::membership::AfterRead(this->known, stored.evacuations,
                                            keeps_missing);
  this->Enforce({}, "store");
  const auto description = this->Describe();
  if (description && this->known.data_centres != before) {
    mesh::Frame frame;
    *frame.mutable_evacuations() = *description;
    this->options.broadcast(frame);
  }
}

void EvacuationKeeper::OnPeer(const mesh::Evacuations& told,
                              const std::string& member) {
  const core::Instant now = Now();
  Evacuations theirs{.proven_at = {.era = told.era(), .offset = told.offset()}};
  std::map<std::string, core::Instant> closing;
  for (const mesh::Evacuation& evacuation : told.data_centres()) {
    theirs.data_centres.insert(evacuation.data_centre());
    closing[evacuation.data_centre()] =
        now + std::chrono::milliseconds(evacuation.closed_in_ms());
  }
  this->known = core::membership::Merge(this->known, theirs);
  this->Enforce(closing, member);
}

core::Instant EvacuationKeeper::LatestClosing(core::Instant now) const {
  const auto age = this->options.proof_age();
  if (!age) {
    return now;
  }
  return now - *age +
         Part(this->options.settings.bounds.evacuation, kClosingPart);
}

void EvacuationKeeper::Enforce(
    const std::map<std::string, core::Instant>& closing,
    std::string_view source) {
  const std::set<std::string> next =
      this->is_active() ? this->known.data_centres : std::set<std::string>();
  const std::set<std::string> before = std::exchange(this->in_force, next);
  if (before == next) {
    return;
  }
  const core::Instant now = Now();
  this->shift.Configure(
      {.leave_time = std::min(
           kLeaveTime,
           Part(this->options.settings.bounds.evacuation, kMaxLeavePart)),
       .return_time = kReturnTime});
  const core::Instant latest = this->LatestClosing(now);
  std::map<std::string, core::Instant> evacuated;
  for (const std::string& data_centre : next) {
    const auto told = closing.find(data_centre);
    evacuated[data_centre] =
        told == closing.end() ? latest : std::min(latest, told->second);
  }
  this->shift.Update(evacuated, now);
  const std::string offset = std::to_string(this->known.proven_at.offset);
  for (const std::string& data_centre : next) {
    if (!before.contains(data_centre)) {
      this->log.Write(Event::kDataCentreEvacuated,
                      {{"data_centre", data_centre},
                       {"source", source},
                       {"offset", offset},
                       {"closed_in_ms",
                        std::to_string(Milliseconds(
                            this->shift.TimeUntilClosed(data_centre, now)))}});
    }
  }
  for (const std::string& data_centre : before) {
    if (!next.contains(data_centre)) {
      this->closed.erase(data_centre);
      this->log.Write(Event::kDataCentreTakenBack,
                      {{"data_centre", data_centre},
                       {"source", source},
                       {"offset", offset}});
      if (data_centre == this->options.settings.data_centre) {
        this->options.on_taken_back();
      }
    }
  }
  this->timers.Cancel(this->step_timer);
  this->Step();
}

void EvacuationKeeper::Step() {
  const core::Instant now = Now();
  this->options.on_step(this->shift);
  for (const std::string& data_centre : this->in_force) {
    if (this->shift.IsClosed(data_centre, now) &&
        this->closed.insert(data_centre).second) {
      this->log.Write(Event::kDataCentreClosed, {{"data_centre", data_centre}});
      if (data_centre == this->options.settings.data_centre) {
        this->options.on_own_closed();
      }
    }
  }
  this->step_timer =
      this->shift.IsMoving(now)
          ? this->timers.After(kStepPeriod, [this] { this->Step(); })
          : 0;
}

bool EvacuationKeeper::RefusesCall() {
  if (!this->shift.IsClosed(this->options.settings.data_centre, Now())) {
    return false;
  }
  this->counters.Count("evacuation_refusals", "");
  return true;
}

std::optional<mesh::Evacuations> EvacuationKeeper::Describe() const {
  if (!this->is_active() ||
      this->known.proven_at == core::membership::LogPosition{}) {
    return std::nullopt;
  }
  mesh::Evacuations description;
  description.set_era(this->known.proven_at.era);
  description.set_offset(this->known.proven_at.offset);
  for (const std::string& data_centre : this->known.data_centres) {
    mesh::Evacuation& evacuation = *description.add_data_centres();
    evacuation.set_data_centre(data_centre);
    evacuation.set_closed_in_ms(
        Milliseconds(this->shift.TimeUntilClosed(data_centre, Now())));
  }
  return description;
}

void EvacuationKeeper::RenderMetrics(std::ostream& text) const {
  for (const std::string& data_centre : this->in_force) {
    text << "lycheewell_data_centre_evacuated{data_centre=\""
         << EscapeLabel(data_centre) << "\"} 1\n";
  }
}

}  // namespace lycheewell::sidecar::manifest
