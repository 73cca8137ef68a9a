// At-most-once execution of requests that carry an idempotency key.
//
// Keys are hashed to partitions. Each partition is replicated to a group of up
// to three members, which every daemon derives from the members on the log in
// the same way. An attempt may be dispatched once a majority of the group has
// recorded it and no member of that majority knew another attempt of the key.
//
// A member that joins a group is authoritative for the partition only after a
// read quorum of the former group has sent it its records: a read quorum
// intersects every majority that may have recorded an attempt. If too many
// former members have stopped for a read quorum to answer, the joining member
// waits for kKeyLifetime, until the records that they may have held have
// expired.
#ifndef LYCHEEWELL_CORE_ATTEMPTS_RECORDER_H_
#define LYCHEEWELL_CORE_ATTEMPTS_RECORDER_H_

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "lycheewell/core/configuration/state.h"
#include "lycheewell/core/types.h"

namespace lycheewell::core::attempts {

inline constexpr std::uint32_t kPartitions = 256;
inline constexpr std::size_t kGroupSize = 3;

// A record, with its answer, expires this long after it was last stored.
inline constexpr Duration kKeyLifetime = std::chrono::minutes(15);

// Limit on the body of a kept answer. An answer with a larger body cannot be
// replayed to a resend.
inline constexpr std::size_t kMaxKeptBodyBytes = 64 * 1024;

// A daemon that holds this many records refuses to record further attempts.
inline constexpr std::size_t kMaxRecords = 200'000;

// One membership of one daemon. A daemon that leaves and joins again is a
// different group member.
struct GroupMember {
  DaemonRef daemon;
  Offset joined_at = 0;  // offset of the record by which it joined

  auto operator<=>(const GroupMember&) const = default;
};

using Group = std::vector<GroupMember>;

// Number of the group's members that must record an attempt.
constexpr std::size_t MajorityOf(std::size_t group_size) {
  return group_size / 2 + 1;
}

std::uint32_t PartitionOf(const std::string& key);

// The group of `partition` among the members in `state`. If there are fewer
// than kGroupSize members, those that left most recently fill the group: a
// smaller group could reach a majority without the members that have recorded a
// key.
Group GroupOf(const configuration::State& state, std::uint32_t partition);

// The complete answer of a finished attempt, to be replayed to resends.
struct KeptAnswer {
  int status = 0;
  std::string content_type;
  std::string body;
  bool body_kept = true;  // false: the body exceeded kMaxKeptBodyBytes

  bool operator==(const KeptAnswer&) const = default;
};

// One attempt of a key.
struct AttemptRecord {
  std::string attempt_id;
  std::string request_digest;        // of account, method, path and body
  std::optional<KeptAnswer> answer;  // empty: not known to have ended

  bool operator==(const AttemptRecord&) const = default;
};

struct KeyedRecord {
  std::string key;
  AttemptRecord record;

  bool operator==(const KeyedRecord&) const = default;
};

enum class VoteKind {
  kRecorded,          // recorded; the voter knows no other attempt of the key
  kKnown,             // the voter knows another attempt; see Vote::record
  kOtherGroup,        // the proposal's group differs from the voter's
  kNotAuthoritative,  // the voter joined the group and may still lack records
  kFull,              // the voter holds kMaxRecords records
};

struct Vote {
  VoteKind kind = VoteKind::kNotAuthoritative;
  std::optional<AttemptRecord> record;  // set for kKnown

  bool operator==(const Vote&) const = default;
};

// Asks a group member to record an attempt before it is dispatched.
struct Proposal {
  std::string key;  // account, service and idempotency key
  std::string attempt_id;
  std::string request_digest;
  Group group;  // as the proposer knows it

  bool operator==(const Proposal&) const = default;
};

// Holds the records of the partitions whose groups this daemon belongs to, and
// votes on proposed attempts.
class Recorder {
 public:
  explicit Recorder(DaemonRef self);

