#include "lycheewell/client/command_line.h"

#include <tclap/CmdLine.h>

#include <cstdlib>
#include <functional>
#include <iostream>
#include <map>
#include <optional>

#include "lycheewell/client/commands/change.h"
#include "lycheewell/client/queries/show.h"
#include "lycheewell/core/configuration/record.h"
#include "lycheewell/io/http/message.h"

namespace lycheewell::client {
namespace json = boost::json;

namespace {

using Arguments = std::vector<std::string>;
using core::configuration::Route;

constexpr const char* kVersion = "0.1.0";
constexpr const char* kDefaultPlanPath = "lycheewell-plan.json";
constexpr int kDefaultLimit = 20;

constexpr const char* kHelp =
    R"(lycheewell: states an intent, shows its plan, confirms it.

Plans (change nothing):
  lycheewell plan account NAME --rate 50 --burst 10   set a client account's rate
  lycheewell plan remove-account NAME
  lycheewell plan issue-key ACCOUNT [--id ID]         make a key; shown once
  lycheewell plan withdraw-key ID
  lycheewell plan route SERVICE --method GET --path /trials
                        --importance high --idempotent --open
  lycheewell plan retire-target DAEMON [--gone]       no new work for a target
  lycheewell plan return-target DAEMON                takes a retirement back
  lycheewell plan evacuate DATA-CENTRE                no new work for its targets
  lycheewell plan end-evacuation DATA-CENTRE
  lycheewell undo --to OFFSET                         plan the way back

Confirm:
  lycheewell confirm --reason "spring trials" [--accept-disruption]

Look:
  lycheewell status                                   what is in force, and why
  lycheewell history --limit 20                       who changed what
  lycheewell events --limit 20                        what the daemon noticed
  lycheewell explain --account NAME | --key ID | --target DAEMON
                     | --method GET --path /calendar/trials

Everywhere: --daemon HOST:PORT (or LYCHEEWELL_DAEMON), --token TOKEN (or
LYCHEEWELL_TOKEN), --json, --help. Plans are kept in lycheewell-plan.json;
--plan FILE names another file.

Exit codes: 0 done, 1 failed, 2 usage, 3 rejected by a newer change,
4 needs --accept-disruption, 5 unknown (confirm again), 6 accepted but not yet
in force everywhere.
)";

std::string EnvironmentOr(const char* name, const std::string& fallback) {
  const char* value = std::getenv(name);
  return value == nullptr ? fallback : value;
}

// Options that every command has.
class CommonOptions {
 public:
  explicit CommonOptions(TCLAP::CmdLine& command)
      : daemon("", "daemon", "a daemon's operators' port", false,
               EnvironmentOr("LYCHEEWELL_DAEMON", "127.0.0.1:7301"),
               "host:port", command),
        token("", "token", "the operator's token", false,
              EnvironmentOr("LYCHEEWELL_TOKEN", ""), "token", command),
        as_json("", "json", "print JSON for programs", command) {}

  Session MakeSession() {
    return {.address = this->daemon.getValue(),
            .token = this->token.getValue(),
            .as_json = this->as_json.getValue()};
  }

 private:
  TCLAP::ValueArg<std::string> daemon;
  TCLAP::ValueArg<std::string> token;
  TCLAP::SwitchArg as_json;
};

// One command with its own options.
class Command {
 public:
  explicit Command(const std::string& description)
      : line(description, ' ', kVersion), common(this->line) {
    this->line.setExceptionHandling(false);
  }

  TCLAP::CmdLine& parser() { return this->line; }

  Session Parse(Arguments arguments) {
    this->line.parse(arguments);
    return this->common.MakeSession();
  }

 private:
  TCLAP::CmdLine line;
  CommonOptions common;
};

using StringOption = TCLAP::ValueArg<std::string>;
using StringOperand = TCLAP::UnlabeledValueArg<std::string>;

json::object OneIntent(const std::string& object,
                       std::optional<json::object> value) {
  json::object intent{{"object", object}};
  if (value) {
    intent["value"] = std::move(*value);
  } else {
    intent["value"] = nullptr;
  }
  return {{"intents", json::array{std::move(intent)}}};
}

// A plan command: one operand, and the file that keeps the plan.
class PlanCommand {
 public:
  PlanCommand(const std::string& description, const std::string& operand_name)
      : command(description),
        operand(operand_name, operand_name, true, "", operand_name,
                this->command.parser()),
        plan_path("", "plan", "the file that keeps the plan", false,
                  kDefaultPlanPath, "file", this->command.parser()) {}

  TCLAP::CmdLine& parser() { return this->command.parser(); }
  const std::string& name() { return this->operand.getValue(); }

  void Parse(const Arguments& arguments) {
    this->session = this->command.Parse(arguments);
  }

