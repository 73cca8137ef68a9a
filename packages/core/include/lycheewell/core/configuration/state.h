// The replicated configuration state. Every daemon computes the same state by
// applying the log's records in offset order.
#ifndef LYCHEEWELL_CORE_CONFIGURATION_STATE_H_
#define LYCHEEWELL_CORE_CONFIGURATION_STATE_H_

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "lycheewell/core/configuration/objects.h"
#include "lycheewell/core/configuration/record.h"

namespace lycheewell::core::configuration {

// Upper bound on the confirmed plans that State keeps, to show them to
// operators and to detect a repeated command id.
inline constexpr std::size_t kMaxHistoryEntries = 1024;

inline constexpr std::size_t kMaxDepartedMembers = 3;

// The values of one object before and after a confirmed plan.
struct AppliedChange {
  std::string object;
  std::optional<ObjectValue> before;
  std::optional<ObjectValue> after;

  bool operator==(const AppliedChange&) const = default;
};

// The outcome of one confirmed plan.
struct HistoryEntry {
  ChangeMetadata metadata;
  std::string command_id;
  // Empty if the plan was accepted; otherwise describes the conflicting newer
  // change. Part of the encoded state and so of its content hash.
  std::string rejection;
  std::vector<AppliedChange> changes;

  bool operator==(const HistoryEntry&) const = default;
};

struct State {
  Offset next_offset = 0;  // all records below this offset are processed
  // The members that left most recently, newest first, at most
  // kMaxDepartedMembers. They fill up attempt groups that lack members, because
  // a group must not shrink.
  std::vector<Member> departed;
  // Offset of the first MemberJoined record in the log.
  std::optional<Offset> first_join_offset;
  std::map<std::string, Object, std::less<>> objects;        // by object name
  std::map<std::string, Member, std::less<>> members;        // by daemon id
  std::map<std::string, ShareRoster, std::less<>> rosters;   // by account
  std::vector<std::shared_ptr<const HistoryEntry>> history;  // oldest first
};

struct StateError {
  std::string detail;

  bool operator==(const StateError&) const = default;
};

// Encodes `state` as canonical JSON: equal states give equal text in every
// process.
std::string EncodeState(const State& state);

// Decodes the output of EncodeState; reports errors in the result and never
// throws.
std::variant<State, StateError> DecodeState(std::string_view text);

}  // namespace lycheewell::core::configuration

#endif  // LYCHEEWELL_CORE_CONFIGURATION_STATE_H_
