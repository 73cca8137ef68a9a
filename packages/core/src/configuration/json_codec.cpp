#include "lycheewell/core/configuration/json_codec.h"

#include <cmath>

namespace lycheewell::core::configuration {
namespace json = boost::json;

namespace {

const json::value& RequiredField(const json::object& object,
                                 std::string_view field) {
  const json::value* value = object.if_contains(field);
  if (value == nullptr) {
    throw JsonFieldError("field '" + std::string(field) + "' is missing");
  }
  return *value;
}

[[noreturn]] void ThrowWrongType(std::string_view field,
                                 std::string_view expected) {
  throw JsonFieldError("field '" + std::string(field) + "' is not " +
                       std::string(expected));
}

Account ReadAccount(const json::object& object) {
  const Account account{.rate_per_second = ReadNumber(object, "rate"),
                        .burst = ReadNumber(object, "burst")};
  if (!(account.rate_per_second > 0) || !(account.burst >= 1)) {
    throw JsonFieldError("'rate' must be above 0 and 'burst' at least 1");
  }
  return account;
}

Route ReadRoute(const json::object& object) {
  const auto importance = ParseImportance(ReadString(object, "importance"));
  if (!importance) {
    throw JsonFieldError("'importance' is none of low, normal, high, critical");
  }
  Route route{.service = ReadString(object, "service"),
              .method = ReadString(object, "method"),
              .path_prefix = ReadString(object, "path_prefix"),
              .importance = *importance,
              .idempotent = ReadBool(object, "idempotent"),
              .allows_anonymous = ReadBool(object, "open")};
  if (route.service.empty() || !route.path_prefix.starts_with('/')) {
    throw JsonFieldError(
        "'service' must be given and 'path_prefix' must begin with '/'");
  }
  return route;
}

}  // namespace

std::string ReadString(const json::object& object, std::string_view field) {
  const json::string* text = RequiredField(object, field).if_string();
  if (text == nullptr) {
    ThrowWrongType(field, "a string");
  }
  return {text->data(), text->size()};
}

std::uint64_t ReadUnsigned(const json::object& object, std::string_view field) {
  const json::value& value = RequiredField(object, field);
  if (value.is_uint64()) {
    return value.get_uint64();
  }
  if (!value.is_int64() || value.get_int64() < 0) {
    ThrowWrongType(field, "a whole number of 0 or more");
  }
  return static_cast<std::uint64_t>(value.get_int64());
}

std::int64_t ReadInteger(const json::object& object, std::string_view field) {
  const json::value& value = RequiredField(object, field);
  if (!value.is_int64()) {
    ThrowWrongType(field, "a whole number");
  }
  return value.get_int64();
}

double ReadNumber(const json::object& object, std::string_view field) {
  const json::value& value = RequiredField(object, field);
  if (!value.is_number()) {
    ThrowWrongType(field, "a number");
  }
  const double number = value.to_number<double>();
  if (!std::isfinite(number)) {
    ThrowWrongType(field, "a finite number");
  }
  return number;
}

bool ReadBool(const json::object& object, std::string_view field) {
  const json::value& value = RequiredField(object, field);
  if (!value.is_bool()) {
    ThrowWrongType(field, "true or false");
  }
  return value.get_bool();
}

const json::array& ReadArray(const json::object& object,
                             std::string_view field) {
  const json::value& value = RequiredField(object, field);
  if (!value.is_array()) {
    ThrowWrongType(field, "an array");
  }
  return value.get_array();
}

const json::object& ReadObject(const json::object& object,
                               std::string_view field) {
  const json::value& value = RequiredField(object, field);
  if (!value.is_object()) {
    ThrowWrongType(field, "an object");
  }
  return value.get_object();
}

json::object ToJson(const ObjectValue& value) {
  if (const auto* account = std::get_if<Account>(&value)) {
    return {{"rate", account->rate_per_second}, {"burst", account->burst}};
  }
  if (const auto* key = std::get_if<Key>(&value)) {
    return {{"account", key->account},
            {"digest", key->digest},
            {"withdrawn", key->withdrawn}};
  }
  if (const auto* route = std::get_if<Route>(&value)) {
    return {{"service", route->service},
            {"method", route->method},
            {"path_prefix", route->path_prefix},
            {"importance", ImportanceName(route->importance)},
            {"idempotent", route->idempotent},
            {"open", route->allows_anonymous}};
  }
  if (const auto* retirement = std::get_if<Retirement>(&value)) {
    return {{"gone", retirement->daemon_gone}};
  }
  return {};
}

json::object ToJson(const ChangeMetadata& metadata) {
  return {{"offset", metadata.offset},
          {"operator", metadata.operator_name},
          {"reason", metadata.reason},
          {"time_ms", metadata.time_ms}};
}

json::object ToJson(const DaemonRef& daemon) {
  return {{"id", daemon.id}, {"incarnation", daemon.incarnation}};
}

json::object ToJson(const Member& member) {
  return {{"daemon", ToJson(member.daemon)},
          {"data_centre", member.data_centre},
          {"service", member.service},
          {"callers_address", member.callers_address},
          {"operators_address", member.operators_address},
          {"joined_at", member.joined_offset},
          {"joined_ms", member.joined_time_ms}};
}

json::object ToJson(const ShareRoster& roster) {
  json::array shares;
  for (const Share& share : roster.shares) {
    shares.push_back(json::object{{"holder", ToJson(share.holder)},
                                  {"released", share.released},
                                  {"handed_over", share.handed_over},
                                  {"level", share.remaining_micro_tokens},
                                  {"lent", share.lent_micro_tokens}});
  }
  json::object object{{"epoch", roster.epoch}, {"shares", std::move(shares)}};
  if (roster.fenced_holder) {
    object["fenced"] = ToJson(*roster.fenced_holder);
    object["fenced_at"] = roster.fenced_offset;
  }
  return object;
}

ObjectValue ReadObjectValue(std::string_view kind, const json::object& object) {
  if (kind == "account") {
    return ReadAccount(object);
  }
  if (kind == "key") {
    return Key{.account = ReadString(object, "account"),
               .digest = ReadString(object, "digest"),
               .withdrawn = ReadBool(object, "withdrawn")};
  }
  if (kind == "route") {
    return ReadRoute(object);
  }
  if (kind == "target") {
    return Retirement{.daemon_gone = ReadBool(object, "gone")};
  }
  if (kind == "evacuation") {
    return Evacuation{};
  }
  throw JsonFieldError("unknown kind of object '" + std::string(kind) + "'");
}

ChangeMetadata ReadChangeMetadata(const json::object& object) {
  return {.offset = ReadUnsigned(object, "offset"),
          .operator_name = ReadString(object, "operator"),
          .reason = ReadString(object, "reason"),
          .time_ms = ReadInteger(object, "time_ms")};
}

DaemonRef ReadDaemonRef(const json::object& object) {
  return {.id = ReadString(object, "id"),
          .incarnation = ReadUnsigned(object, "incarnation")};
}

Member ReadMember(const json::object& object) {
  return {.daemon = ReadDaemonRef(ReadObject(object, "daemon")),
          .data_centre = ReadString(object, "data_centre"),
          .service = ReadString(object, "service"),
          .callers_address = ReadString(object, "callers_address"),
          .operators_address = ReadString(object, "operators_address"),
          .joined_offset = ReadUnsigned(object, "joined_at"),
          .joined_time_ms = ReadInteger(object, "joined_ms")};
}

ShareRoster ReadShareRoster(const json::object& object) {
  ShareRoster roster{.epoch = ReadUnsigned(object, "epoch")};
  for (const json::value& share : ReadArray(object, "shares")) {
    roster.shares.push_back(
        {.holder = ReadDaemonRef(ReadObject(share.as_object(), "holder")),
         .released = ReadBool(share.as_object(), "released"),
         .handed_over = ReadBool(share.as_object(), "handed_over"),
         .remaining_micro_tokens = ReadInteger(share.as_object(), "level"),
         .lent_micro_tokens = ReadInteger(share.as_object(), "lent")});
  }
  if (object.contains("fenced")) {
    roster.fenced_holder = ReadDaemonRef(ReadObject(object, "fenced"));
    roster.fenced_offset = ReadUnsigned(object, "fenced_at");
  }
  return roster;
}

}  // namespace lycheewell::core::configuration
