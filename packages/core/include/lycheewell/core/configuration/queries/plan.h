// Computes the changes that an operator's intents require, without applying
// them.
#ifndef LYCHEEWELL_CORE_CONFIGURATION_QUERIES_PLAN_H_
#define LYCHEEWELL_CORE_CONFIGURATION_QUERIES_PLAN_H_

#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "lycheewell/core/configuration/state.h"

namespace lycheewell::core::configuration::queries {

// The desired value of `object`; empty to remove the object.
struct Intent {
  std::string object;
  std::optional<ObjectValue> value;

  bool operator==(const Intent&) const = default;
};

struct PlanEntry {
  ObjectChange change;
  std::optional<ObjectValue> before;
  std::string summary;     // one line for operators
  std::string disruption;  // empty: does not interrupt traffic

  bool operator==(const PlanEntry&) const = default;
};

struct Plan {
  Offset state_offset = 0;  // the plan covers all records below this offset
  std::vector<PlanEntry> entries;  // empty: the state matches the intents

  bool operator==(const Plan&) const = default;
};

struct PlanError {
  std::vector<std::string> problems;

  bool operator==(const PlanError&) const = default;
};

// Returns the changes that bring `state` in line with `intents`, or every
// problem found. Intents that match the current value need no change.
std::variant<Plan, PlanError> MakePlan(const State& state,
                                       const std::vector<Intent>& intents);

// Returns the intents that restore every object's value from before the record
// at `offset`, or nothing if the history is too short or `offset` is above
// `state.next_offset`.
std::optional<std::vector<Intent>> MakeRollbackIntents(const State& state,
                                                       Offset offset);

// Describes a value in one line, for example "rate 50/s, burst 10".
std::string DescribeValue(const ObjectValue& value);

}  // namespace lycheewell::core::configuration::queries

#endif  // LYCHEEWELL_CORE_CONFIGURATION_QUERIES_PLAN_H_
