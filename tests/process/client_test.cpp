// The operators' client, command by command, and its exit codes.
#include <catch2/catch.hpp>

#include "harness/fleet.h"

namespace {

using namespace lycheewell::harness;  // NOLINT

bool Contains(const CommandResult& result, const std::string& text) {
  return result.output.find(text) != std::string::npos;
}

TEST_CASE("the client leads from an intent to a change", "[process][client]") {
  Fleet fleet;
  Node& node = fleet.Add({"one", "calendar", 4});
  REQUIRE(fleet.WaitUntilSettled());
  const std::string plan = fleet.directory() + "/plan.json";
  const auto run = [&](std::vector<std::string> arguments) {
    return fleet.Client(node, std::move(arguments));
  };
  const auto change = [&](std::vector<std::string> arguments) {
    fleet.Change(node, std::move(arguments));
  };
  const std::string key = fleet.AddAccount(node, "club", 50, 10);

  SECTION("every plan command makes a plan that can be confirmed") {
    change(
        {"plan", "route", "calendar", "--path", "/x", "--importance", "high"});
    change({"plan", "withdraw-key", "club-key"});
    change({"plan", "remove-account", "club"});
    change({"plan", "retire-target", node.peers_address});
    change({"plan", "return-target", node.peers_address});
    change({"plan", "evacuate", "one"});
    change({"plan", "end-evacuation", "one"});
    change({"undo", "--to", "3"});
    const CommandResult history = run({"history"});
    CHECK(Contains(history, "asha"));
    CHECK(Contains(history, "retired"));
    CHECK(Contains(history, "evacuated"));
  }
  SECTION("a plan alone changes nothing, and is empty when all is as wished") {
    run({"plan", "account", "club", "--rate", "60", "--burst", "10", "--plan",
         plan});
    CHECK(Contains(run({"explain", "--account", "club"}), "rate 50/s"));
    const CommandResult same = run({"plan", "account", "club", "--rate", "50",
                                    "--burst", "10", "--plan", plan});
    CHECK(Contains(same, "0 change(s)"));
  }
  SECTION("queries name what is in force, who set it and why") {
    const CommandResult status = run({"status"});
    CHECK(status.exit_code == 0);
    CHECK(Contains(status, "account/club: rate 50/s, burst 10"));
    CHECK(Contains(status, "by asha"));
    CHECK(Contains(run({"status", "--json"}), "\"in_force\":1"));
    CHECK(Contains(run({"events"}), "LW1001"));
    CHECK(Contains(run({"explain", "--key", "club-key"}), "in use"));
    CHECK(
        Contains(run({"explain", "--target", node.peers_address}), "calendar"));
    CHECK(Contains(run({"explain", "--path", "/calendar/x"}), "idempotent"));
    CHECK_FALSE(Contains(run({"status"}), key));
  }
  SECTION("what is wrong is told, with a stable exit code") {
    CHECK(run({"nonsense"}).exit_code == 2);
    CHECK(run({"plan", "account", "club"}).exit_code == 2);
    CHECK(run({"confirm", "--plan", "/nowhere", "--reason", "x"}).exit_code ==
          2);
    CHECK(run({"plan", "account", "club", "--rate", "-1", "--burst", "1",
               "--plan", plan})
              .exit_code == 1);
    CHECK(Contains(run({"plan", "issue-key", "nobody", "--plan", plan}),
                   "does not exist"));
    CHECK(RunCommand({Program("lycheewell"), "--help"}).exit_code == 0);
    CHECK(RunCommand({Program("lycheewell"), "status", "--daemon",
                      node.operators_address, "--token", "wrong"})
              .exit_code == 1);
    CHECK(
        RunCommand({Program("lycheewell"), "status", "--daemon", "127.0.0.1:1"})
            .exit_code == 1);
  }
}

TEST_CASE("a daemon tells what is wrong with its settings",
          "[process][client]") {
  const CommandResult missing = RunCommand(
      {Program("lycheewelld"), "--check-settings", "--settings", "/nowhere"});
  CHECK(missing.exit_code == 2);
  Fleet fleet;
  const Node& node = fleet.Add({"one", "", 0});
  const CommandResult valid =
      RunCommand({Program("lycheewelld"), "--check-settings", "--settings",
                  node.settings_path});
  CHECK(valid.exit_code == 0);
}

TEST_CASE("a daemon that starts while the log is down waits and serves nothing",
          "[process][client]") {
  Fleet fleet;
  fleet.ControlLog(R"({"down": true})");
  Node& node = fleet.Add({"one", "", 0});
  REQUIRE(WaitUntil([&] {
    return fleet.DaemonLog(node).find("LW3001") != std::string::npos;
  }));
  const CallerAnswer refused =
      CallOnce(node.callers_address, {.target = "/x/y"});
  CHECK(refused.status == 503);
  CHECK(refused.outcome == "not-run");
  fleet.ControlLog(R"({"down": false})");
  CHECK(WaitUntil([&] {
    return CallOnce(node.callers_address, {.target = "/x/y"}).status == 401;
  }));
}

}  // namespace
