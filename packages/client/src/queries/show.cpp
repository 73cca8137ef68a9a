#include "lycheewell/client/queries/show.h"

#include <functional>
#include <iostream>

namespace lycheewell::client::queries {
namespace json = boost::json;

namespace {

constexpr int kOk = 200;

using Printer = std::function<void(const json::object&)>;

// Fetches `target` and prints it as JSON or by `print`.
ExitCode Show(const Session& session, const std::string& target,
              const Printer& print) {
  const auto result = Call(session, "GET", target, "");
  if (const auto* error = std::get_if<CallError>(&result)) {
    return ReportCallError(session, *error);
  }
  const auto& answer = std::get<Answer>(result);
  if (answer.status != kOk) {
    return ReportProblems(answer);
  }
  if (session.as_json) {
    std::cout << json::serialize(answer.body) << "\n";
  } else {
    print(answer.body);
  }
  return ExitCode::kOk;
}

std::string DescribeNote(const json::object& note) {
  return FieldText(note, "operator") + ", " +
         FormatTime(note.at("time_ms").to_number<std::int64_t>()) +
         ", offset " + FieldText(note, "offset") + ": " +
         FieldText(note, "reason");
}

void PrintObjects(const json::object& status) {
  std::cout << "\nIn force, and why\n";
  for (const json::value& item : status.at("objects").as_array()) {
    const json::object& object = item.as_object();
    std::cout << "  " << FieldText(object, "object") << ": "
              << FieldText(object, "value") << "\n      by "
              << DescribeNote(object.at("changed").as_object()) << "\n";
  }
}

void PrintMembers(const json::object& status) {
  std::cout << "\nDaemons\n";
  for (const json::value& item : status.at("members").as_array()) {
    const json::object& member = item.as_object();
    const std::string service = FieldText(member, "service");
    std::cout << "  " << FieldText(member, "daemon") << "  "
              << FieldText(member, "data_centre") << "  "
              << (service.empty() ? "(no target)" : service) << "  "
              << FieldText(member, "health") << "  offset "
              << FieldText(member, "offset") << "\n";
  }
}

void PrintTarget(const json::object& status) {
  const json::object& target = status.at("target").as_object();
  std::cout << "\nTarget beside this daemon: ";
  if (!target.contains("service")) {
    std::cout << "none has announced itself\n";
    return;
  }
  std::cout << FieldText(target, "service") << " at "
            << FieldText(target, "address") << ", running "
            << FieldText(target, "running") << " of "
            << FieldText(target, "limit") << ", queued "
            << FieldText(target, "queued") << ", admission level "
            << FieldText(target, "admission_level") << ", latency "
            << FieldText(target, "latency_us") << " us"
            << (FieldText(target, "draining") == "true" ? ", draining" : "")
            << "\n";
}

void PrintMetrics(const json::object& status) {
  const json::object& metrics = status.at("metrics").as_object();
  std::cout << "\nThis daemon since its start\n  requests "
            << FieldText(metrics, "requests_total") << ", ran "
            << FieldText(metrics, "answers_ran_total") << ", not run "
            << FieldText(metrics, "answers_not_run_total") << ", may have run "
            << FieldText(metrics, "answers_may_have_run_total")
            << "\n  refused: key " << FieldText(metrics, "refused_key_total")
            << ", rate " << FieldText(metrics, "refused_rate_total")
            << ", shed " << FieldText(metrics, "refused_shed_total")
            << ", quarantine " << FieldText(metrics, "refused_quarantine_total")
            << "\n  retries " << FieldText(metrics, "retries_total") << ", p50 "
            << FieldText(metrics, "request_p50_seconds") << " s, p99 "
            << FieldText(metrics, "request_p99_seconds") << " s\n";
}

void PrintStatus(const json::object& status) {
  std::cout << "daemon " << FieldText(status, "daemon") << " in "
            << FieldText(status, "data_centre") << ": "
            << (FieldText(status, "ready") == "true" ? "ready"
                                                     : "not ready yet")
            << ", log "
            << (FieldText(status, "log_reachable") == "true" ? "reachable"
                                                             : "UNREACHABLE")
            << "\nconfiguration up to offset " << FieldText(status, "offset")
            << ", in force at " << FieldText(status, "in_force") << " of "
            << FieldText(status, "daemons") << " daemons\n";
  for (const json::value& laggard : status.at("laggards").as_array()) {
    std::cout << "  behind: " << laggard.as_string().c_str() << "\n";
  }
  PrintObjects(status);
  PrintMembers(status);
  PrintTarget(status);
  PrintMetrics(status);
}

void PrintHistory(const json::object& body) {
  for (const json::value& item : body.at("history").as_array()) {
    const json::object& entry = item.as_object();
    const std::string rejection = FieldText(entry, "rejection");
    std::cout << (rejection.empty() ? "accepted  " : "REJECTED  ")
              << DescribeNote(entry) << "\n";
    if (!rejection.empty()) {
      std::cout << "      " << rejection << "\n";
    }
    for (const json::value& change_item : entry.at("changes").as_array()) {
      const json::object& change = change_item.as_object();
      const std::string before = FieldText(change, "before");
      const std::string after = FieldText(change, "after");
      std::cout << "      " << FieldText(change, "object") << ": "
                << (before.empty() ? "(absent)" : before) << " -> "
                << (after.empty() ? "(removed)" : after) << "\n";
    }
  }
}

void PrintEvents(const json::object& body) {
  for (const json::value& item : body.at("events").as_array()) {
    const json::object& event = item.as_object();
    std::cout << FormatTime(event.at("time_ms").to_number<std::int64_t>())
              << "  LW" << FieldText(event, "number") << "  "
              << FieldText(event, "level") << "  " << FieldText(event, "name")
              << "  " << FieldText(event, "text") << "\n";
  }
}

void PrintLines(const json::object& body) {
  for (const json::value& line : body.at("lines").as_array()) {
    std::cout << line.as_string().c_str() << "\n";
  }
}

}  // namespace

ExitCode ShowStatus(const Session& session) {
  return Show(session, "/v1/status", PrintStatus);
}

ExitCode ShowHistory(const Session& session, int limit) {
  return Show(session, "/v1/history?limit=" + std::to_string(limit),
              PrintHistory);
}

ExitCode ShowEvents(const Session& session, int limit) {
  return Show(session, "/v1/events?limit=" + std::to_string(limit),
              PrintEvents);
}

ExitCode ShowExplanation(const Session& session, const std::string& query) {
  return Show(session, "/v1/explain?" + query, PrintLines);
}

}  // namespace lycheewell::client::queries
