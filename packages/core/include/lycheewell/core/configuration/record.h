// Records of the configuration stream and their JSON form.
#ifndef LYCHEEWELL_CORE_CONFIGURATION_RECORD_H_
#define LYCHEEWELL_CORE_CONFIGURATION_RECORD_H_

#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "lycheewell/core/configuration/objects.h"

namespace lycheewell::core::configuration {

// Version of the record format that this build writes and the newest it reads.
inline constexpr int kRecordFormat = 1;

// One object's change. Object names are "account/NAME", "key/ID",
// "route/SERVICE METHOD PREFIX" and "target/DAEMON".
struct ObjectChange {
  std::string object;
  // Revision the change was planned on: offset + 1, or 0 for an absent object.
  std::uint64_t based_on = 0;
  std::optional<ObjectValue> value;  // empty: the object is removed

  bool operator==(const ObjectChange&) const = default;
};

// A confirmed plan.
struct ChangeRecord {
  std::string command_id;
  std::string operator_name;
  std::string reason;
  std::int64_t time_ms = 0;
  std::vector<ObjectChange> changes;

  bool operator==(const ChangeRecord&) const = default;
};

struct MemberJoined {
  Member member;

  bool operator==(const MemberJoined&) const = default;
};

// The daemon left, or was found dead by others.
struct MemberLeft {
  DaemonRef daemon;

  bool operator==(const MemberLeft&) const = default;
};

// A target announced itself at the daemon beside it. An empty service says that
// there is none any more.
struct TargetAnnounced {
  DaemonRef daemon;
  std::string service;

  bool operator==(const TargetAnnounced&) const = default;
};

// Replaces an account's roster. Counts only when `previous_epoch` is in force,
// the number of shares stays the same, and every share that changes hands was
// released, or its holder restarted, was retired as gone, or is fenced.
struct RosterWritten {
  std::string account;
  std::uint64_t previous_epoch = 0;
  std::vector<DaemonRef> holders;

  bool operator==(const RosterWritten&) const = default;
};

// Announces that `holder` is to lose its share of `account`.
struct ShareFenced {
  std::string account;
  std::uint64_t epoch = 0;
  DaemonRef holder;

  bool operator==(const ShareFenced&) const = default;
};

// The fenced holder is alive: voids the fence.
struct FenceObjected {
  std::string account;
  std::uint64_t epoch = 0;
  DaemonRef holder;

  bool operator==(const FenceObjected&) const = default;
};

// The holder no longer uses the share at index `share` of the roster, and
// leaves `level` and `lent` millionths of a token behind (see Share).
struct ShareReleased {
  std::string account;
  std::uint64_t epoch = 0;
  DaemonRef holder;
  std::uint64_t share = 0;
  std::int64_t level = 0;
  std::int64_t lent = 0;

  bool operator==(const ShareReleased&) const = default;
};

// The whole state at `offset`, which must be the record's own offset.
struct SnapshotWritten {
  Offset offset = 0;
  std::string content_hash;  // SHA-256 of `state`
  std::string state;         // canonical JSON of State

  bool operator==(const SnapshotWritten&) const = default;
};

using Record = std::variant<ChangeRecord, MemberJoined, MemberLeft,
                            TargetAnnounced, RosterWritten, ShareFenced,
                            FenceObjected, ShareReleased, SnapshotWritten>;

enum class RecordErrorKind { kNotJson, kNewerFormat, kUnknownType, kBadField };

struct RecordError {
  RecordErrorKind kind = RecordErrorKind::kNotJson;
  std::string detail;

  bool operator==(const RecordError&) const = default;
};

// Encodes `record` as one line of JSON.
std::string EncodeRecord(const Record& record);

// Decodes one record. Never throws.
std::variant<Record, RecordError> DecodeRecord(std::string_view text);

// The part of an object's name before the first '/'.
std::string_view ObjectKind(std::string_view object);

// The part of an object's name after the first '/'.
std::string_view ObjectName(std::string_view object);

std::string AccountObject(std::string_view account);
std::string KeyObject(std::string_view key_id);
std::string RouteObject(const Route& route);
std::string TargetObject(std::string_view daemon_id);

}  // namespace lycheewell::core::configuration

#endif  // LYCHEEWELL_CORE_CONFIGURATION_RECORD_H_
