#include "lycheewell/core/configuration/commands/apply_record.h"

#include <algorithm>

#include "lycheewell/core/configuration/queries/shares.h"
#include "lycheewell/core/digest.h"

namespace lycheewell::core::configuration::commands {
namespace {

ApplyResult Rejected(std::string detail) {
  return {ApplyOutcome::kRejected, std::move(detail)};
}

std::uint64_t RevisionOf(const State& state, std::string_view object) {
  const auto found = state.objects.find(object);
  return found == state.objects.end() ? 0
                                      : found->second.last_change.offset + 1;
}

// Returns the last accepted change of `object`, or null if the history has
// none.
const HistoryEntry* LastChangeOf(const State& state, std::string_view object) {
  for (auto entry = state.history.rbegin(); entry != state.history.rend();
       ++entry) {
    if (!(*entry)->rejection.empty()) {
      continue;
    }
    for (const AppliedChange& change : (*entry)->changes) {
      if (change.object == object) {
        return entry->get();
      }
    }
  }
  return nullptr;
}

std::string DescribeConflict(const State& state, const ObjectChange& change) {
  std::string text = change.object + " was changed after the plan was made";
  if (const HistoryEntry* newer = LastChangeOf(state, change.object)) {
    text += ": by " + newer->metadata.operator_name + " at offset " +
            std::to_string(newer->metadata.offset) + " (" +
            newer->metadata.reason + ")";
  }
  return text;
}

// Describes the first object whose revision differs from the one that the plan
// was made on. Empty if there is none.
std::string FindConflict(const State& state, const ChangeRecord& record) {
  for (const ObjectChange& change : record.changes) {
    if (RevisionOf(state, change.object) != change.base_revision) {
      return DescribeConflict(state, change);
    }
  }
  return {};
}

bool CommandWasProcessed(const State& state, std::string_view command_id) {
  return std::any_of(
      state.history.begin(), state.history.end(),
      [&](const auto& entry) { return entry->command_id == command_id; });
}

void AppendHistory(State& state, HistoryEntry entry) {
  if (state.history.size() >= kMaxHistoryEntries) {
    state.history.erase(state.history.begin());
  }
  state.history.push_back(
      std::make_shared<const HistoryEntry>(std::move(entry)));
}

std::optional<ObjectValue> ValueOf(const State& state,
                                   std::string_view object) {
  const auto found = state.objects.find(object);
  if (found == state.objects.end()) {
    return std::nullopt;
  }
  return found->second.value;
}

void StoreObject(State& state, const ObjectChange& change,
                 const ChangeMetadata& metadata) {
  if (change.value) {
    state.objects[change.object] = Object{*change.value, metadata};
    return;
  }
  state.objects.erase(change.object);
}

// Visitor that applies a record of any type to `state`.
struct RecordApplier {
  State& state;
  Offset offset;

  ApplyResult operator()(const ChangeRecord& record) const {
    if (CommandWasProcessed(this->state, record.command_id)) {
      return {ApplyOutcome::kIgnored, "command id was already processed"};
    }
    HistoryEntry entry{.metadata = {.offset = this->offset,
                                    .operator_name = record.operator_name,
                                    .reason = record.reason,
                                    .time_ms = record.time_ms},
                       .command_id = record.command_id,
                       .rejection = FindConflict(this->state, record)};
    for (const ObjectChange& change : record.changes) {
      entry.changes.push_back({.object = change.object,
                               .before = ValueOf(this->state, change.object),
                               .after = change.value});
    }
    ApplyResult result{ApplyOutcome::kApplied, record.command_id};
    if (entry.rejection.empty()) {
      for (const ObjectChange& change : record.changes) {
        StoreObject(this->state, change, entry.metadata);
      }
    } else {
      result = Rejected(entry.rejection);
    }
    AppendHistory(this->state, std::move(entry));
    return result;
  }

  ApplyResult operator()(const MemberJoined& record) const {
    const auto known = this->state.members.find(record.member.daemon.id);
    if (known != this->state.members.end() &&
        known->second.daemon.incarnation >= record.member.daemon.incarnation) {
      return {ApplyOutcome::kIgnored,
              "member has already joined with this or a newer incarnation"};
    }
    if (!this->state.first_join_offset) {
      this->state.first_join_offset = this->offset;
    }
    std::erase_if(this->state.departed, [&](const Member& departed) {
      return departed.daemon.id == record.member.daemon.id;
    });
    Member member = record.member;
    member.joined_offset = this->offset;
    this->state.members[member.daemon.id] = std::move(member);
    return {ApplyOutcome::kApplied, record.member.daemon.id + " joined"};
  }

  ApplyResult operator()(const MemberLeft& record) const {
    const auto known = this->state.members.find(record.daemon.id);
    if (known == this->state.members.end() ||
        known->second.daemon != record.daemon) {
      return {ApplyOutcome::kIgnored,
              "daemon incarnation is not a current member"};
    }
    this->state.departed.insert(this->state.departed.begin(), known->second);
    if (this->state.departed.size() > kMaxDepartedMembers) {
      this->state.departed.pop_back();
    }
    this->state.members.erase(known);
    return {ApplyOutcome::kApplied, record.daemon.id + " left"};
  }

  ApplyResult operator()(const TargetAnnounced& record) const {
    const auto known = this->state.members.find(record.daemon.id);
    if (known == this->state.members.end() ||
        known->second.daemon != record.daemon ||
        known->second.service == record.service) {
      return {ApplyOutcome::kIgnored,
              "service is unchanged or daemon is not a current member"};
    }
    known->second.service = record.service;
    return {ApplyOutcome::kApplied,
            record.daemon.id + " serves " + record.service};
  }

