// What must always hold, on real processes: the targets' journals, the callers'
// answers and the log are the witnesses.
#include <signal.h>

#include <atomic>
#include <catch2/catch.hpp>
#include <set>
#include <thread>

#include "harness/caller.h"
#include "harness/fleet.h"

namespace {

using namespace lycheewell::harness;  // NOLINT
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr int kOk = 200;

// Two data centres; calendar and payments in each, and a daemon without target.
struct SmallFleet {
  Fleet fleet;
  Node* calendar[2];
  Node* payments[2];
  Node* plain = nullptr;
  std::string key;

  SmallFleet() {
    for (int index = 0; index < 2; ++index) {
      const std::string data_centre = index == 0 ? "one" : "two";
      this->calendar[index] = &this->fleet.Add({data_centre, "calendar", 45});
      this->payments[index] = &this->fleet.Add({data_centre, "payments", 60});
    }
    this->plain = &this->fleet.Add({"one", "", 0});
    REQUIRE(this->fleet.WaitUntilSettled());
    this->key = this->fleet.AddAccount(*this->plain, "club", 1000, 200);
    REQUIRE(this->fleet.WaitUntilSettled());
  }

  // How often a target began to run a request whose body is `body`.
  int Runs(const std::string& body) {
    int runs = 0;
    for (std::size_t index = 0; index < this->fleet.size(); ++index) {
      for (const auto& entry : this->fleet.Journal(this->fleet.node(index))) {
        runs += entry.at("what").as_string() == "start" &&
                        entry.at("body").as_string() == body
                    ? 1
                    : 0;
      }
    }
    return runs;
  }
};

CallerRequest Fee(const SmallFleet& world, const std::string& id,
                  const std::string& query = "") {
  return {.method = "POST",
          .target = "/payments/fees" + query,
          .key = world.key,
          .idempotency_key = id,
          .body = id};
}

TEST_CASE("a request runs only for the account whose key came with it",
          "[process][keys]") {
  SmallFleet world;
  const std::string& address = world.plain->callers_address;
  CHECK(CallOnce(address, {.target = "/calendar/x"}).status == 401);
  CHECK(CallOnce(address, {.target = "/calendar/x", .key = "forged"}).status ==
        401);
  const CallerAnswer answer = CallOnce(
      address, {.target = "/calendar/x?call=/payments/y", .key = world.key});
  CHECK(answer.status == kOk);
  CHECK(answer.body.find("\"outcome\":\"ran\"") != std::string::npos);

  SECTION("no target sees the key, wherever the caller put it") {
    CallOnce(address, {.target = "/calendar/z",
                       .key = world.key,
                       .headers = {{"X-Copy", "it is " + world.key}}});
    for (std::size_t index = 0; index < world.fleet.size(); ++index) {
      for (const auto& entry : world.fleet.Journal(world.fleet.node(index))) {
        const std::string text = boost::json::serialize(entry);
        CHECK(text.find(world.key) == std::string::npos);
        CHECK(entry.at("headers").as_object().at("Lycheewell-Account") ==
              "club");
      }
    }
  }
  SECTION("a forged or replayed context is refused at the local port") {
    std::string used;
    for (Node* node : world.calendar) {
      for (const auto& entry : world.fleet.Journal(*node)) {
        used = entry.at("headers")
                   .as_object()
                   .at("Lycheewell-Context")
                   .as_string()
                   .c_str();
      }
    }
    REQUIRE_FALSE(used.empty());
    for (const std::string& context : {used, std::string("forged")}) {
      for (Node* node : world.calendar) {
        const CallerAnswer refused =
            CallOnce(node->local_address,
                     {.target = "/payments/y",
                      .headers = {{"Lycheewell-Context", context}}});
        CHECK(refused.status == 403);
        CHECK(refused.outcome == "not-run");
      }
    }
  }
  SECTION("a withdrawn key stops working on an open connection within 3 s") {
    Caller caller(address);
    REQUIRE(caller.Send({.target = "/calendar/x", .key = world.key}).status ==
            kOk);
    world.fleet.Change(*world.calendar[1],
                       {"plan", "withdraw-key", "club-key"});
    const bool stopped = WaitUntil(
        [&] {
          return caller.Send({.target = "/calendar/x", .key = world.key})
                     .status == 401;
        },
        seconds(3));
    CHECK(stopped);
  }
  SECTION("an open route needs no key") {
    world.fleet.Change(*world.plain, {"plan", "route", "calendar", "--path",
                                      "/public", "--open", "--idempotent"});
    REQUIRE(world.fleet.WaitUntilSettled());
    CHECK(CallOnce(address, {.target = "/calendar/public"}).status == kOk);
    CHECK(CallOnce(address, {.target = "/calendar/other"}).status == 401);
  }
}

TEST_CASE("a fee runs at most once", "[process][attempts]") {
  SmallFleet world;
  const CallerAnswer first =
      CallOnce(world.plain->callers_address, Fee(world, "fee-1"));
  REQUIRE(first.status == kOk);

  SECTION("a resend at any daemon gets the kept answer") {
    for (std::size_t index = 0; index < world.fleet.size(); ++index) {
      const CallerAnswer again = CallOnce(
          world.fleet.node(index).callers_address, Fee(world, "fee-1"));
      CHECK(again.status == kOk);
      CHECK(again.body == first.body);
    }
    CHECK(world.Runs("fee-1") == 1);
  }
  SECTION("the key of another request is told as such") {
    CallerRequest other = Fee(world, "fee-1");
    other.body = "another";
    const CallerAnswer refused =
        CallOnce(world.calendar[0]->callers_address, other);
    CHECK(refused.status == 422);
    CHECK(world.Runs("another") == 0);
  }
  SECTION("resends while it runs do not run it again") {
    std::thread slow([&] {
      CallOnce(world.plain->callers_address,
               Fee(world, "fee-2", "?sleep_ms=1500"));
    });
    CHECK(WaitUntil([&] { return world.Runs("fee-2") == 1; }));
    const CallerAnswer meanwhile =
        CallOnce(world.calendar[1]->callers_address,
                 Fee(world, "fee-2", "?sleep_ms=1500"));
    CHECK(meanwhile.status == 409);
    CHECK(meanwhile.outcome == "may-have-run");
    slow.join();
    CHECK(world.Runs("fee-2") == 1);
  }
  SECTION("not when the daemon that took it is killed while it runs") {
    std::thread cut([&] {
      const CallerAnswer lost = CallOnce(world.plain->callers_address,
                                         Fee(world, "fee-3", "?sleep_ms=1500"));
      CHECK(lost.status == 0);
    });
    CHECK(WaitUntil([&] { return world.Runs("fee-3") == 1; }));
    world.plain->daemon->Kill();
    cut.join();
    const CallerAnswer again = CallOnce(world.calendar[0]->callers_address,
                                        Fee(world, "fee-3", "?sleep_ms=1500"));
    CHECK(again.outcome != "not-run");
    CHECK(world.Runs("fee-3") == 1);
  }
  SECTION("not when the target's daemon is killed while it runs") {
    std::thread cut([&] {
      const CallerAnswer lost = CallOnce(world.plain->callers_address,
                                         Fee(world, "fee-4", "?sleep_ms=3000"));
      CHECK(lost.outcome == "may-have-run");
    });
    CHECK(WaitUntil([&] { return world.Runs("fee-4") == 1; }));
    Node* beside = world.fleet.Journal(*world.payments[0]).empty()
                       ? world.payments[1]
                       : world.payments[0];
    for (Node* node : world.payments) {
      for (const auto& entry : world.fleet.Journal(*node)) {
        beside = entry.at("body") == "fee-4" ? node : beside;
      }
    }
    beside->daemon->Kill();
    cut.join();
    const CallerAnswer again = CallOnce(world.plain->callers_address,
                                        Fee(world, "fee-4", "?sleep_ms=3000"));
    CHECK(again.outcome == "may-have-run");
    CHECK(world.Runs("fee-4") == 1);
  }
  SECTION("without a key it is handed over once and never retried") {
    CallerRequest plain = Fee(world, "fee-5", "?truncate=1");
    plain.idempotency_key.clear();
    const CallerAnswer broken = CallOnce(world.plain->callers_address, plain);
    CHECK(broken.outcome == "may-have-run");
    CHECK(world.Runs("fee-5") == 1);
  }
}

TEST_CASE("answers are whole and told truly", "[process][answers]") {
  SmallFleet world;

  SECTION("callers get the answers to their own requests, also pipelined") {
    Caller caller(world.plain->callers_address);
    std::string requests;
    for (int number = 0; number < 5; ++number) {
      const int pause = number % 2 == 0 ? 80 : 0;
      requests += "GET /calendar/p" + std::to_string(number) +
                  "?sleep_ms=" + std::to_string(pause) +
                  " HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer " + world.key +
                  "\r\n\r\n";
    }
    const std::string received = caller.SendRaw(requests, milliseconds(700));
    std::size_t at = 0;
    for (int number = 0; number < 5; ++number) {
      at = received.find("/calendar/p" + std::to_string(number), at);
      CHECK(at != std::string::npos);
    }
  }
  SECTION("a truncated answer of a target is never passed on as whole") {
    const CallerAnswer answer =
        CallOnce(world.plain->callers_address,
                 {.target = "/calendar/x?truncate=1",
                  .key = world.key,
                  .headers = {{"Lycheewell-Timeout-Ms", "3000"}}});
    CHECK(answer.status != kOk);
    CHECK(answer.outcome == "may-have-run");
  }
  SECTION("'not-run' is true when a service has no target") {
    const CallerAnswer answer =
        CallOnce(world.plain->callers_address,
                 {.method = "POST", .target = "/nobody/x", .key = world.key});
    CHECK(answer.status == 503);
    CHECK(answer.outcome == "not-run");
  }
  SECTION("the deadline is kept and the target is told to stop") {
    const CallerAnswer answer =
        CallOnce(world.plain->callers_address,
                 {.target = "/calendar/late?sleep_ms=1500",
                  .key = world.key,
                  .headers = {{"Lycheewell-Timeout-Ms", "200"}}});
    CHECK(answer.status == 504);
    CHECK(answer.outcome == "may-have-run");
  }
  SECTION("work for a caller that went away is cancelled") {
    Caller caller(world.plain->callers_address);
    const auto saw = [&](const char* what) {
      for (Node* node : world.calendar) {
        for (const auto& entry : world.fleet.Journal(*node)) {
          if (entry.at("what") == what) {
            return true;
          }
        }
      }
      return false;
    };
    caller.SendOnly(
        {.target = "/calendar/left?sleep_ms=700", .key = world.key});
    REQUIRE(WaitUntil([&] { return saw("start"); }));
    caller.Leave();
    CHECK(WaitUntil([&] { return saw("cancelled"); }, seconds(5)));
  }
  SECTION("what is malformed or too large is refused, and serving goes on") {
    const auto raw = [&](const std::string& bytes) {
      Caller caller(world.plain->callers_address);
      return caller.SendRaw(bytes, milliseconds(1500));
    };
    CHECK(raw("nonsense\r\n\r\n").find(" 400 ") != std::string::npos);
    CHECK(raw("POST /calendar/x HTTP/1.1\r\nContent-Length: 9000000\r\n\r\n")
              .find(" 413 ") != std::string::npos);
    CHECK(raw("GET /calendar/x HTTP/1.1\r\nX: " + std::string(40'000, 'x') +
              "\r\n\r\n")
              .find(" 431 ") != std::string::npos);
    CHECK(CallOnce(world.plain->callers_address,
                   {.target = "/calendar/x", .key = world.key})
              .status == kOk);
  }
}

TEST_CASE("a change is in force everywhere and stays so",
          "[process][agreement]") {
  SmallFleet world;
  Fleet& fleet = world.fleet;

  SECTION("of two operators that race one wins and the other is told") {
    const std::string first = fleet.directory() + "/first.json";
    const std::string second = fleet.directory() + "/second.json";
    fleet.Client(*world.plain, {"plan", "account", "club", "--rate", "700",
                                "--burst", "200", "--plan", first});
    fleet.Client(*world.calendar[0],
                 {"plan", "account", "club", "--rate", "800", "--burst", "200",
                  "--plan", second});
    const CommandResult needs_flag = fleet.Client(
        *world.plain, {"confirm", "--plan", first, "--reason", "spring"});
    CHECK(needs_flag.exit_code == 4);
    const CommandResult won =
        fleet.Client(*world.plain, {"confirm", "--plan", first, "--reason",
                                    "spring", "--accept-disruption"});
    CHECK(won.exit_code == 0);
    const CommandResult lost = fleet.Client(
        *world.calendar[0], {"confirm", "--plan", second, "--reason", "autumn",
                             "--accept-disruption"});
    CHECK(lost.exit_code == 3);
    CHECK(lost.output.find("spring") != std::string::npos);

    SECTION("the same plan confirmed again changes nothing") {
      const CommandResult again = fleet.Client(
          *world.calendar[1], {"confirm", "--plan", first, "--reason", "spring",
                               "--accept-disruption"});
      CHECK(again.exit_code == 0);
      CHECK(again.output.find("accepted") != std::string::npos);
    }
  }
  SECTION("a lost answer of the log does not apply a change twice") {
    const std::string plan = fleet.directory() + "/lost.json";
    fleet.Client(*world.plain, {"plan", "account", "other", "--rate", "5",
                                "--burst", "5", "--plan", plan});
    fleet.ControlLog(R"({"lose_answers": 1})");
    const CommandResult confirmed = fleet.Client(
        *world.plain, {"confirm", "--plan", plan, "--reason", "lost"});
    CHECK(confirmed.exit_code == 0);
    const CommandResult history =
        fleet.Client(*world.calendar[0], {"history", "--json"});
    const std::string text = history.output;
    std::size_t times = 0;
    for (std::size_t at = text.find("\"lost\""); at != std::string::npos;
         at = text.find("\"lost\"", at + 1)) {
      ++times;
    }
    CHECK(times == 1);
  }
  SECTION("in an outage of the log traffic goes on and nothing is changed") {
    fleet.ControlLog(R"({"down": true})");
    for (int request = 0; request < 20; ++request) {
      CHECK(CallOnce(world.plain->callers_address,
                     {.target = "/calendar/x", .key = world.key})
                .status == kOk);
      std::this_thread::sleep_for(milliseconds(150));
    }
    const std::string plan = fleet.directory() + "/down.json";
    fleet.Client(*world.plain, {"plan", "account", "other", "--rate", "5",
                                "--burst", "5", "--plan", plan});
    const CommandResult confirmed = fleet.Client(
        *world.plain, {"confirm", "--plan", plan, "--reason", "outage"});
    CHECK((confirmed.exit_code == 5 || confirmed.exit_code == 1));
    fleet.ControlLog(R"({"down": false})");
    const bool accepted = WaitUntil([&] {
      return fleet
                 .Client(*world.plain,
                         {"confirm", "--plan", plan, "--reason", "outage"})
                 .exit_code == 0;
    });
    CHECK(accepted);
  }
  SECTION(
      "a new daemon takes the state from a snapshot when records are gone") {
    for (int change = 0; change < 60; ++change) {
      fleet.Change(*world.plain, {"plan", "account", "filler", "--rate",
                                  std::to_string(10 + change), "--burst", "5"});
    }
    REQUIRE(WaitUntil([&] {
      std::string logs;
      for (std::size_t index = 0; index < fleet.size(); ++index) {
        logs += fleet.DaemonLog(fleet.node(index));
      }
      return logs.find("LW3006") != std::string::npos;
    }));
    fleet.ControlLog(R"({"retention": 45})");
    Node& fresh = fleet.Add({"two", "", 0});
    CHECK(WaitUntil([&] {
      const auto status = fleet.Status(fresh);
      return !status.empty() && status.at("ready").as_bool();
    }));
    CHECK(CallOnce(fresh.callers_address,
                   {.target = "/calendar/x", .key = world.key})
              .status == kOk);
  }
  SECTION("every daemon replaced one after another keeps the configuration") {
    for (std::size_t index = 0; index < fleet.size(); ++index) {
      Node& node = fleet.node(index);
      node.daemon->Signal(SIGTERM);
      CHECK(node.daemon->Wait() == 0);
      fleet.StartDaemon(node);
      REQUIRE(fleet.WaitUntilSettled());
    }
    CHECK(CallOnce(world.plain->callers_address,
                   {.target = "/calendar/x", .key = world.key})
              .status == kOk);
  }
  SECTION("all daemons killed at once come back with it") {
    for (std::size_t index = 0; index < fleet.size(); ++index) {
      fleet.node(index).daemon->Kill();
    }
    for (std::size_t index = 0; index < fleet.size(); ++index) {
      fleet.StartDaemon(fleet.node(index));
    }
    REQUIRE(fleet.WaitUntilSettled());
    CHECK(WaitUntil([&] {
      return CallOnce(world.plain->callers_address,
                      {.target = "/calendar/x", .key = world.key})
                 .status == kOk;
    }));
  }
}

// Sends as fast as it can for `time` from several connections at every daemon;
// returns how many were served.
int Flood(Fleet& fleet, const std::string& key, milliseconds time) {
  std::atomic<int> served = 0;
  const auto end = std::chrono::steady_clock::now() + time;
  std::vector<std::thread> threads;
  for (std::size_t index = 0; index < fleet.size(); ++index) {
    threads.emplace_back([&, index] {
      Caller caller(fleet.node(index).callers_address);
      while (std::chrono::steady_clock::now() < end) {
        const CallerAnswer answer =
            caller.Send({.target = "/calendar/flood", .key = key});
        served += answer.status == kOk ? 1 : 0;
        std::this_thread::sleep_for(milliseconds(1));
      }
    });
  }
  for (std::thread& thread : threads) {
    thread.join();
  }
  return served;
}

TEST_CASE("an account gets no more than its rate and burst over all daemons",
          "[process][rate]") {
  SmallFleet world;
  constexpr double kRate = 40;
  constexpr double kBurst = 10;
  const std::string greedy =
      world.fleet.AddAccount(*world.plain, "greedy", kRate, kBurst);
  REQUIRE(world.fleet.WaitUntilSettled());
  const auto started = std::chrono::steady_clock::now();
  const auto bound = [&] {
    const double time = std::chrono::duration<double>(
                            std::chrono::steady_clock::now() - started)
                            .count();
    return kBurst + kRate * time;
  };

  SECTION("under a flood at every daemon") {
    const int served = Flood(world.fleet, greedy, seconds(3));
    CHECK(served <= bound());
    CHECK(served >= kRate * 3 / 2);
  }
  SECTION("while holders are frozen, killed and come back") {
    int served = Flood(world.fleet, greedy, milliseconds(500));
    world.calendar[0]->daemon->Signal(SIGSTOP);
    world.payments[1]->daemon->Kill();
    std::this_thread::sleep_for(seconds(5));
    world.calendar[0]->daemon->Signal(SIGCONT);
    world.fleet.StartDaemon(*world.payments[1]);
    served += Flood(world.fleet, greedy, seconds(2));
    CHECK(served <= bound());
  }
  SECTION("while a data centre is cut off and the log is down") {
    int served = Flood(world.fleet, greedy, milliseconds(500));
    world.fleet.ControlLog(R"({"down": true})");
    world.fleet.SetFaults(*world.calendar[1], R"({"*": {"cut": true}})");
    served += Flood(world.fleet, greedy, seconds(3));
    world.fleet.ControlLog(R"({"down": false})");
    world.fleet.SetFaults(*world.calendar[1], "{}");
    served += Flood(world.fleet, greedy, seconds(1));
    CHECK(served <= bound());
  }
}

// Callers that send one request after another until they are stopped.
class BackgroundLoad {
 public:
  BackgroundLoad(const std::string& address, const CallerRequest& request) {
    constexpr int kCallers = 3;
    for (int index = 0; index < kCallers; ++index) {
      this->threads.emplace_back([this, address, request] {
        Caller caller(address);
        while (!this->stop) {
          this->failed += caller.Send(request).status == kOk ? 0 : 1;
        }
      });
    }
  }
  ~BackgroundLoad() { this->Stop(); }

  // Returns how many requests were not served.
  int Stop() {
    this->stop = true;
    for (std::thread& thread : this->threads) {
      thread.join();
    }
    this->threads.clear();
    return this->failed;
  }

 private:
  std::atomic<bool> stop = false;
  std::atomic<int> failed = 0;
  std::vector<std::thread> threads;
};

TEST_CASE("a leaving target gets no new work and loses none",
          "[process][drain]") {
  SmallFleet world;
  BackgroundLoad load(world.plain->callers_address,
                      {.target = "/calendar/x?sleep_ms=30", .key = world.key});
  const auto journal_size = [&] {
    return world.fleet.Journal(*world.calendar[0]).size();
  };
  WaitUntil([&] { return journal_size() > 10; });

  SECTION("on SIGTERM of its daemon") {
    world.calendar[0]->daemon->Signal(SIGTERM);
    CHECK(world.calendar[0]->daemon->Wait() == 0);
  }
  SECTION("on its own word") {
    CallOnce(world.calendar[0]->local_address,
             {.method = "POST", .target = "/lycheewell/drain"});
  }
  SECTION("when an operator retires it") {
    world.fleet.Change(*world.plain, {"plan", "retire-target",
                                      world.calendar[0]->peers_address});
  }
  SECTION("when an operator evacuates its data centre") {
    world.fleet.Change(*world.plain, {"plan", "evacuate", "one"});
  }
  std::this_thread::sleep_for(seconds(2));
  const std::size_t after_two_seconds = journal_size();
  std::this_thread::sleep_for(seconds(1));
  CHECK(journal_size() == after_two_seconds);
  CHECK(load.Stop() == 0);
}

TEST_CASE("a request that crashes its target is stopped after two targets",
          "[process][quarantine]") {
  SmallFleet world;
  const CallerRequest bad{.target = "/calendar/bad?crash=1", .key = world.key};
  int crashes = 0;
  CallerAnswer last;
  for (int resend = 0; resend < 4; ++resend) {
    last = CallOnce(
        world.fleet.node(static_cast<std::size_t>(resend)).callers_address,
        bad);
    for (Node* node : world.calendar) {
      if (!node->target->IsRunning()) {
        ++crashes;
        world.fleet.StartTarget(*node);
      }
    }
    WaitUntil([&] {
      return CallOnce(world.plain->callers_address,
                      {.target = "/calendar/good", .key = world.key})
                 .status == kOk;
    });
    std::this_thread::sleep_for(seconds(1));
  }
  CHECK(crashes == 2);
  CHECK(last.status == 422);
  CHECK(last.outcome == "not-run");
  CHECK(CallOnce(world.plain->callers_address,
                 {.target = "/calendar/good", .key = world.key})
            .status == kOk);
}

}  // namespace
