#include "lycheewell/core/membership/target_starts.h"

#include <algorithm>

namespace lycheewell::core::membership {

TargetStarts::TargetStarts(const Options& new_options) : options(new_options) {}

bool TargetStarts::IsCurrent(const TargetStart& start) const {
  return start.id == this->latest.start.id &&
         (start.incarnation == 0 ||
          start.incarnation == this->latest.start.incarnation);
}

bool TargetStarts::IsOverdue(Instant now) const {
  return now - this->reported_at > this->options.overdue_after;
}

ReportVerdict TargetStarts::Report(const TargetReport& report, Instant now) {
  if (this->IsCurrent(report.start)) {
    // Without a time of birth, a lower number may be that of a new start.
    const bool may_be_restarted =
        report.start.incarnation == 0 && this->IsOverdue(now);
    if (report.sequence <= this->latest.sequence && !may_be_restarted) {
      return ReportVerdict::kKnown;
    }
    this->latest.sequence = report.sequence;
    this->reported_at = now;
    this->candidate = {};
    if (report.is_leaving) {
      this->Retire(this->latest.start);
    }
    return ReportVerdict::kCurrent;
  }
  if (report.is_leaving) {
    this->Retire(report.start);
  }
  if (!this->Replaces(report, now)) {
    return ReportVerdict::kOther;
  }
  std::erase_if(this->earlier, [&](const TargetReport& known) {
    return known.start == report.start;
  });
  this->earlier.push_back(this->latest);
  if (this->earlier.size() > kMaxEarlier) {
    this->earlier.pop_front();
  }
  this->candidate = {};
  this->latest = report;
  this->reported_at = now;
  return ReportVerdict::kReplaced;
}

bool TargetStarts::Replaces(const TargetReport& report, Instant now) {
  const auto known = std::find_if(
      this->earlier.begin(), this->earlier.end(),
      [&](const TargetReport& one) { return one.start == report.start; });
  const bool is_known = known != this->earlier.end();
  if (!is_known && report.start.incarnation > this->latest.start.incarnation) {
    return true;
  }
  if (report.is_leaving) {
    // The current one may be a late report's: believe the younger one.
    return is_known && report.sequence > known->sequence &&
           report.start.incarnation > this->latest.start.incarnation;
  }
  if (report.start.id == this->latest.start.id &&
      this->is_retired(this->latest.start)) {
    // A process that lives reports again and again; a late report comes once.
    if (this->candidate.report.start != report.start) {
      this->candidate = {};
    }
    if (report.sequence > this->candidate.report.sequence) {
      this->candidate.report = report;
      ++this->candidate.reports;
    }
    return this->candidate.reports >= kReportsAfterDeparture;
  }
  // A start that was replaced goes on reporting if that was a mistake.
  return is_known ? report.sequence > known->sequence : this->IsOverdue(now);
}

}  // namespace lycheewell::core::membership
