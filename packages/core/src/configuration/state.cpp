#include "lycheewell/core/configuration/state.h"

#include "lycheewell/core/configuration/json_codec.h"

namespace lycheewell::core::configuration {
namespace json = boost::json;

namespace {

json::object EncodeAppliedChange(const AppliedChange& change) {
  json::object object{{"object", change.object}};
  if (change.before) {
    object["before"] = ToJson(*change.before);
  }
  if (change.after) {
    object["after"] = ToJson(*change.after);
  }
  return object;
}

std::optional<ObjectValue> ReadOptionalValue(const json::object& entry,
                                             std::string_view field,
                                             std::string_view object_name) {
  if (!entry.contains(field)) {
    return std::nullopt;
  }
  return ReadObjectValue(ObjectKind(object_name), ReadObject(entry, field));
}

json::object EncodeHistoryEntry(const HistoryEntry& entry) {
  json::array changes;
  for (const AppliedChange& change : entry.changes) {
    changes.push_back(EncodeAppliedChange(change));
  }
  return {{"note", ToJson(entry.metadata)},
          {"command_id", entry.command_id},
          {"rejection", entry.rejection},
          {"changes", std::move(changes)}};
}

HistoryEntry DecodeHistoryEntry(const json::object& object) {
  HistoryEntry entry{.metadata = ReadChangeMetadata(ReadObject(object, "note")),
                     .command_id = ReadString(object, "command_id"),
                     .rejection = ReadString(object, "rejection")};
  for (const json::value& item : ReadArray(object, "changes")) {
    const json::object& change = item.as_object();
    const std::string name = ReadString(change, "object");
    entry.changes.push_back(
        {.object = name,
         .before = ReadOptionalValue(change, "before", name),
         .after = ReadOptionalValue(change, "after", name)});
  }
  return entry;
}

State DecodeStateObject(const json::object& object) {
  State state{.next_offset = ReadUnsigned(object, "next")};
  if (object.contains("first_join")) {
    state.first_join_offset = ReadUnsigned(object, "first_join");
  }
  for (const auto& item : ReadObject(object, "objects")) {
    const json::object& entry = item.value().as_object();
    const std::string name = item.key();
    state.objects.emplace(
        name,
        Object{.value = ReadObjectValue(ObjectKind(name),
                                        ReadObject(entry, "value")),
               .last_change = ReadChangeMetadata(ReadObject(entry, "note"))});
  }
  for (const auto& item : ReadObject(object, "members")) {
    state.members.emplace(item.key(), ReadMember(item.value().as_object()));
  }
  for (const json::value& item : ReadArray(object, "departed")) {
    state.departed.push_back(ReadMember(item.as_object()));
  }
  for (const auto& item : ReadObject(object, "rosters")) {
    state.rosters.emplace(item.key(),
                          ReadShareRoster(item.value().as_object()));
  }
  for (const json::value& item : ReadArray(object, "history")) {
    state.history.push_back(std::make_shared<const HistoryEntry>(
        DecodeHistoryEntry(item.as_object())));
  }
  return state;
}

}  // namespace

std::string EncodeState(const State& state) {
  json::object objects;
  for (const auto& [name, object] : state.objects) {
    objects[name] = json::object{{"value", ToJson(object.value)},
                                 {"note", ToJson(object.last_change)}};
  }
  json::object members;
  for (const auto& [id, member] : state.members) {
    members[id] = ToJson(member);
  }
  json::object rosters;
  for (const auto& [account, roster] : state.rosters) {
    rosters[account] = ToJson(roster);
  }
  json::array departed;
  for (const Member& member : state.departed) {
    departed.push_back(ToJson(member));
  }
  json::array history;
  for (const auto& entry : state.history) {
    history.push_back(EncodeHistoryEntry(*entry));
  }
  json::object encoded{
      {"next", state.next_offset},     {"objects", std::move(objects)},
      {"members", std::move(members)}, {"departed", std::move(departed)},
      {"rosters", std::move(rosters)}, {"history", std::move(history)}};
  if (state.first_join_offset) {
    encoded["first_join"] = *state.first_join_offset;
  }
  return json::serialize(encoded);
}

std::variant<State, StateError> DecodeState(std::string_view text) {
  boost::system::error_code error;
  const json::value value = json::parse(text, error);
  if (error || !value.is_object()) {
    return StateError{error ? error.message() : "not a JSON object"};
  }
  try {
    return DecodeStateObject(value.get_object());
  } catch (const std::exception& problem) {
    return StateError{problem.what()};
  }
}

}  // namespace lycheewell::core::configuration
