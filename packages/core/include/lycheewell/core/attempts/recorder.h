// At-most-once execution of requests that carry an idempotency key.
//
// Keys are hashed to partitions. Each partition has a group of up to three
// members, picked from the members on the log in the same way by every daemon.
// An attempt may be dispatched once a majority of the group has recorded it and
// nobody in that majority knew another attempt of the key. A member that joins
// a group vouches for its keys only after enough members of the former group
// have sent it their records, so that each earlier majority is covered. Where
// too many of them are known to have ended for that, it waits until the records
// they may have taken along have outlived kKeyLifetime.
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

// A finished attempt's record and answer are kept for this long.
inline constexpr Duration kKeyLifetime = std::chrono::minutes(15);

// Answers with a larger body are not kept for a resend.
inline constexpr std::size_t kLargestKeptBody = 64 * 1024;

// Most records that one daemon holds.
inline constexpr std::size_t kMostRecords = 200'000;

// One membership of one daemon: the same daemon that joins again is another.
struct GroupMember {
  DaemonRef daemon;
  Offset joined_at = 0;

  auto operator<=>(const GroupMember&) const = default;
};

using Group = std::vector<GroupMember>;

// Number of the group's members that must record an attempt.
constexpr std::size_t MajorityOf(std::size_t group_size) {
  return group_size / 2 + 1;
}

std::uint32_t PartitionOf(const std::string& key);

// The group of `partition` among the members in `state`. Where there are too
// few members, those that left last fill it up: a group that became smaller
// could reach a majority without the members that know a key.
Group GroupOf(const configuration::State& state, std::uint32_t partition);

// The whole answer of a finished attempt.
struct KeptAnswer {
  int status = 0;
  std::string content_type;
  std::string body;
  bool body_kept = true;

  bool operator==(const KeptAnswer&) const = default;
};

// What is known of one key.
struct AttemptRecord {
  std::string attempt_id;
  std::string request_digest;        // of method, path and body
  std::optional<KeptAnswer> answer;  // empty: started, and its end is not known

  bool operator==(const AttemptRecord&) const = default;
};

struct KeyedRecord {
  std::string key;
  AttemptRecord record;

  bool operator==(const KeyedRecord&) const = default;
};

enum class VoteKind {
  kRecorded,     // this attempt is the key's only one as far as known here
  kKnown,        // another attempt of the key is known; see `record`
  kOtherGroup,   // the sender's group is not the one in force here
  kCannotVouch,  // joined the group lately and may lack records
  kFull,         // no room for another record
};

struct Vote {
  VoteKind kind = VoteKind::kCannotVouch;
  std::optional<AttemptRecord> record;

  bool operator==(const Vote&) const = default;
};

// Asks for a record of `attempt` before it is dispatched.
struct Proposal {
  std::string key;  // account, service and idempotency key
  std::string attempt_id;
  std::string request_digest;
  Group group;

  bool operator==(const Proposal&) const = default;
};

class Recorder {
 public:
  explicit Recorder(DaemonRef self);

  // Commands.

  // The members on the log changed. Called once for every folded record that
  // changes them, in order.
  void ApplyMembers(const configuration::State& state, Instant now);

  // The fold jumped over records. Nothing is vouched for until this daemon has
  // joined again with a new incarnation.
  void ApplyJump(const configuration::State& state);

  Vote Record(const Proposal& proposal, Instant now);

  // The attempt was not dispatched and never will be.
  void Release(const std::string& key, const std::string& attempt_id);

  // The attempt ended with the whole answer in `record`.
  void Finish(const std::string& key, const AttemptRecord& record, Instant now);

  // `sender`, which vouched for `partition` and had folded every record below
  // `sender_offset`, sent its records of it.
  void Import(std::uint32_t partition, const DaemonRef& sender,
              Offset sender_offset, const std::vector<KeyedRecord>& records,
              Instant now);

  // Drops records past their lifetime.
  void Expire(Instant now);

  // Queries.

  // Partitions that this daemon must still fetch, and whom to ask.
  std::map<std::uint32_t, std::vector<DaemonRef>> MissingPartitions() const;

  // The records of `partition`; empty when this daemon cannot vouch for it.
  std::optional<std::vector<KeyedRecord>> Export(std::uint32_t partition) const;

  const Group& group(std::uint32_t partition) const;
  std::size_t record_count() const { return this->attempt_count; }

 private:
  struct Entry {
    AttemptRecord record;
    Instant expires_at;
  };

  // Attempts of one key by attempt id. More than one is known where several
  // were proposed at once and different members recorded different ones.
  using KeyAttempts = std::map<std::string, Entry>;

  struct Partition {
    std::unordered_map<std::string, KeyAttempts> records;  // by key
    Group group;
    bool vouches = false;
    // This daemon left the group, and vouched for the partition until then or
    // has fetched the records that it lacked since.
    bool left_with_records = false;
    // For a partition whose records are not complete yet, also when this daemon
    // has left its group meanwhile: the next members may need them.
    Group former_group;
    std::set<DaemonRef> imported_from;
    Offset changed_at = 0;
    // Since when enough former members have either sent their records or ended.
    std::optional<Instant> settled_at;
  };

  void ChangeGroup(Partition& partition, Group group, Offset offset);
  void UpdateSettled(Partition& partition, const configuration::State& state,
                     Instant now);
  bool MayVouch(const Partition& partition, Instant now) const;
  Entry& Store(Partition& partition, const std::string& key,
               const AttemptRecord& record, Instant now);
  const GroupMember* FindSelf(const Group& group) const;
  static bool IsComplete(const Partition& partition) {
    return partition.vouches || partition.left_with_records;
  }

  DaemonRef self;
  std::vector<Partition> partitions;
  std::size_t attempt_count = 0;
  bool is_first_member = false;
};

}  // namespace lycheewell::core::attempts

#endif  // LYCHEEWELL_CORE_ATTEMPTS_RECORDER_H_
