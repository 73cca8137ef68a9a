#include "lycheewell/core/configuration/record.h"

#include "lycheewell/core/configuration/json_codec.h"

namespace lycheewell::core::configuration {
namespace json = boost::json;

namespace {

json::object Header(std::string_view type) {
  return {{"format", kRecordFormat}, {"type", type}};
}

json::object ShareHeader(std::string_view type, std::string_view account,
                         std::uint64_t epoch, const DaemonRef& holder) {
  json::object object = Header(type);
  object["account"] = account;
  object["epoch"] = epoch;
  object["holder"] = ToJson(holder);
  return object;
}

struct Encoder {
  json::object operator()(const ChangeRecord& record) const {
    json::array changes;
    for (const ObjectChange& change : record.changes) {
      json::object entry{{"object", change.object},
                         {"based_on", change.base_revision}};
      if (change.value) {
        entry["value"] = ToJson(*change.value);
      }
      changes.push_back(std::move(entry));
    }
    json::object object = Header("change");
    object["command_id"] = record.command_id;
    object["operator"] = record.operator_name;
    object["reason"] = record.reason;
    object["time_ms"] = record.time_ms;
    object["changes"] = std::move(changes);
    return object;
  }

  json::object operator()(const MemberJoined& record) const {
    json::object object = Header("member-joined");
    object["member"] = ToJson(record.member);
    return object;
  }

  json::object operator()(const MemberLeft& record) const {
    json::object object = Header("member-left");
    object["daemon"] = ToJson(record.daemon);
    return object;
  }

  json::object operator()(const TargetAnnounced& record) const {
    json::object object = Header("target-announced");
    object["daemon"] = ToJson(record.daemon);
    object["service"] = record.service;
    return object;
  }

  json::object operator()(const RosterWritten& record) const {
    json::array holders;
    for (const DaemonRef& holder : record.holders) {
      holders.push_back(ToJson(holder));
    }
    json::object object = Header("roster-written");
    object["account"] = record.account;
    object["previous_epoch"] = record.previous_epoch;
    object["holders"] = std::move(holders);
    return object;
  }

  json::object operator()(const ShareFenced& record) const {
    return ShareHeader("share-fenced", record.account, record.epoch,
                       record.holder);
  }

  json::object operator()(const FenceObjected& record) const {
    return ShareHeader("fence-objected", record.account, record.epoch,
                       record.holder);
  }

  json::object operator()(const ShareReleased& record) const {
    json::object object = ShareHeader("share-released", record.account,
                                      record.epoch, record.holder);
    object["share"] = record.share;
    object["level"] = record.remaining_micro_tokens;
    object["lent"] = record.lent_micro_tokens;
    return object;
  }

  json::object operator()(const SnapshotWritten& record) const {
    json::object object = Header("snapshot-written");
    object["offset"] = record.offset;
    object["content_hash"] = record.content_hash;
    object["state"] = record.state;
    return object;
  }
};

ChangeRecord DecodeChange(const json::object& object) {
  ChangeRecord record{.command_id = ReadString(object, "command_id"),
                      .operator_name = ReadString(object, "operator"),
                      .reason = ReadString(object, "reason"),
                      .time_ms = ReadInteger(object, "time_ms")};
  for (const json::value& item : ReadArray(object, "changes")) {
    const json::object& entry = item.as_object();
    ObjectChange change{.object = ReadString(entry, "object"),
                        .base_revision = ReadUnsigned(entry, "based_on")};
    if (entry.contains("value")) {
      change.value = ReadObjectValue(ObjectKind(change.object),
                                     ReadObject(entry, "value"));
    }
    record.changes.push_back(std::move(change));
  }
  return record;
}

RosterWritten DecodeRoster(const json::object& object) {
  RosterWritten record{
      .account = ReadString(object, "account"),
      .previous_epoch = ReadUnsigned(object, "previous_epoch")};
  for (const json::value& holder : ReadArray(object, "holders")) {
    record.holders.push_back(ReadDaemonRef(holder.as_object()));
  }
  return record;
}

template <typename ShareRecord>
ShareRecord DecodeShareRecord(const json::object& object) {
  ShareRecord record;
  record.account = ReadString(object, "account");
  record.epoch = ReadUnsigned(object, "epoch");
  record.holder = ReadDaemonRef(ReadObject(object, "holder"));
  return record;
}

std::variant<Record, RecordError> DecodeObject(const json::object& object) {
  if (ReadInteger(object, "format") > kRecordFormat) {
    return RecordError{RecordErrorKind::kNewerFormat,
                       "written by a newer version; upgrade this daemon"};
  }
  const std::string type = ReadString(object, "type");
  if (type == "change") {
    return DecodeChange(object);
  }
  if (type == "member-joined") {
    return MemberJoined{ReadMember(ReadObject(object, "member"))};
  }
  if (type == "member-left") {
    return MemberLeft{ReadDaemonRef(ReadObject(object, "daemon"))};
  }
  if (type == "target-announced") {
    return TargetAnnounced{
        .daemon = ReadDaemonRef(ReadObject(object, "daemon")),
        .service = ReadString(object, "service")};
  }
  if (type == "roster-written") {
    return DecodeRoster(object);
  }
  if (type == "share-fenced") {
    return DecodeShareRecord<ShareFenced>(object);
  }
  if (type == "fence-objected") {
    return DecodeShareRecord<FenceObjected>(object);
  }
  if (type == "share-released") {
    auto record = DecodeShareRecord<ShareReleased>(object);
    record.share = ReadUnsigned(object, "share");
    record.remaining_micro_tokens = ReadInteger(object, "level");
    record.lent_micro_tokens = ReadInteger(object, "lent");
    return record;
  }
  if (type == "snapshot-written") {
    return SnapshotWritten{.offset = ReadUnsigned(object, "offset"),
                           .content_hash = ReadString(object, "content_hash"),
                           .state = ReadString(object, "state")};
  }
  return RecordError{RecordErrorKind::kUnknownType,
                     "unknown type '" + type + "'"};
}

}  // namespace

std::string EncodeRecord(const Record& record) {
  return json::serialize(std::visit(Encoder{}, record));
}

std::variant<Record, RecordError> DecodeRecord(std::string_view text) {
  boost::system::error_code error;
  const json::value value = json::parse(text, error);
  if (error || !value.is_object()) {
    return RecordError{RecordErrorKind::kNotJson,
                       error ? error.message() : "not a JSON object"};
  }
  try {
    return DecodeObject(value.get_object());
  } catch (const std::exception& problem) {
    return RecordError{RecordErrorKind::kBadField, problem.what()};
  }
}

std::string_view ObjectKind(std::string_view object) {
  return object.substr(0, object.find('/'));
}

std::string_view ObjectName(std::string_view object) {
  const std::size_t slash = object.find('/');
  return slash == std::string_view::npos ? std::string_view{}
                                         : object.substr(slash + 1);
}

std::string AccountObject(std::string_view account) {
  return "account/" + std::string(account);
}

std::string KeyObject(std::string_view key_id) {
  return "key/" + std::string(key_id);
}

std::string RouteObject(const Route& route) {
  return "route/" + route.service + " " +
         (route.method.empty() ? "*" : route.method) + " " + route.path_prefix;
}

std::string TargetObject(std::string_view daemon_id) {
  return "target/" + std::string(daemon_id);
}

std::string EvacuationObject(std::string_view data_centre) {
  return "evacuation/" + std::string(data_centre);
}

}  // namespace lycheewell::core::configuration