  ExitCode Plan(const json::object& body) {
    return commands::MakePlan(this->session, body, this->plan_path.getValue());
  }

 private:
  Command command;
  StringOperand operand;
  StringOption plan_path;
  Session session;
};

ExitCode PlanAccount(const Arguments& arguments) {
  PlanCommand plan("sets a client account's rate and burst", "account");
  TCLAP::ValueArg<double> rate("", "rate", "requests a second", true, 0,
                               "number", plan.parser());
  TCLAP::ValueArg<double> burst("", "burst", "requests at once", true, 0,
                                "number", plan.parser());
  plan.Parse(arguments);
  return plan.Plan(OneIntent(
      core::configuration::AccountObject(plan.name()),
      json::object{{"rate", rate.getValue()}, {"burst", burst.getValue()}}));
}

ExitCode PlanRemoveAccount(const Arguments& arguments) {
  PlanCommand plan("removes a client account", "account");
  plan.Parse(arguments);
  return plan.Plan(
      OneIntent(core::configuration::AccountObject(plan.name()), std::nullopt));
}

ExitCode PlanIssueKey(const Arguments& arguments) {
  PlanCommand plan("issues a key for a client account", "account");
  StringOption id("", "id", "the key's id", false, "", "id", plan.parser());
  plan.Parse(arguments);
  json::object wish{{"account", plan.name()}};
  if (id.isSet()) {
    wish["id"] = id.getValue();
  }
  return plan.Plan({{"issue_key", std::move(wish)}});
}

ExitCode PlanWithdrawKey(const Arguments& arguments) {
  PlanCommand plan("withdraws a key", "id");
  plan.Parse(arguments);
  return plan.Plan({{"withdraw_key", plan.name()}});
}

ExitCode PlanRoute(const Arguments& arguments) {
  PlanCommand plan("sets how requests of a route are treated", "service");
  StringOption method("", "method", "one method; without it, all", false, "",
                      "method", plan.parser());
  StringOption path("", "path", "path prefix within the service", false, "/",
                    "path", plan.parser());
  StringOption importance("", "importance", "low, normal, high or critical",
                          false, "normal", "level", plan.parser());
  TCLAP::SwitchArg idempotent("", "idempotent", "safe to run again",
                              plan.parser());
  TCLAP::SwitchArg open("", "open", "needs no key", plan.parser());
  plan.Parse(arguments);
  const Route route{.service = plan.name(),
                    .method = method.getValue(),
                    .path_prefix = path.getValue()};
  return plan.Plan(OneIntent(core::configuration::RouteObject(route),
                             json::object{{"service", route.service},
                                          {"method", route.method},
                                          {"path_prefix", route.path_prefix},
                                          {"importance", importance.getValue()},
                                          {"idempotent", idempotent.getValue()},
                                          {"open", open.getValue()}}));
}

ExitCode PlanRetireTarget(const Arguments& arguments) {
  PlanCommand plan("retires the target beside a daemon", "target");
  TCLAP::SwitchArg gone("", "gone", "the daemon runs no more", plan.parser());
  plan.Parse(arguments);
  return plan.Plan(OneIntent(core::configuration::TargetObject(plan.name()),
                             json::object{{"gone", gone.getValue()}}));
}

ExitCode PlanReturnTarget(const Arguments& arguments) {
  PlanCommand plan("takes a retirement back", "target");
  plan.Parse(arguments);
  return plan.Plan(
      OneIntent(core::configuration::TargetObject(plan.name()), std::nullopt));
}

ExitCode PlanEvacuate(const Arguments& arguments) {
  PlanCommand plan("keeps new work from a data centre", "data-centre");
  plan.Parse(arguments);
  return plan.Plan(OneIntent(core::configuration::EvacuationObject(plan.name()),
                             json::object{}));
}

ExitCode PlanEndEvacuation(const Arguments& arguments) {
  PlanCommand plan("takes an evacuation back", "data-centre");
  plan.Parse(arguments);
  return plan.Plan(OneIntent(core::configuration::EvacuationObject(plan.name()),
                             std::nullopt));
}

ExitCode Undo(const Arguments& arguments) {
  Command command("plans the way back to an earlier state");
  TCLAP::ValueArg<std::uint64_t> to(
      "", "to", "undo every change at this offset and after it", true, 0,
      "offset", command.parser());
  StringOption plan_path("", "plan", "the file that keeps the plan", false,
                         kDefaultPlanPath, "file", command.parser());
  const Session session = command.Parse(arguments);
  return commands::MakePlan(session, {{"undo_to", to.getValue()}},
                            plan_path.getValue());
}

ExitCode Confirm(const Arguments& arguments) {
  Command command("confirms a plan");
  StringOption plan_path("", "plan", "the file that keeps the plan", false,
                         kDefaultPlanPath, "file", command.parser());
  StringOption reason("", "reason", "why, for those who come after you", true,
                      "", "text", command.parser());
  TCLAP::SwitchArg accept("", "accept-disruption", "traffic may be interrupted",
                          command.parser());
  const Session session = command.Parse(arguments);
  return commands::Confirm(session, {.plan_path = plan_path.getValue(),
                                     .reason = reason.getValue(),
                                     .accept_disruption = accept.getValue()});
}

ExitCode Status(const Arguments& arguments) {
  Command command("shows what is in force, and why");
  return queries::ShowStatus(command.Parse(arguments));
}

ExitCode History(const Arguments& arguments) {
  Command command("shows who changed what");
  TCLAP::ValueArg<int> limit("", "limit", "entries", false, kDefaultLimit,
                             "number", command.parser());
  const Session session = command.Parse(arguments);
  return queries::ShowHistory(session, limit.getValue());
}

ExitCode Events(const Arguments& arguments) {
  Command command("shows what the daemon noticed");
  TCLAP::ValueArg<int> limit("", "limit", "entries", false, kDefaultLimit,
                             "number", command.parser());
  const Session session = command.Parse(arguments);
  return queries::ShowEvents(session, limit.getValue());
}

ExitCode Explain(const Arguments& arguments) {
  Command command("explains why something is treated as it is");
  StringOption account("", "account", "a client account", false, "", "name",
                       command.parser());
  StringOption key("", "key", "a key's id", false, "", "id", command.parser());
  StringOption target("", "target", "a daemon", false, "", "daemon",
                      command.parser());
  StringOption method("", "method", "a request's method", false, "GET",
                      "method", command.parser());
  StringOption path("", "path", "a request's path", false, "", "path",
                    command.parser());
  const Session session = command.Parse(arguments);
  using io::http::EncodeQueryValue;
  if (account.isSet()) {
    return queries::ShowExplanation(
        session, "account=" + EncodeQueryValue(account.getValue()));
  }
  if (key.isSet()) {
    return queries::ShowExplanation(session,
                                    "key=" + EncodeQueryValue(key.getValue()));
  }
  if (target.isSet()) {
    return queries::ShowExplanation(
        session, "target=" + EncodeQueryValue(target.getValue()));
  }
  return queries::ShowExplanation(
      session, "method=" + EncodeQueryValue(method.getValue()) +
                   "&path=" + EncodeQueryValue(path.getValue()));
}

using CommandFunction = std::function<ExitCode(const Arguments&)>;

const std::map<std::string, CommandFunction>& Commands() {
  static const std::map<std::string, CommandFunction> kCommands = {
      {"plan account", PlanAccount},
      {"plan remove-account", PlanRemoveAccount},
      {"plan issue-key", PlanIssueKey},
      {"plan withdraw-key", PlanWithdrawKey},
      {"plan route", PlanRoute},
      {"plan retire-target", PlanRetireTarget},
      {"plan return-target", PlanReturnTarget},
      {"plan evacuate", PlanEvacuate},
      {"plan end-evacuation", PlanEndEvacuation},
      {"undo", Undo},
      {"confirm", Confirm},
      {"status", Status},
      {"history", History},
      {"events", Events},
      {"explain", Explain}};
  return kCommands;
}

}  // namespace

