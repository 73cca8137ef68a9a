// Records of the configuration log and their JSON encoding.
#ifndef LYCHEEWELL_CORE_CONFIGURATION_RECORD_H_
#define LYCHEEWELL_CORE_CONFIGURATION_RECORD_H_

#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "lycheewell/core/configuration/objects.h"

namespace lycheewell::core::configuration {

// Record format version that this build writes; it cannot read newer ones.
inline constexpr int kRecordFormat = 1;

// A change of one object. Object names are "account/NAME", "key/ID",
// "route/SERVICE METHOD PREFIX", "target/DAEMON" and "evacuation/DATA CENTRE".
struct ObjectChange {
  std::string object;
  // Revision that the change was planned on: the offset of the object's last
  // change + 1, or 0 if the object does not exist.
  std::uint64_t base_revision = 0;
  std::optional<ObjectValue> value;  // empty: remove the object

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

// The daemon left, or other daemons detected its failure.
struct MemberLeft {
  DaemonRef daemon;

  bool operator==(const MemberLeft&) const = default;
};

// A target announced its service to the daemon beside it. An empty `service`
// means that the target no longer runs there.
struct TargetAnnounced {
  DaemonRef daemon;
  std::string service;

  bool operator==(const TargetAnnounced&) const = default;
};

// Replaces an account's roster. Valid only if `previous_epoch` is the current
// epoch, the number of shares is unchanged, and every reassigned share was
// released or its holder restarted, is fenced, or is retired with `daemon_gone`
// set.
struct RosterWritten {
  std::string account;
  std::uint64_t previous_epoch = 0;
  std::vector<DaemonRef> holders;

  bool operator==(const RosterWritten&) const = default;
};

// Starts to revoke the shares of `account` from `holder`.
struct ShareFenced {
  std::string account;
  std::uint64_t epoch = 0;
  DaemonRef holder;

  bool operator==(const ShareFenced&) const = default;
};

// Cancels a fence because the fenced holder is alive.
struct FenceObjected {
  std::string account;
  std::uint64_t epoch = 0;
  DaemonRef holder;

  bool operator==(const FenceObjected&) const = default;
};

// The holder no longer uses the share at index `share` of the roster and
// reports the balance of the share (see Share).
struct ShareReleased {
  std::string account;
  std::uint64_t epoch = 0;
  DaemonRef holder;
  std::uint64_t share = 0;
  std::int64_t remaining_micro_tokens = 0;
  std::int64_t lent_micro_tokens = 0;

  bool operator==(const ShareReleased&) const = default;
};

// The whole state below `offset`, which must be the record's own offset. The
// snapshot has no effect if another record was appended before it.
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

// Decodes one record; reports errors in the result and never throws.
std::variant<Record, RecordError> DecodeRecord(std::string_view text);

// The part of an object's name before the first '/'.
std::string_view ObjectKind(std::string_view object);

// The part of an object's name after the first '/'.
std::string_view ObjectName(std::string_view object);

std::string AccountObject(std::string_view account);
std::string KeyObject(std::string_view key_id);
std::string RouteObject(const Route& route);
std::string TargetObject(std::string_view daemon_id);
std::string EvacuationObject(std::string_view data_centre);

}  // namespace lycheewell::core::configuration

#endif  // LYCHEEWELL_CORE_CONFIGURATION_RECORD_H_
