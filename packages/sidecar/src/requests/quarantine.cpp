#include "lycheewell/sidecar/requests/quarantine.h"

#include <algorithm>
#include <chrono>
#include <utility>

#include "lycheewell/core/membership/start_name.h"
#include "lycheewell/sidecar/clock.h"
#include "lycheewell/sidecar/records/own_records.h"

namespace lycheewell::sidecar::requests {
using core::membership::StartName;
using core::quarantine::CrashMark;
using core::quarantine::QuarantineStatus;
using daemon::events::Event;

namespace {

// Withdrawn marks of this time go to the peers in one message: after the crash
// of a busy target many requests complete elsewhere.
constexpr core::Duration kWithdrawalBatchTime = std::chrono::milliseconds(250);

// Bound of a message and of a record in the store, about 64 bytes each.
constexpr std::size_t kMaxMarksPerMessage = 1024;

std::int64_t UnixMilliseconds() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

void Encode(const CrashMark& mark, core::Duration age,
            mesh::CrashMark& encoded) {
  encoded.set_fingerprint(mark.fingerprint);
  encoded.set_instance(mark.target.id);
  encoded.set_born_ms(mark.target.incarnation);
  encoded.set_is_sole_suspect(mark.is_sole_suspect);
  encoded.set_crashed_at_ms(static_cast<std::uint64_t>(
      UnixMilliseconds() -
      std::chrono::duration_cast<std::chrono::milliseconds>(age).count()));
}

CrashMark Decode(const mesh::CrashMark& encoded) {
  return {
      .fingerprint = encoded.fingerprint(),
      .target = {.id = encoded.instance(), .incarnation = encoded.born_ms()},
      .is_sole_suspect = encoded.is_sole_suspect()};
}

// The clocks of VMs differ by seconds at most; marks live for minutes.
core::Instant CrashTime(const mesh::CrashMark& encoded) {
  const std::int64_t age =
      UnixMilliseconds() - static_cast<std::int64_t>(encoded.crashed_at_ms());
  return Now() - std::chrono::milliseconds(std::max<std::int64_t>(0, age));
}

}  // namespace

Quarantine::Quarantine(TimerQueue& new_timers, DecisionLog& new_log,
                       Options new_options)
    : timers(new_timers), log(new_log), options(std::move(new_options)) {}

QuarantineStatus Quarantine::StatusOf(const std::string& fingerprint) const {
  return this->marks.empty() ? QuarantineStatus::kClear
                             : this->marks.StatusOf(fingerprint, Now());
}

void Quarantine::OnCrash(
    const core::DaemonRef& start,
    const std::vector<core::quarantine::RunningRequest>& running) {
  const core::Instant now = Now();
  this->marks.Expire(now);
  std::vector<CrashMark> left =
      core::quarantine::MarksOfCrash(start, running, this->marks, now);
  std::stable_partition(left.begin(), left.end(), [](const CrashMark& mark) {
    return mark.is_sole_suspect;
  });
  if (left.size() > kMaxMarksPerMessage) {
    left.resize(kMaxMarksPerMessage);
  }
  mesh::Frame frame;
  mesh::CrashMarks& known = *frame.mutable_crash_marks();
  for (const CrashMark& mark : left) {
    this->marks.Add(mark, now);
    Encode(mark, {}, *known.add_marks());
    if (this->StatusOf(mark.fingerprint) == QuarantineStatus::kQuarantined) {
      this->log.Write(
          Event::kRequestQuarantined,
          {{"fingerprint", mark.fingerprint}, {"instance", start.id}});
    }
  }
  this->log.Write(Event::kTargetCrashed,
                  {{"instance", start.id},
                   {"born_ms", std::to_string(start.incarnation)},
                   {"running", std::to_string(running.size())},
                   {"marked", std::to_string(left.size())}});
  this->options.broadcast(frame);
  const std::string id = StartName(start);
  this->records[id] = known;
  this->record_ids.push_back(id);
  if (this->record_ids.size() > records::OwnRecords::kMaxPerKind) {
    this->records.erase(this->record_ids.front());
    this->record_ids.pop_front();
  }
  this->options.put_record(id, known.SerializeAsString());
}

void Quarantine::OnCompleted(const std::string& fingerprint) {
  if (this->StatusOf(fingerprint) == QuarantineStatus::kClear) {
    return;
  }
  for (const CrashMark& mark : this->marks.Withdraw(fingerprint, Now())) {
    Encode(mark, {}, *this->withdrawn.add_withdrawn());
    this->WithdrawFromRecords(mark);
  }
  if (this->broadcast_timer == 0) {
    this->broadcast_timer = this->timers.After(
        kWithdrawalBatchTime, [this] { this->BroadcastWithdrawn(); });
  }
}

void Quarantine::BroadcastWithdrawn() {
  this->broadcast_timer = 0;
  mesh::Frame frame;
  frame.mutable_crash_marks()->Swap(&this->withdrawn);
  this->withdrawn.Clear();
  this->options.broadcast(frame);
}

void Quarantine::WithdrawFromRecords(const CrashMark& mark) {
  const auto found = this->records.find(StartName(mark.target));
  if (found == this->records.end()) {
    return;
  }
  auto& marks_of_crash = *found->second.mutable_marks();
  for (int i = 0; i < marks_of_crash.size(); ++i) {
    if (marks_of_crash[i].fingerprint() != mark.fingerprint) {
      continue;
    }
    marks_of_crash.DeleteSubrange(i, 1);
    // Other marks only make a suspect, which its next run clears.
    if (mark.is_sole_suspect) {
      this->options.put_record(found->first, found->second.SerializeAsString());
    }
    return;
  }
}

void Quarantine::Apply(const mesh::CrashMarks& known) {
  const core::Instant now = Now();
  this->marks.Expire(now);
  for (const mesh::CrashMark& mark : known.marks()) {
    this->marks.Add(Decode(mark), CrashTime(mark));
  }
  for (const mesh::CrashMark& mark : known.withdrawn()) {
    this->marks.Withdraw(Decode(mark), now);
    this->WithdrawFromRecords(Decode(mark));
  }
}

void Quarantine::Describe(mesh::CrashMarks& known) const {
  const core::Instant now = Now();
  for (const auto& [mark, at] : this->marks.Newest(kMaxMarksPerMessage, now)) {
    Encode(mark, now - at, *known.add_marks());
  }
}

}  // namespace lycheewell::sidecar::requests
