#include "lycheewell/daemon/operators/commands/plan_and_confirm.h"

#include <boost/asio/steady_timer.hpp>
#include <boost/json.hpp>

#include "lycheewell/core/configuration/json_codec.h"
#include "lycheewell/core/configuration/queries/plan.h"
#include "lycheewell/core/digest.h"

namespace lycheewell::daemon::operators::commands {
namespace asio = boost::asio;
namespace configuration = core::configuration;
namespace http = io::http;
namespace json = boost::json;

using configuration::ChangeRecord;
using configuration::HistoryEntry;
using configuration::JsonFieldError;
using configuration::ObjectChange;
using configuration::queries::Intent;
using configuration::queries::Plan;
using configuration::queries::PlanEntry;
using configuration::queries::PlanError;

namespace {

constexpr std::size_t kKeyBytes = 24;
constexpr std::size_t kKeyIdBytes = 4;
constexpr std::string_view kKeyPrefix = "lw_";
constexpr auto kFoldTime = std::chrono::seconds(5);
constexpr auto kSpreadTime = std::chrono::seconds(3);
constexpr auto kAskTime = std::chrono::milliseconds(50);
constexpr auto kPollTime = std::chrono::milliseconds(10);

json::object ParseBody(const std::string& body) {
  boost::system::error_code error;
  json::value value = json::parse(body, error);
  if (error || !value.is_object()) {
    throw JsonFieldError("the body is not a JSON object");
  }
  return std::move(value.get_object());
}

std::optional<configuration::ObjectValue> ReadValue(const json::object& entry,
                                                    const std::string& object) {
  const json::value* value = entry.if_contains("value");
  if (value == nullptr || value->is_null()) {
    return std::nullopt;
  }
  if (!value->is_object()) {
    throw JsonFieldError(object + ": 'value' is not an object");
  }
  return configuration::ReadObjectValue(configuration::ObjectKind(object),
                                        value->get_object());
}

// A key of the operator's choosing or a random id, and the key itself.
struct NewKey {
  Intent intent;
  std::string key;
};

NewKey MakeKey(const OperatorsContext& context, const json::object& wish) {
  const std::string id = wish.contains("id")
                             ? configuration::ReadString(wish, "id")
                             : core::RandomHex(kKeyIdBytes);
  std::string key(kKeyPrefix);
  key += core::RandomHex(kKeyBytes);
  const std::string digest =
      core::HmacSha256Hex(context.services.settings.fleet.key_hash_secret, key);
  return {
      {configuration::KeyObject(id),
       configuration::Key{.account = configuration::ReadString(wish, "account"),
                          .digest = digest}},
      key};
}

json::object ToJson(const PlanEntry& entry) {
  json::object object{{"object", entry.change.object},
                      {"based_on", entry.change.base_revision},
                      {"summary", entry.summary},
                      {"disruption", entry.disruption}};
  if (entry.change.value) {
    object["value"] = configuration::ToJson(*entry.change.value);
  }
  return object;
}

std::vector<Intent> ReadIntents(const json::object& body) {
  std::vector<Intent> intents;
  if (!body.contains("intents")) {
    return intents;
  }
  for (const json::value& item : configuration::ReadArray(body, "intents")) {
    const json::object& entry = item.as_object();
    const std::string object = configuration::ReadString(entry, "object");
    intents.push_back({object, ReadValue(entry, object)});
  }
  return intents;
}

// A withdrawal names the key by its id only; its account and digest stay.
void CompleteWithdrawals(const configuration::State& state,
                         const json::object& body,
                         std::vector<Intent>& intents) {
  if (!body.contains("withdraw_key")) {
    return;
  }
  const std::string id = configuration::ReadString(body, "withdraw_key");
  const auto found = state.objects.find(configuration::KeyObject(id));
  if (found == state.objects.end()) {
    throw JsonFieldError("key '" + id + "' does not exist");
  }
  auto key = std::get<configuration::Key>(found->second.value);
  key.withdrawn = true;
  intents.push_back({configuration::KeyObject(id), key});
}

std::vector<ObjectChange> ReadChanges(const json::object& body) {
  std::vector<ObjectChange> changes;
  for (const json::value& item : configuration::ReadArray(body, "changes")) {
    const json::object& entry = item.as_object();
    const std::string object = configuration::ReadString(entry, "object");
    changes.push_back(
        {.object = object,
         .base_revision = configuration::ReadUnsigned(entry, "based_on"),
         .value = ReadValue(entry, object)});
  }
  if (changes.empty()) {
    throw JsonFieldError("there is nothing to change");
  }
  return changes;
}

// What the changes can interrupt, by the state in force now.
std::vector<std::string> FindDisruptions(
    const configuration::State& state,
    const std::vector<ObjectChange>& changes) {
  std::vector<Intent> intents;
  intents.reserve(changes.size());
  for (const ObjectChange& change : changes) {
    intents.push_back({change.object, change.value});
  }
  const auto planned = configuration::queries::MakePlan(state, intents);
  std::vector<std::string> disruptions;
  const auto* plan = std::get_if<Plan>(&planned);
  if (plan == nullptr) {
    return std::get<PlanError>(planned).problems;
  }
  for (const PlanEntry& entry : plan->entries) {
    if (!entry.disruption.empty()) {
      disruptions.push_back(entry.change.object + ": " + entry.disruption);
    }
  }
  return disruptions;
}

const HistoryEntry* FindCommand(const configuration::State& state,
                                const std::string& command_id) {
  for (auto entry = state.history.rbegin(); entry != state.history.rend();
       ++entry) {
    if ((*entry)->command_id == command_id) {
      return entry->get();
    }
  }
  return nullptr;
}

asio::awaitable<void> Pause(core::Duration time) {
  asio::steady_timer timer(co_await asio::this_coro::executor, time);
  co_await timer.async_wait(asio::use_awaitable);
}

asio::awaitable<bool> WaitForCommand(OperatorsContext& context,
                                     std::string command_id) {
  const core::Instant give_up = Now() + kFoldTime;
  while (Now() < give_up) {
    const auto view = context.services.tables.configuration.view();
    if (FindCommand(view->state(), command_id) != nullptr) {
      co_return true;
    }
    co_await Pause(kPollTime);
  }
  co_return false;
}

asio::awaitable<Spread> WaitForSpread(OperatorsContext& context,
                                      core::Offset offset) {
  const core::Instant give_up = Now() + kSpreadTime;
  Spread spread = MeasureSpread(context, offset);
  while (spread.in_force < spread.daemons && Now() < give_up) {
    context.gossip.AskOffsets(spread.unheard);
    co_await Pause(kAskTime);
    spread = MeasureSpread(context, offset);
  }
  co_return spread;
}

http::Response AnswerAccepted(const HistoryEntry& entry, const Spread& spread) {
  json::array laggards;
  for (const std::string& laggard : spread.laggards) {
    laggards.emplace_back(laggard);
  }
  return http::MakeJson(
      http::Status::ok,
      json::serialize(json::object{{"result", "accepted"},
                                   {"offset", entry.metadata.offset},
                                   {"daemons", spread.daemons},
                                   {"in_force", spread.in_force},
                                   {"laggards", std::move(laggards)}}));
}

http::Response AnswerUnknown(const std::string& command_id,
                             const std::string& detail) {
  return http::MakeJson(http::Status::accepted,
                        json::serialize(json::object{
                            {"result", "unknown"},
                            {"command_id", command_id},
                            {"detail", detail},
                            {"how_to_ask_again",
                             "confirm the same plan again: it carries the "
                             "same command id and is applied once"}}));
}

ChangeRecord ReadConfirmation(const OperatorRequest& request,
                              const json::object& body) {
  ChangeRecord record{
      .command_id = configuration::ReadString(body, "command_id"),
      .operator_name = request.operator_name,
      .reason = configuration::ReadString(body, "reason"),
      .time_ms = WallClockMs(),
      .changes = ReadChanges(body)};
  if (record.command_id.empty() || record.reason.empty()) {
    throw JsonFieldError("'command_id' and 'reason' must not be empty");
  }
  return record;
}

}  // namespace

http::Response MakePlan(OperatorsContext& context,
                        const OperatorRequest& request) {
  const auto view = context.services.tables.configuration.view();
  std::vector<Intent> intents;
  std::string new_key;
  try {
    const json::object body = ParseBody(request.body);
    intents = ReadIntents(body);
    CompleteWithdrawals(view->state(), body, intents);
    if (body.contains("issue_key")) {
      NewKey key =
          MakeKey(context, configuration::ReadObject(body, "issue_key"));
      intents.push_back(std::move(key.intent));
      new_key = std::move(key.key);
    }
    if (body.contains("undo_to")) {
      const auto back = configuration::queries::MakeRollbackIntents(
          view->state(), configuration::ReadUnsigned(body, "undo_to"));
      if (!back) {
        throw JsonFieldError("the history does not reach back that far");
      }
      intents.insert(intents.end(), back->begin(), back->end());
    }
  } catch (const std::exception& problem) {
    return MakeError(http::Status::bad_request, "invalid", {problem.what()});
  }
  const auto planned = configuration::queries::MakePlan(view->state(), intents);
  if (const auto* error = std::get_if<PlanError>(&planned)) {
    return MakeError(http::Status::unprocessable_entity, "invalid",
                     error->problems);
  }
  const Plan& plan = std::get<Plan>(planned);
  json::array entries;
  for (const PlanEntry& entry : plan.entries) {
    entries.push_back(ToJson(entry));
  }
  context.services.events.Write(
      events::Event::kPlanMade,
      {{"operator", request.operator_name},
       {"changes", std::to_string(plan.entries.size())}});
  json::object answer{{"state_offset", plan.state_offset},
                      {"command_id", core::RandomHex(kKeyBytes)},
                      {"changes", std::move(entries)}};
  if (!new_key.empty()) {
    answer["new_key"] = new_key;
  }
  return http::MakeJson(http::Status::ok, json::serialize(answer));
}

asio::awaitable<http::Response> Confirm(OperatorsContext& context,
                                        const OperatorRequest& request) {
  ChangeRecord record;
  bool accepts_disruption = false;
  std::string problem_text;
  try {
    const json::object body = ParseBody(request.body);
    record = ReadConfirmation(request, body);
    accepts_disruption = body.contains("accept_disruption") &&
                         configuration::ReadBool(body, "accept_disruption");
  } catch (const std::exception& problem) {
    problem_text = problem.what();
  }
  if (!problem_text.empty()) {
    co_return MakeError(http::Status::bad_request, "invalid", {problem_text});
  }
  const std::string command_id = record.command_id;
  auto view = context.services.tables.configuration.view();
  if (FindCommand(view->state(), command_id) == nullptr) {
    const auto disruptions = FindDisruptions(view->state(), record.changes);
    if (!disruptions.empty() && !accepts_disruption) {
      co_return MakeError(http::Status::conflict, "disruptive", disruptions);
    }
    const auto appended = co_await context.follower.Append(std::move(record));
    const auto* error = std::get_if<io::log::LogError>(&appended);
    using io::log::LogErrorKind;
    if (error != nullptr && error->kind != LogErrorKind::kUnknown) {
      co_return MakeError(http::Status::service_unavailable, "log-unreachable",
                          {"nothing was changed: " + error->detail});
    }
    const bool was_folded = co_await WaitForCommand(context, command_id);
    if (!was_folded) {
      co_return AnswerUnknown(
          command_id, error != nullptr ? error->detail : "not folded in time");
    }
  }
  view = context.services.tables.configuration.view();
  const HistoryEntry* entry = FindCommand(view->state(), command_id);
  if (!entry->rejection.empty()) {
    co_return MakeError(http::Status::conflict, "rejected", {entry->rejection});
  }
  context.services.events.Write(
      events::Event::kChangeConfirmed,
      {{"operator", request.operator_name},
       {"offset", std::to_string(entry->metadata.offset)},
       {"reason", entry->metadata.reason}});
  const Spread spread = co_await WaitForSpread(context, entry->metadata.offset);
  co_return AnswerAccepted(*entry, spread);
}

}  // namespace lycheewell::daemon::operators::commands