  // Commands.

  // Updates the groups after the members on the log changed. Must be called
  // once for every applied record that changes them, in the order of the log.
  void ApplyMembers(const configuration::State& state, Instant now);

  // Adopts the groups of a snapshot that replaced records which were not
  // processed. This daemon may have missed changes of the groups, so it is
  // authoritative for no partition until it has joined again with a new
  // incarnation.
  void ApplySnapshot(const configuration::State& state);

  // Votes on `proposal`, and records its attempt if the vote is kRecorded.
  // Recording the same attempt again renews its lifetime.
  Vote Record(const Proposal& proposal, Instant now);

  // Drops the record of an attempt that was not dispatched and never will be. A
  // record with an answer stays.
  void Release(const std::string& key, const std::string& attempt_id);

  // Stores the complete answer in `record` for the attempt, which has ended.
  void Finish(const std::string& key, const AttemptRecord& record, Instant now);

  // Adds the records of `partition` that `sender` exported. `sender` held all
  // of its records and had processed every record of the log below
  // `sender_offset`.
  void Import(std::uint32_t partition, const DaemonRef& sender,
              Offset sender_offset, const std::vector<KeyedRecord>& records,
              Instant now);

  // Drops records that have expired.
  void Expire(Instant now);

  // Queries.

  // Partitions whose records this daemon must still fetch, each with the former
  // members that have not sent theirs.
  std::map<std::uint32_t, std::vector<DaemonRef>> MissingPartitions() const;

  // The records of `partition`; empty unless this daemon holds all of them.
  std::optional<std::vector<KeyedRecord>> Export(std::uint32_t partition) const;

  const Group& group(std::uint32_t partition) const;
  std::size_t record_count() const { return this->stored_count; }

 private:
  struct Entry {
    AttemptRecord record;
    Instant expires_at;
  };

  // Attempts of one key by attempt id. There is more than one if attempts were
  // proposed concurrently and members recorded different ones.
  using KeyAttempts = std::map<std::string, Entry>;

  struct Partition {
    std::unordered_map<std::string, KeyAttempts> records;  // by key
    Group group;
    // This daemon is in the group and holds all of the partition's records.
    bool is_authoritative = false;
    // This daemon has left the group and holds all records up to then: it was
    // authoritative when it left, or has fetched the missing records since.
    bool left_complete = false;
    // The group before this daemon joined, from which it fetches records. It
    // goes on fetching after it has left the group, because the members that
    // follow may need the records.
    Group former_group;
    std::set<DaemonRef> imported_from;
    // Next offset of the log when this daemon joined the group. A sender that
    // has not processed the log up to it still votes in the former group, so
    // its export may lack attempts that it records later.
    Offset joined_group_at = 0;
    // When a read quorum of the former group had sent its records or stopped.
    std::optional<Instant> quorum_resolved_at;
  };

  void ChangeGroup(Partition& partition, Group group, Offset offset);
  // Sets `quorum_resolved_at` once its condition holds.
  void UpdateResolved(Partition& partition, const configuration::State& state,
                      Instant now);
  // Whether this daemon holds every record of `partition` that has not expired.
  bool MayRecord(const Partition& partition, Instant now) const;
  // Adds `record` or renews its lifetime. Never removes a stored answer.
  Entry& Store(Partition& partition, const std::string& key,
               const AttemptRecord& record, Instant now);
  const GroupMember* FindSelf(const Group& group) const;
  static bool IsComplete(const Partition& partition) {
    return partition.is_authoritative || partition.left_complete;
  }

  DaemonRef self;
  std::vector<Partition> partitions;
  std::size_t stored_count = 0;
  // This daemon is the first member that ever joined. Groups without a
  // predecessor have no earlier records, so it is authoritative for them.
  bool is_first_member = false;
};

}  // namespace lycheewell::core::attempts

#endif  // LYCHEEWELL_CORE_ATTEMPTS_RECORDER_H_
