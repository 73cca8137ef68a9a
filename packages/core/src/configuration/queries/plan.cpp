#include "lycheewell/core/configuration/queries/plan.h"

#include <algorithm>
#include <map>
#include <set>
#include <sstream>

namespace lycheewell::core::configuration::queries {
namespace {

std::optional<ObjectValue> CurrentValue(const State& state,
                                        std::string_view object) {
  const auto found = state.objects.find(object);
  if (found == state.objects.end()) {
    return std::nullopt;
  }
  return found->second.value;
}

std::uint64_t CurrentRevision(const State& state, std::string_view object) {
  const auto found = state.objects.find(object);
  return found == state.objects.end() ? 0
                                      : found->second.last_change.offset + 1;
}

// Whether `object` exists once `intents` are applied.
bool WillExist(const State& state, const std::vector<Intent>& intents,
               const std::string& object) {
  for (const Intent& intent : intents) {
    if (intent.object == object) {
      return intent.value.has_value();
    }
  }
  return state.objects.contains(object);
}

// Checks that referenced objects exist and that removed objects are not in use.
std::vector<std::string> FindProblems(const State& state,
                                      const std::vector<Intent>& intents) {
  std::vector<std::string> problems;
  for (const Intent& intent : intents) {
    const auto* key = intent.value ? std::get_if<Key>(&*intent.value) : nullptr;
    if (key != nullptr &&
        !WillExist(state, intents, AccountObject(key->account))) {
      problems.push_back(intent.object + ": account '" + key->account +
                         "' does not exist");
    }
    if (!intent.value && !state.objects.contains(intent.object)) {
      problems.push_back(intent.object + " does not exist");
    }
    if (intent.value && ObjectKind(intent.object) == "target" &&
        !state.members.contains(ObjectName(intent.object)) &&
        !std::get<Retirement>(*intent.value).daemon_gone) {
      problems.push_back(intent.object +
                         ": no such daemon has announced itself");
    }
    if (intent.value && ObjectKind(intent.object) == "evacuation") {
      const bool has_members = std::any_of(
          state.members.begin(), state.members.end(), [&](const auto& member) {
            return member.second.data_centre == ObjectName(intent.object);
          });
      if (!has_members) {
        problems.push_back(intent.object +
                           ": no daemon there has announced itself");
      }
    }
    if (!intent.value && ObjectKind(intent.object) == "account") {
      for (const auto& [name, object] : state.objects) {
        const auto* referencing_key = std::get_if<Key>(&object.value);
        if (referencing_key != nullptr && !referencing_key->withdrawn &&
            AccountObject(referencing_key->account) == intent.object) {
          problems.push_back(intent.object + ": " + name + " is still in use");
        }
      }
    }
  }
  return problems;
}

std::string DescribeAccountDisruption(const Account& before,
                                      const Account& after) {
  if (after.rate_per_second < before.rate_per_second ||
      after.burst < before.burst) {
    return "requests above the lower limit will be refused";
  }
  return {};
}

std::string DescribeRouteDisruption(const Route& before, const Route& after) {
  if (before.allows_anonymous && !after.allows_anonymous) {
    return "callers without a key will be refused";
  }
  if (after.importance < before.importance) {
    return "requests will be shed earlier under overload";
  }
  if (!before.idempotent && after.idempotent) {
    return "requests may be retried and so run more than once";
  }
  return {};
}

// Describes how the change can interrupt traffic. Empty if it cannot.
std::string DescribeDisruption(const std::optional<ObjectValue>& before,
                               const std::optional<ObjectValue>& after) {
  if (!before) {
    if (after && std::holds_alternative<Retirement>(*after)) {
      return "the target takes no new requests";
    }
    const auto* route = after ? std::get_if<Route>(&*after) : nullptr;
    return route != nullptr && route->allows_anonymous ? "no key will be needed"
                                                       : "";
  }
  if (!after) {
    return std::holds_alternative<Retirement>(*before) ||
                   std::holds_alternative<Evacuation>(*before)
               ? ""
               : "what depends on it will be refused or treated by defaults";
  }
  if (const auto* account = std::get_if<Account>(&*after)) {
    return DescribeAccountDisruption(std::get<Account>(*before), *account);
  }
  if (const auto* key = std::get_if<Key>(&*after)) {
    const bool newly_withdrawn =
        key->withdrawn && !std::get<Key>(*before).withdrawn;
    return newly_withdrawn ? "callers with this key will be refused" : "";
  }
  if (const auto* route = std::get_if<Route>(&*after)) {
    return DescribeRouteDisruption(std::get<Route>(*before), *route);
  }
  return "the daemon's shares may be given to others";
}

// Names the services that the evacuation leaves without a target.
std::string DescribeEvacuation(const State& state,
                               const std::vector<Intent>& intents,
                               std::string_view data_centre) {
  std::set<std::string> there;
  std::set<std::string> elsewhere;
  for (const auto& [id, member] : state.members) {
    const bool takes_work =
        !WillExist(state, intents, TargetObject(id)) &&
        !WillExist(state, intents, EvacuationObject(member.data_centre));
    if (member.data_centre == data_centre) {
      there.insert(member.service);
    } else if (takes_work) {
      elsewhere.insert(member.service);
    }
  }
  std::string lost;
  for (const std::string& service : there) {
    if (!service.empty() && !elsewhere.contains(service)) {
      lost += (lost.empty() ? "; services left without a target: " : ", ") +
              service;
    }
  }
  return "no target there takes new requests" + lost;
}

std::string Summarise(const std::string& object,
                      const std::optional<ObjectValue>& before,
                      const std::optional<ObjectValue>& after) {
  if (!before) {
    return "+ " + object + ": " + DescribeValue(*after);
  }
  if (!after) {
    return "- " + object + ": " + DescribeValue(*before);
  }
  return "~ " + object + ": " + DescribeValue(*before) + " -> " +
         DescribeValue(*after);
}

}  // namespace

std::variant<Plan, PlanError> MakePlan(const State& state,
                                       const std::vector<Intent>& intents) {
  const std::vector<std::string> problems = FindProblems(state, intents);
  if (!problems.empty()) {
    return PlanError{problems};
  }
  Plan plan{.state_offset = state.next_offset};
  for (const Intent& intent : intents) {
    const auto before = CurrentValue(state, intent.object);
    if (before == intent.value) {
      continue;
    }
    const bool is_evacuation =
        intent.value && std::holds_alternative<Evacuation>(*intent.value);
    plan.entries.push_back(
        {.change = {.object = intent.object,
                    .base_revision = CurrentRevision(state, intent.object),
                    .value = intent.value},
         .before = before,
         .summary = Summarise(intent.object, before, intent.value),
         .disruption =
             is_evacuation
                 ? DescribeEvacuation(state, intents, ObjectName(intent.object))
                 : DescribeDisruption(before, intent.value)});
  }
  return plan;
}

std::optional<std::vector<Intent>> MakeRollbackIntents(const State& state,
                                                       Offset offset) {
  const bool history_too_short =
      state.history.size() >= kMaxHistoryEntries &&
      state.history.front()->metadata.offset >= offset;
  if (history_too_short || offset > state.next_offset) {
    return std::nullopt;
  }
  std::map<std::string, std::optional<ObjectValue>> values;
  for (auto entry = state.history.rbegin(); entry != state.history.rend();
       ++entry) {
    if ((*entry)->metadata.offset < offset) {
      break;
    }
    if (!(*entry)->rejection.empty()) {
      continue;
    }
    for (const AppliedChange& change : (*entry)->changes) {
      values[change.object] = change.before;
    }
  }
  std::vector<Intent> intents;
  for (auto& [object, value] : values) {
    if (value || state.objects.contains(object)) {
      intents.push_back({object, value});
    }
  }
  return intents;
}

std::string DescribeValue(const ObjectValue& value) {
  std::ostringstream text;
  if (const auto* account = std::get_if<Account>(&value)) {
    text << "rate " << account->rate_per_second << "/s, burst "
         << account->burst;
  } else if (const auto* key = std::get_if<Key>(&value)) {
    text << "account " << key->account << ", "
         << (key->withdrawn ? "withdrawn" : "in use");
  } else if (const auto* route = std::get_if<Route>(&value)) {
    text << "importance " << ImportanceName(route->importance) << ", "
         << (route->idempotent ? "idempotent" : "not idempotent") << ", "
         << (route->allows_anonymous ? "open" : "needs a key");
  } else if (const auto* retirement = std::get_if<Retirement>(&value)) {
    text << (retirement->daemon_gone ? "retired, daemon is gone" : "retired");
  } else {
    text << "evacuated";
  }
  return text.str();
}

}  // namespace lycheewell::core::configuration::queries
