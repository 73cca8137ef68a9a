#include "lycheewell/daemon/operators/queries/reports.h"

#include <algorithm>
#include <boost/json.hpp>
#include <charconv>

#include "lycheewell/core/configuration/json_codec.h"
#include "lycheewell/core/configuration/queries/plan.h"
#include "lycheewell/core/configuration/queries/shares.h"

namespace lycheewell::daemon::operators::queries {
namespace configuration = core::configuration;
namespace http = io::http;
namespace json = boost::json;

using configuration::HistoryEntry;
using configuration::State;
using core::membership::Health;

namespace {

constexpr std::size_t kDefaultLimit = 20;

std::size_t LimitOf(const OperatorRequest& request) {
  const std::string text = http::QueryValue(request.target.query, "limit");
  std::size_t limit = 0;
  const auto [end, error] =
      std::from_chars(text.data(), text.data() + text.size(), limit);
  return error == std::errc{} && limit > 0 ? limit : kDefaultLimit;
}

std::string_view HealthName(Health health) {
  switch (health) {
    case Health::kAlive:
      return "alive";
    case Health::kDraining:
      return "draining";
    case Health::kSuspected:
      return "suspected";
    case Health::kDead:
      return "dead";
  }
  return "dead";
}

json::array ObjectsOf(const State& state) {
  json::array objects;
  for (const auto& [name, object] : state.objects) {
    objects.push_back(json::object{
        {"object", name},
        {"value", configuration::queries::DescribeValue(object.value)},
        {"changed", configuration::ToJson(object.last_change)}});
  }
  return objects;
}

json::array MembersOf(OperatorsContext& context, const State& state) {
  const auto offsets = context.gossip.Offsets();
  json::array members;
  for (const auto& [id, member] : state.members) {
    const bool is_self = member.daemon == context.services.self;
    const auto heard = offsets.find(member.daemon);
    const Health health =
        context.services.tables.membership.Lock()->HealthOf(member.daemon);
    json::object entry{{"daemon", id},
                       {"data_centre", member.data_centre},
                       {"service", member.service},
                       {"health", HealthName(health)},
                       {"callers_address", member.callers_address},
                       {"operators_address", member.operators_address}};
    if (is_self) {
      entry["offset"] = state.next_offset;
    } else if (heard != offsets.end()) {
      entry["offset"] = heard->second;
    }
    members.push_back(std::move(entry));
  }
  return members;
}

json::array RostersOf(const State& state) {
  json::array rosters;
  for (const auto& [account, roster] : state.rosters) {
    json::object entry = configuration::ToJson(roster);
    entry["account"] = account;
    rosters.push_back(std::move(entry));
  }
  return rosters;
}

json::object TargetOf(const requests::DispatcherStatus& status) {
  json::object target{{"draining", status.draining},
                      {"running", status.running},
                      {"limit", status.limit},
                      {"queued", status.queued},
                      {"admission_level", status.admission_level},
                      {"latency_us", status.latency.count()}};
  if (status.target) {
    target["service"] = status.target->service;
    target["address"] = status.target->address;
  }
  return target;
}

json::object MetricsOf(const metrics::Metrics& metrics) {
  json::object values;
  for (std::size_t index = 0;
       index < static_cast<std::size_t>(metrics::Counter::kCount); ++index) {
    const auto counter = static_cast<metrics::Counter>(index);
    values[metrics::CounterName(counter)] = metrics.ValueOf(counter);
  }
  const metrics::LatencySummary latency = metrics.RequestLatency();
  values["request_p50_seconds"] = latency.p50_seconds;
  values["request_p99_seconds"] = latency.p99_seconds;
  return values;
}

json::object ToJson(const HistoryEntry& entry) {
  json::array changes;
  for (const auto& change : entry.changes) {
    json::object item{{"object", change.object}};
    if (change.before) {
      item["before"] = configuration::queries::DescribeValue(*change.before);
    }
    if (change.after) {
      item["after"] = configuration::queries::DescribeValue(*change.after);
    }
    changes.push_back(std::move(item));
  }
  json::object object = configuration::ToJson(entry.metadata);
  object["command_id"] = entry.command_id;
  object["rejection"] = entry.rejection;
  object["changes"] = std::move(changes);
  return object;
}

std::string NoteText(const configuration::ChangeMetadata& note) {
  return "set by " + note.operator_name + " at offset " +
         std::to_string(note.offset) + ": " + note.reason;
}

// Adds a line on `object` and who set it, or that it is not configured.
void ExplainObject(const State& state, const std::string& object,
                   json::array& lines) {
  const auto found = state.objects.find(object);
  if (found == state.objects.end()) {
    lines.emplace_back(object + " is not configured");
    return;
  }
  lines.emplace_back(
      object + ": " +
      configuration::queries::DescribeValue(found->second.value) + " (" +
      NoteText(found->second.last_change) + ")");
}

void ExplainAccount(OperatorsContext& context, const State& state,
                    const std::string& account, json::array& lines) {
  ExplainObject(state, configuration::AccountObject(account), lines);
  for (const auto& [name, object] : state.objects) {
    const auto* key = std::get_if<configuration::Key>(&object.value);
    if (key != nullptr && key->account == account) {
      ExplainObject(state, name, lines);
    }
  }
  const auto roster = state.rosters.find(account);
  if (roster == state.rosters.end()) {
    lines.emplace_back(
        "its rate has no share roster yet: requests are refused "
        "until one is written");
    return;
  }
  for (const auto& share : roster->second.shares) {
    lines.emplace_back("share of the rate at " + share.holder.id +
                       (share.released ? " (released)" : ""));
  }
  if (roster->second.fenced_holder) {
    lines.emplace_back("the shares of " + roster->second.fenced_holder->id +
                       " are being taken back: it is not heard from");
  }
  auto limiters = context.services.tables.limiters.Lock();
  const auto entry = limiters->by_account.find(account);
  if (entry == limiters->by_account.end()) {
    return;
  }
  const bool valid = core::rate::LeaseIsValid(entry->second.limiter.roster(),
                                              context.services.self,
                                              limiters->heartbeats, Now());
  const bool holds = configuration::queries::HoldsShare(
      entry->second.limiter.roster(), context.services.self);
  lines.emplace_back(
      !holds  ? "this daemon holds no share and borrows tokens"
      : valid ? "this daemon uses its share"
              : "this daemon must not use its share now: it has heard neither "
                "from the log nor from most holders lately");
}

void ExplainTarget(OperatorsContext& context, const State& state,
                   const std::string& target, json::array& lines) {
  const auto member = state.members.find(target);
  if (member == state.members.end()) {
    lines.emplace_back("no daemon " + target + " has announced itself");
  } else {
    const Health health = context.services.tables.membership.Lock()->HealthOf(
        member->second.daemon);
    lines.emplace_back(target + " in " + member->second.data_centre +
                       " serves '" + member->second.service + "' and is " +
                       std::string(HealthName(health)));
  }
  const std::string object = configuration::TargetObject(target);
  if (state.objects.contains(object)) {
    ExplainObject(state, object, lines);
  }
}

void ExplainRequest(const configuration::queries::View& view,
                    const std::string& method, const std::string& path,
                    json::array& lines) {
  const std::size_t end = path.find('/', 1);
  const std::string service = path.substr(1, end - 1);
  const std::string within = end == std::string::npos ? "/" : path.substr(end);
  const auto route = view.FindRoute(service, method, within);
  const std::string object = configuration::RouteObject(route);
  if (view.state().objects.contains(object)) {
    ExplainObject(view.state(), object, lines);
  } else {
    lines.emplace_back("no route is configured; by default: " +
                       configuration::queries::DescribeValue(route));
  }
  const auto& members = view.MembersOf(service);
  lines.emplace_back(std::to_string(members.size()) +
                     " targets announce the service '" + service + "'");
  if (!route.idempotent) {
    lines.emplace_back(
        "it runs at most once for each Idempotency-Key; without one it is "
        "never sent again after it was handed to a target");
  }
}

}  // namespace

http::Response ReportStatus(OperatorsContext& context) {
  const auto view = context.services.tables.configuration.view();
  const State& state = view->state();
  const core::Offset newest =
      state.next_offset == 0 ? 0 : state.next_offset - 1;
  const Spread spread = MeasureSpread(context, newest);
  json::array laggards;
  for (const std::string& laggard : spread.laggards) {
    laggards.emplace_back(laggard);
  }
  json::object status{{"daemon", context.services.self.id},
                      {"data_centre", context.services.settings.data_centre},
                      {"ready", context.follower.IsReady()},
                      {"log_reachable", context.follower.IsLogReachable()},
                      {"offset", state.next_offset},
                      {"daemons", spread.daemons},
                      {"in_force", spread.in_force},
                      {"laggards", std::move(laggards)},
                      {"objects", ObjectsOf(state)},
                      {"members", MembersOf(context, state)},
                      {"rosters", RostersOf(state)},
                      {"target", TargetOf(context.dispatcher.Status())},
                      {"metrics", MetricsOf(context.services.metrics)}};
  return http::MakeJson(http::Status::ok, json::serialize(status));
}

http::Response ReportHistory(OperatorsContext& context,
                             const OperatorRequest& request) {
  const auto view = context.services.tables.configuration.view();
  const auto& history = view->state().history;
  const std::size_t count = std::min(LimitOf(request), history.size());
  json::array entries;
  for (std::size_t index = history.size() - count; index < history.size();
       ++index) {
    entries.push_back(ToJson(*history[index]));
  }
  return http::MakeJson(
      http::Status::ok,
      json::serialize(json::object{{"history", std::move(entries)}}));
}

http::Response ReportEvents(OperatorsContext& context,
                            const OperatorRequest& request) {
  json::array entries;
  for (const events::LoggedEvent& logged :
       context.services.events.Recent(LimitOf(request))) {
    const events::CatalogueEntry& entry = events::FindEntry(logged.event);
    entries.push_back(json::object{{"number", static_cast<int>(entry.event)},
                                   {"name", entry.name},
                                   {"level", events::LevelName(entry.level)},
                                   {"time_ms", logged.time_ms},
                                   {"text", logged.text}});
  }
  return http::MakeJson(
      http::Status::ok,
      json::serialize(json::object{{"events", std::move(entries)}}));
}

http::Response Explain(OperatorsContext& context,
                       const OperatorRequest& request) {
  const auto view = context.services.tables.configuration.view();
  const std::string& query = request.target.query;
  const std::string account = http::QueryValue(query, "account");
  const std::string target = http::QueryValue(query, "target");
  const std::string key = http::QueryValue(query, "key");
  const std::string path = http::QueryValue(query, "path");
  json::array lines;
  if (!account.empty()) {
    ExplainAccount(context, view->state(), account, lines);
  } else if (!target.empty()) {
    ExplainTarget(context, view->state(), target, lines);
  } else if (!key.empty()) {
    ExplainObject(view->state(), configuration::KeyObject(key), lines);
  } else if (path.size() > 1 && path.front() == '/') {
    ExplainRequest(*view, http::QueryValue(query, "method"), path, lines);
  } else {
    return MakeError(http::Status::bad_request, "invalid",
                     {"name an account, a target, a key or a path"});
  }
  return http::MakeJson(
      http::Status::ok,
      json::serialize(json::object{{"lines", std::move(lines)}}));
}

}  // namespace lycheewell::daemon::operators::queries
