// The operators' client, command by command, and its exit codes.
#include <catch2/catch.hpp>

#include "harness/fleet.h"
#include "harness/raw_target.h"

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

// Guards against an operator who is shown a broken answer as the fleet's state.
TEST_CASE("the client shows no broken answer", "[process][client]") {
  constexpr int kPort = 21'390;
  RawTarget daemon(kPort, "/");
  const std::string body = R"({"members":[],"in_force":1})";
  const std::string length =
      "Content-Length: " + std::to_string(body.size()) + "\r\n";
  const auto ask = [&](const std::string& bytes, AnswerEnd end) {
    daemon.SetAnswer({.bytes = bytes, .end = end});
    return RunCommand({Program("lycheewell"), "status", "--json", "--daemon",
                       "127.0.0.1:" + std::to_string(kPort), "--token", "x"});
  };

  SECTION("one without a status, with a malformed name, or cut") {
    for (const std::string& head :
         {"HTTP/1.1 000 Trouble\r\n" + length,
          "HTTP/1.1 200 OK\r\nX Line: 1\r\n" + length,
          "HTTP/1.1 200 OK\r\nX-Line: 1\r\n X-Line: 2\r\n" + length,
          "HTTP/1.1 200 OK\r\nX\x01Line: 1\r\n" + length,
          std::string("HTTP/1.1 200 OK\r\nContent-Length: 999\r\n")}) {
      CAPTURE(head);
      const auto result = ask(std::string(head).append("\r\n").append(body),
                              AnswerEnd::kHalfClose);
      CHECK(result.exit_code == 1);
      CHECK_FALSE(Contains(result, "in_force"));
    }
  }
  SECTION("one that a reset ends") {
    const auto result =
        ask("HTTP/1.1 200 OK\r\n\r\n" + body, AnswerEnd::kReset);
    CHECK(result.exit_code == 1);
    CHECK_FALSE(Contains(result, "in_force"));
  }
  SECTION("but a whole one") {
    const auto result = ask("HTTP/1.1 200 OK\r\n" + length + "\r\n" + body,
                            AnswerEnd::kKeepOpen);
    CHECK(result.exit_code == 0);
    CHECK(Contains(result, "in_force"));
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
