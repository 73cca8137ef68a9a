#include "lycheewell/core/attempts/recorder.h"

#include <algorithm>
#include <charconv>

#include "lycheewell/core/digest.h"
#include "lycheewell/core/routing/rendezvous.h"

namespace lycheewell::core::attempts {
namespace {

// Smallest number of members that intersects every majority of a group of
// `size`.
std::size_t ReadQuorumOf(std::size_t size) {
  return size - MajorityOf(size) + 1;
}

// Whether this incarnation has stopped for good: its daemon has joined with a
// newer incarnation or was retired as gone.
bool HasStopped(const configuration::State& state, const DaemonRef& daemon) {
  const auto member = state.members.find(daemon.id);
  if (member != state.members.end() &&
      member->second.daemon.incarnation > daemon.incarnation) {
    return true;
  }
  const auto object =
      state.objects.find(configuration::TargetObject(daemon.id));
  return object != state.objects.end() &&
         std::get<configuration::Retirement>(object->second.value).daemon_gone;
}

}  // namespace

std::uint32_t PartitionOf(const std::string& key) {
  return static_cast<std::uint32_t>(StableHash(key) % kPartitions);
}

Group GroupOf(const configuration::State& state, std::uint32_t partition) {
  std::vector<routing::Candidate> candidates;
  for (const auto& [id, member] : state.members) {
    candidates.push_back({member.daemon, member.data_centre});
  }
  const auto ranked = routing::RankAcrossDataCentres(
      "attempts/" + std::to_string(partition), std::move(candidates));
  Group group;
  for (const DaemonRef& daemon : ranked) {
    if (group.size() == kGroupSize) {
      break;
    }
    group.push_back({daemon, state.members.at(daemon.id).joined_offset});
  }
  for (const configuration::Member& departed : state.departed) {
    if (group.size() == kGroupSize) {
      break;
    }
    group.push_back({departed.daemon, departed.joined_offset});
  }
  std::sort(group.begin(), group.end());
  return group;
}

Recorder::Recorder(DaemonRef new_self)
    : self(std::move(new_self)), partitions(kPartitions) {}

void Recorder::ApplyMembers(const configuration::State& state, Instant now) {
  const auto member = state.members.find(this->self.id);
  this->is_first_member =
      member != state.members.end() && member->second.daemon == this->self &&
      member->second.joined_offset == state.first_join_offset;
  for (std::uint32_t index = 0; index < kPartitions; ++index) {
    Partition& partition = this->partitions[index];
    Group group = GroupOf(state, index);
    if (group != partition.group) {
      this->ChangeGroup(partition, std::move(group), state.next_offset);
    }
    this->UpdateResolved(partition, state, now);
  }
}

void Recorder::ApplySnapshot(const configuration::State& state) {
  for (std::uint32_t index = 0; index < kPartitions; ++index) {
    Partition& partition = this->partitions[index];
    partition = Partition{.records = std::move(partition.records),
                          .group = GroupOf(state, index)};
  }
}

void Recorder::ChangeGroup(Partition& partition, Group group, Offset offset) {
  const GroupMember* own_before = this->FindSelf(partition.group);
  const GroupMember* own_after = this->FindSelf(group);
  const bool stays = own_before != nullptr && own_after != nullptr &&
                     *own_before == *own_after;
  const bool leaves = own_before != nullptr && own_after == nullptr;
  if (leaves) {
    partition.left_complete = partition.is_authoritative;
    partition.is_authoritative = false;
  } else if (own_after != nullptr && !stays) {
    const bool is_first = partition.group.empty() && this->is_first_member;
    partition.left_complete = false;
    partition.is_authoritative = is_first;
    partition.former_group = partition.group;
    partition.imported_from.clear();
    partition.joined_group_at = offset;
    partition.quorum_resolved_at.reset();
  }
  partition.group = std::move(group);
}

void Recorder::UpdateResolved(Partition& partition,
                              const configuration::State& state, Instant now) {
  if (IsComplete(partition) || partition.quorum_resolved_at ||
      partition.former_group.empty()) {
    return;
  }
  const auto resolved = std::count_if(
      partition.former_group.begin(), partition.former_group.end(),
      [&](const GroupMember& member) {
        return partition.imported_from.contains(member.daemon) ||
               HasStopped(state, member.daemon);
      });
  if (static_cast<std::size_t>(resolved) >=
      ReadQuorumOf(partition.former_group.size())) {
    partition.quorum_resolved_at = now;
  }
}

const GroupMember* Recorder::FindSelf(const Group& group) const {
  const auto found = std::find_if(
      group.begin(), group.end(),
      [&](const GroupMember& member) { return member.daemon == this->self; });
  return found == group.end() ? nullptr : &*found;
}

bool Recorder::MayRecord(const Partition& partition, Instant now) const {
  return partition.is_authoritative ||
         (partition.quorum_resolved_at &&
          now - *partition.quorum_resolved_at >= kKeyLifetime);
}

Vote Recorder::Record(const Proposal& proposal, Instant now) {
  Partition& partition = this->partitions[PartitionOf(proposal.key)];
  const auto known = partition.records.find(proposal.key);
  if (known != partition.records.end()) {
    const AttemptRecord* other = nullptr;
    // An attempt with an answer takes precedence: its answer can be replayed.
    for (const auto& [attempt_id, entry] : known->second) {
      const bool is_better = other == nullptr || entry.record.answer;
      if (attempt_id != proposal.attempt_id && is_better) {
        other = &entry.record;
      }
    }
    if (other != nullptr) {
      return {VoteKind::kKnown, *other};
    }
  }
  if (partition.group != proposal.group ||
      this->FindSelf(partition.group) == nullptr) {
    return {VoteKind::kOtherGroup, std::nullopt};
  }
  if (!this->MayRecord(partition, now)) {
    return {VoteKind::kNotAuthoritative, std::nullopt};
  }
  if (this->stored_count >= kMaxRecords) {
    return {VoteKind::kFull, std::nullopt};
  }
  this->Store(partition, proposal.key,
              {.attempt_id = proposal.attempt_id,
               .request_digest = proposal.request_digest},
              now);
  return {VoteKind::kRecorded, std::nullopt};
}

Recorder::Entry& Recorder::Store(Partition& partition, const std::string& key,
                                 const AttemptRecord& record, Instant now) {
  const auto [stored, is_new] =
      partition.records[key].try_emplace(record.attempt_id, Entry{record, now});
  this->stored_count += is_new ? 1 : 0;
  Entry& entry = stored->second;
  if (record.answer && !entry.record.answer) {
    entry.record = record;
  }
  entry.expires_at = now + kKeyLifetime;
  return entry;
}

void Recorder::Release(const std::string& key, const std::string& attempt_id) {
  auto& records = this->partitions[PartitionOf(key)].records;
  const auto attempts = records.find(key);
  if (attempts == records.end()) {
    return;
  }
  const auto found = attempts->second.find(attempt_id);
  if (found == attempts->second.end() || found->second.record.answer) {
    return;
  }
  attempts->second.erase(found);
  --this->stored_count;
  if (attempts->second.empty()) {
    records.erase(attempts);
  }
}

void Recorder::Finish(const std::string& key, const AttemptRecord& record,
                      Instant now) {
  if (!record.answer) {
    return;
  }
  Partition& partition = this->partitions[PartitionOf(key)];
  Entry& entry = this->Store(partition, key, record, now);
  if (entry.record.answer->body.size() > kMaxKeptBodyBytes) {
    entry.record.answer->body.clear();
    entry.record.answer->body_kept = false;
  }
}

void Recorder::Import(std::uint32_t index, const DaemonRef& sender,
                      Offset sender_offset,
                      const std::vector<KeyedRecord>& imported, Instant now) {
  if (index >= kPartitions) {
    return;
  }
  Partition& partition = this->partitions[index];
  for (const KeyedRecord& item : imported) {
    if (PartitionOf(item.key) == index) {
      this->Store(partition, item.key, item.record, now);
    }
  }
  if (IsComplete(partition) || sender_offset < partition.joined_group_at) {
    return;
  }
  const bool was_in_former_group = std::any_of(
      partition.former_group.begin(), partition.former_group.end(),
      [&](const GroupMember& member) { return member.daemon == sender; });
  if (!was_in_former_group) {
    return;
  }
  partition.imported_from.insert(sender);
  const bool is_complete = partition.imported_from.size() >=
                           ReadQuorumOf(partition.former_group.size());
  const bool is_in_group = this->FindSelf(partition.group) != nullptr;
  partition.is_authoritative = is_complete && is_in_group;
  partition.left_complete = is_complete && !is_in_group;
}

void Recorder::Expire(Instant now) {
  for (Partition& partition : this->partitions) {
    for (auto& [key, attempts] : partition.records) {
      this->stored_count -= std::erase_if(attempts, [&](const auto& entry) {
        return entry.second.expires_at <= now;
      });
    }
    std::erase_if(partition.records,
                  [](const auto& entry) { return entry.second.empty(); });
  }
}

std::map<std::uint32_t, std::vector<DaemonRef>> Recorder::MissingPartitions()
    const {
  std::map<std::uint32_t, std::vector<DaemonRef>> missing;
  for (std::uint32_t index = 0; index < kPartitions; ++index) {
    const Partition& partition = this->partitions[index];
    if (IsComplete(partition)) {
      continue;
    }
    for (const GroupMember& member : partition.former_group) {
      if (!partition.imported_from.contains(member.daemon)) {
        missing[index].push_back(member.daemon);
      }
    }
  }
  return missing;
}

std::optional<std::vector<KeyedRecord>> Recorder::Export(
    std::uint32_t index) const {
  if (index >= kPartitions) {
    return std::nullopt;
  }
  const Partition& partition = this->partitions[index];
  if (!IsComplete(partition)) {
    return std::nullopt;
  }
  std::vector<KeyedRecord> exported;
  for (const auto& [key, attempts] : partition.records) {
    for (const auto& [attempt_id, entry] : attempts) {
      exported.push_back({key, entry.record});
    }
  }
  return exported;
}

const Group& Recorder::group(std::uint32_t partition) const {
  return this->partitions.at(partition).group;
}

}  // namespace lycheewell::core::attempts
