// Plans: what an operator's intent would change. Computing one changes nothing.
#ifndef LYCHEEWELL_CORE_CONFIGURATION_QUERIES_PLAN_H_
#define LYCHEEWELL_CORE_CONFIGURATION_QUERIES_PLAN_H_

#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "lycheewell/core/configuration/state.h"

namespace lycheewell::core::configuration::queries {

// The wish that `object` has `value`, or is removed when it is empty.
struct Intent {
  std::string object;
  std::optional<ObjectValue> value;

  bool operator==(const Intent&) const = default;
};

struct PlanEntry {
  ObjectChange change;
  std::optional<ObjectValue> before;
  std::string summary;     // one line for people
  std::string disruption;  // empty: cannot interrupt traffic

  bool operator==(const PlanEntry&) const = default;
};

struct Plan {
  Offset state_offset = 0;  // the plan was made on the state below this offset
  std::vector<PlanEntry> entries;  // empty: everything is as wished already

  bool operator==(const Plan&) const = default;
};

struct PlanError {
  std::vector<std::string> problems;

  bool operator==(const PlanError&) const = default;
};

// Compares the intents with `state` by meaning. All problems are reported
// together.
std::variant<Plan, PlanError> MakePlan(const State& state,
                                       const std::vector<Intent>& intents);

// The intents that bring every object back to its value below `offset`, or
// nothing when the history does not reach back that far.
std::optional<std::vector<Intent>> IntentsToReturnTo(const State& state,
                                                     Offset offset);

// One line for people, for example "rate 50/s, burst 10".
std::string DescribeValue(const ObjectValue& value);

}  // namespace lycheewell::core::configuration::queries

#endif  // LYCHEEWELL_CORE_CONFIGURATION_QUERIES_PLAN_H_
