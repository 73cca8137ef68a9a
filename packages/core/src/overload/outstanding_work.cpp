#include "lycheewell/core/overload/outstanding_work.h"

#include <algorithm>
#include <cmath>

namespace lycheewell::core::overload {
namespace {

double AgeNs(Instant started_at, Instant now) {
  return static_cast<double>(
      std::max(Duration::zero(), now - started_at).count());
}

}  // namespace

double OutstandingWork::Run::RemainingNs(double age_ns) const {
  const double overrun =
      this->expected_ns > 0 ? std::max(1.0, age_ns / this->expected_ns) : 1.0;
  return std::max(this->expected_ns - age_ns, this->spread_ns * overrun);
}

void OutstandingWork::Start(std::uint64_t ticket, Duration expected,
                            Duration spread, Instant now) {
  this->index_by_ticket[ticket] = this->runs.size();
  this->runs.push_back({.ticket = ticket,
                        .started_at = now,
                        .expected_ns = static_cast<double>(expected.count()),
                        .spread_ns = static_cast<double>(spread.count())});
}

void OutstandingWork::End(std::uint64_t ticket) {
  const auto found = this->index_by_ticket.find(ticket);
  if (found == this->index_by_ticket.end()) {
    return;
  }
  const std::size_t index = found->second;
  this->index_by_ticket.erase(found);
  if (index + 1 < this->runs.size()) {
    this->runs[index] = this->runs.back();
    this->index_by_ticket[this->runs[index].ticket] = index;
  }
  this->runs.pop_back();
}

Duration OutstandingWork::Remaining(Instant now) const {
  double sum_ns = 0;
  for (const Run& run : this->runs) {
    sum_ns += run.RemainingNs(AgeNs(run.started_at, now));
  }
  return Duration(static_cast<Duration::rep>(sum_ns));
}

Duration OutstandingWork::MeanRun(Instant now) const {
  // Each run is released once in its whole length.
  double releases_per_ns = 0;
  for (const Run& run : this->runs) {
    const double age_ns = AgeNs(run.started_at, now);
    releases_per_ns += 1 / std::max(1.0, age_ns + run.RemainingNs(age_ns));
  }
  return releases_per_ns == 0
             ? Duration::zero()
             : Duration(static_cast<Duration::rep>(
                   static_cast<double>(this->runs.size()) / releases_per_ns));
}

Duration TimeUntilReleases(double releases, double slots, Duration running,
                           Duration queued) {
  // A slot is taken over by waiting requests at the rate 1 / running, and from
  // then on released at the rate 1 / queued. The expected number of releases by
  // `time` is convex or concave, so that Newton's method approaches the result
  // from one side.
  const double running_ns = std::max(1.0, static_cast<double>(running.count()));
  const double queued_ns = queued > Duration::zero()
                               ? static_cast<double>(queued.count())
                               : running_ns;
  const double ratio = running_ns / queued_ns;
  constexpr int kSteps = 3;
  double time_ns = releases * running_ns / slots;
  for (int step = 0; step < kSteps && ratio != 1; ++step) {
    const double not_taken_over = std::exp(-time_ns / running_ns);
    const double released =
        slots * ((1 - not_taken_over) * (1 - ratio) + time_ns / queued_ns);
    const double rate =
        slots * (not_taken_over * (1 - ratio) / running_ns + 1 / queued_ns);
    time_ns -= (released - releases) / rate;
  }
  return Duration(static_cast<Duration::rep>(std::max(0.0, time_ns)));
}

}  // namespace lycheewell::core::overload
