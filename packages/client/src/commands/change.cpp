#include "lycheewell/client/commands/change.h"

#include <fstream>
#include <iostream>
#include <sstream>

namespace lycheewell::client::commands {
namespace json = boost::json;

namespace {

constexpr int kOk = 200;
constexpr int kAccepted = 202;

void PrintPlan(const json::object& plan, const std::string& plan_path) {
  const json::array& changes = plan.at("changes").as_array();
  std::size_t disruptive = 0;
  for (const json::value& item : changes) {
    const json::object& change = item.as_object();
    const std::string disruption = FieldText(change, "disruption");
    std::cout << (disruption.empty() ? "  " : "! ")
              << FieldText(change, "summary") << "\n";
    if (!disruption.empty()) {
      ++disruptive;
      std::cout << "      " << disruption << "\n";
    }
  }
  std::cout << "\n"
            << changes.size() << " change(s), planned on offset "
            << FieldText(plan, "state_offset") << ". Nothing is changed yet.\n";
  if (plan.contains("new_key")) {
    std::cout << "The new key, shown only now: " << FieldText(plan, "new_key")
              << "\n";
  }
  std::cout << "Confirm with: lycheewell confirm --plan " << plan_path
            << " --reason \"...\""
            << (disruptive > 0 ? " --accept-disruption" : "") << "\n";
  if (disruptive > 0) {
    std::cout << "Lines marked ! can interrupt traffic.\n";
  }
}

// The key itself is never written to the plan file.
bool WritePlan(json::object plan, const std::string& plan_path) {
  plan.erase("new_key");
  std::ofstream file(plan_path);
  file << json::serialize(plan) << "\n";
  return static_cast<bool>(file);
}

std::variant<json::object, CallError> ReadPlan(const std::string& plan_path) {
  std::ifstream file(plan_path);
  std::ostringstream text;
  text << file.rdbuf();
  boost::system::error_code error;
  json::value value = json::parse(text.str(), error);
  const bool is_plan = !error && value.is_object() &&
                       value.get_object().contains("changes") &&
                       value.get_object().contains("command_id");
  if (!file || !is_plan) {
    return CallError{"'" + plan_path + "' is not a plan"};
  }
  return std::move(value.get_object());
}

ExitCode PrintAccepted(const json::object& body) {
  std::cout << "accepted at offset " << FieldText(body, "offset")
            << ", in force at " << FieldText(body, "in_force") << " of "
            << FieldText(body, "daemons") << " daemons\n";
  const json::array& laggards = body.at("laggards").as_array();
  for (const json::value& laggard : laggards) {
    std::cout << "  not yet at " << laggard.as_string().c_str() << "\n";
  }
  return laggards.empty() ? ExitCode::kOk : ExitCode::kNotEverywhere;
}

}  // namespace

ExitCode MakePlan(const Session& session, const json::object& body,
                  const std::string& plan_path) {
  const auto result = Call(session, "POST", "/v1/plan", json::serialize(body));
  if (const auto* error = std::get_if<CallError>(&result)) {
    return ReportCallError(session, *error);
  }
  const auto& answer = std::get<Answer>(result);
  if (answer.status != kOk) {
    return ReportProblems(answer);
  }
  if (!WritePlan(answer.body, plan_path)) {
    std::cerr << "cannot write '" << plan_path << "'\n";
    return ExitCode::kUsage;
  }
  if (session.as_json) {
    std::cout << json::serialize(answer.body) << "\n";
  } else {
    PrintPlan(answer.body, plan_path);
  }
  return ExitCode::kOk;
}

ExitCode Confirm(const Session& session, const Confirmation& confirmation) {
  auto plan = ReadPlan(confirmation.plan_path);
  if (const auto* error = std::get_if<CallError>(&plan)) {
    std::cerr << error->detail << "\n";
    return ExitCode::kUsage;
  }
  auto& contents = std::get<json::object>(plan);
  if (contents.at("changes").as_array().empty()) {
    std::cout << "the plan has no changes: everything is as wished\n";
    return ExitCode::kOk;
  }
  const json::object body{{"command_id", contents.at("command_id")},
                          {"reason", confirmation.reason},
                          {"accept_disruption", confirmation.accept_disruption},
                          {"changes", contents.at("changes")}};
  const auto result =
      Call(session, "POST", "/v1/confirm", json::serialize(body));
  if (const auto* error = std::get_if<CallError>(&result)) {
    ReportCallError(session, *error);
    std::cerr << "The change may be in force. Confirm the same plan again: it "
                 "is applied once.\n";
    return ExitCode::kUnknown;
  }
  const auto& answer = std::get<Answer>(result);
  if (answer.status != kOk && answer.status != kAccepted) {
    return ReportProblems(answer);
  }
  if (session.as_json) {
    std::cout << json::serialize(answer.body) << "\n";
  }
  if (answer.status == kAccepted) {
    std::cerr << "unknown: " << FieldText(answer.body, "how_to_ask_again")
              << "\n";
    return ExitCode::kUnknown;
  }
  if (session.as_json) {
    return answer.body.at("laggards").as_array().empty()
               ? ExitCode::kOk
               : ExitCode::kNotEverywhere;
  }
  return PrintAccepted(answer.body);
}

}  // namespace lycheewell::client::commands