  ApplyResult operator()(const RosterWritten& record) const {
    const std::string problem = queries::FindRosterProblem(this->state, record);
    if (!problem.empty()) {
      return Rejected(problem);
    }
    ShareRoster roster{.epoch = record.previous_epoch + 1};
    const auto previous_roster = this->state.rosters.find(record.account);
    for (std::size_t index = 0; index < record.holders.size(); ++index) {
      Share share{.holder = record.holders[index]};
      if (previous_roster != this->state.rosters.end()) {
        const Share& previous_share = previous_roster->second.shares[index];
        share.handed_over =
            previous_share.released && previous_share.handed_over;
        share.remaining_micro_tokens =
            share.handed_over ? previous_share.remaining_micro_tokens : 0;
        share.lent_micro_tokens =
            share.handed_over ? previous_share.lent_micro_tokens : 0;
      }
      roster.shares.push_back(share);
    }
    this->state.rosters[record.account] = std::move(roster);
    return {ApplyOutcome::kApplied, "roster of " + record.account};
  }

  ApplyResult operator()(const ShareFenced& record) const {
    ShareRoster* roster = this->FindRoster(record.account, record.epoch);
    if (roster == nullptr || roster->fenced_holder ||
        !queries::HoldsShare(*roster, record.holder)) {
      return {ApplyOutcome::kIgnored,
              "fence names another epoch, a daemon without a share, or a "
              "roster that is already fenced"};
    }
    roster->fenced_holder = record.holder;
    roster->fenced_offset = this->offset;
    return {ApplyOutcome::kApplied, record.holder.id + " fenced"};
  }

  ApplyResult operator()(const FenceObjected& record) const {
    ShareRoster* roster = this->FindRoster(record.account, record.epoch);
    if (roster == nullptr || roster->fenced_holder != record.holder) {
      return {ApplyOutcome::kIgnored,
              "objection names another epoch or a daemon that is not fenced"};
    }
    roster->fenced_holder.reset();
    roster->fenced_offset = 0;
    return {ApplyOutcome::kApplied, record.holder.id + " objected"};
  }

  ApplyResult operator()(const ShareReleased& record) const {
    ShareRoster* roster = this->FindRoster(record.account, record.epoch);
    if (roster == nullptr || record.share >= roster->shares.size() ||
        roster->shares[record.share].holder != record.holder ||
        roster->shares[record.share].released ||
        record.remaining_micro_tokens < 0 || record.lent_micro_tokens < 0) {
      return {ApplyOutcome::kIgnored,
              "release names another epoch, holder or share, or is invalid"};
    }
    roster->shares[record.share] = {
        .holder = record.holder,
        .released = true,
        .handed_over = true,
        .remaining_micro_tokens = record.remaining_micro_tokens,
        .lent_micro_tokens = record.lent_micro_tokens};
    return {ApplyOutcome::kApplied, record.holder.id + " released a share"};
  }

  ApplyResult operator()(const SnapshotWritten& record) const {
    if (record.offset != this->offset) {
      return {ApplyOutcome::kIgnored,
              "snapshot was written for another offset"};
    }
    if (Sha256Hex(EncodeState(this->state)) != record.content_hash) {
      return {ApplyOutcome::kSnapshotMismatch,
              "state differs from snapshot at offset " +
                  std::to_string(this->offset)};
    }
    return {ApplyOutcome::kSnapshotMatches, {}};
  }

  ShareRoster* FindRoster(const std::string& account,
                          std::uint64_t epoch) const {
    const auto found = this->state.rosters.find(account);
    if (found == this->state.rosters.end() || found->second.epoch != epoch) {
      return nullptr;
    }
    return &found->second;
  }
};

// Replaces `state` with a snapshot record that follows a gap in the log.
ApplyResult AdoptSnapshot(State& state, Offset offset,
                          const SnapshotWritten& snapshot) {
  if (snapshot.offset != offset) {
    return {ApplyOutcome::kGap, "snapshot was written for another offset"};
  }
  if (Sha256Hex(snapshot.state) != snapshot.content_hash) {
    return {ApplyOutcome::kGap, "snapshot does not match its content hash"};
  }
  auto decoded = DecodeState(snapshot.state);
  State* adopted = std::get_if<State>(&decoded);
  if (adopted == nullptr || adopted->next_offset != offset) {
    return {ApplyOutcome::kGap, "snapshot is malformed or of another offset"};
  }
  state = std::move(*adopted);
  state.next_offset = offset + 1;
  return {ApplyOutcome::kSnapshotAdopted,
          "at offset " + std::to_string(offset)};
}

}  // namespace

ApplyResult ApplyRecord(State& state, Offset offset,
                        const std::variant<Record, RecordError>& record) {
  if (offset < state.next_offset) {
    return {ApplyOutcome::kAlreadyProcessed, {}};
  }
  const Record* readable = std::get_if<Record>(&record);
  if (offset > state.next_offset) {
    const auto* snapshot =
        readable ? std::get_if<SnapshotWritten>(readable) : nullptr;
    if (snapshot == nullptr) {
      return {ApplyOutcome::kGap,
              "next offset is " + std::to_string(state.next_offset)};
    }
    return AdoptSnapshot(state, offset, *snapshot);
  }
  ApplyResult result;
  if (readable == nullptr) {
    result = {ApplyOutcome::kUnreadable, std::get<RecordError>(record).detail};
  } else {
    result = std::visit(RecordApplier{state, offset}, *readable);
  }
  state.next_offset = offset + 1;
  return result;
}

}  // namespace lycheewell::core::configuration::commands