ExitCode RunCommandLine(Arguments arguments) {
  const bool wants_help = arguments.size() < 2 || arguments[1] == "--help" ||
                          arguments[1] == "-h" || arguments[1] == "help";
  if (wants_help) {
    std::cout << kHelp;
    return arguments.size() < 2 ? ExitCode::kUsage : ExitCode::kOk;
  }
  std::size_t words = 1;
  std::string name = arguments[1];
  if (name == "plan" && arguments.size() > 2) {
    name += " " + arguments[2];
    words = 2;
  }
  const auto found = Commands().find(name);
  if (found == Commands().end()) {
    std::cerr << "lycheewell: there is no command '" << name
              << "'; see lycheewell --help\n";
    return ExitCode::kUsage;
  }
  Arguments rest = {"lycheewell " + name};
  rest.insert(rest.end(),
              arguments.begin() + static_cast<std::ptrdiff_t>(words) + 1,
              arguments.end());
  try {
    return found->second(rest);
  } catch (const TCLAP::ArgException& problem) {
    std::cerr << "lycheewell " << name << ": " << problem.error() << " "
              << problem.argId() << "\n";
    return ExitCode::kUsage;
  } catch (const TCLAP::ExitException& exit) {
    return exit.getExitStatus() == 0 ? ExitCode::kOk : ExitCode::kUsage;
  }
}

}  // namespace lycheewell::client
