// The demonstration behind `make demo`: two services in two data centres on
// loopback. Every step is checked; the first one that fails ends the program
// with exit code 1.
#include <signal.h>

#include <atomic>
#include <chrono>
#include <iostream>
#include <thread>
#include <vector>

#include "harness/caller.h"
#include "harness/fleet.h"

namespace {

using lycheewell::harness::Caller;
using lycheewell::harness::CallerAnswer;
using lycheewell::harness::CallOnce;
using lycheewell::harness::CommandResult;
using lycheewell::harness::Fleet;
using lycheewell::harness::Node;
using lycheewell::harness::WaitUntil;

constexpr int kOk = 200;
constexpr int kUnauthorized = 401;
constexpr int kTooManyRequests = 429;

class DemoFailure : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

void Require(bool holds, const std::string& what) {
  std::cout << (holds ? "   ok    " : "   FAIL  ") << what << std::endl;
  if (!holds) {
    throw DemoFailure(what);
  }
}

void Title(const std::string& text) { std::cout << "\n" << text << std::endl; }

struct Demo {
  Fleet fleet;
  Node& calendar_one;
  Node& calendar_two;
  Node& payments_one;
  Node& payments_two;
  std::string key;

  Demo()
      : calendar_one(this->fleet.Add({"luzon-1", "calendar", 45})),
        calendar_two(this->fleet.Add({"luzon-2", "calendar", 45})),
        payments_one(this->fleet.Add({"luzon-1", "payments", 60})),
        payments_two(this->fleet.Add({"luzon-2", "payments", 60})) {}
};

void Start(Demo& demo) {
  Title("1. A log, four daemons and four targets in two data centres");
  Require(demo.fleet.WaitUntilSettled(),
          "the daemons found each other through the log, the targets announced "
          "themselves");
}

void Configure(Demo& demo) {
  Title("2. An operator states an intent, looks at the plan and confirms it");
  const std::string plan = demo.fleet.directory() + "/demo-plan.json";
  const CommandResult planned = demo.fleet.Client(
      demo.calendar_one,
      {"plan", "route", "payments", "--method", "POST", "--path", "/fees",
       "--importance", "critical", "--plan", plan});
  std::cout << planned.output;
  Require(planned.exit_code == 0, "the plan was made");
  const CommandResult confirmed = demo.fleet.Client(
      demo.calendar_one,
      {"confirm", "--plan", plan, "--reason", "fees come first"});
  std::cout << confirmed.output;
  Require(confirmed.exit_code == 0, "the change is in force at every daemon");
  demo.key = demo.fleet.AddAccount(demo.calendar_one, "club-baguio", 200, 50);
  Require(demo.fleet.WaitUntilSettled(), "a client account and a key are set");
}

void ServeRequests(Demo& demo) {
  Title("3. Requests through daemons that are not beside the target");
  const CallerAnswer lookup = CallOnce(
      demo.payments_one.callers_address,
      {.target = "/calendar/trials?call=/payments/rates", .key = demo.key});
  std::cout << "   " << lookup.status << " " << lookup.outcome << " "
            << lookup.body << "\n";
  Require(lookup.status == kOk && lookup.outcome == "ran" &&
              lookup.body.find("\"outcome\":\"ran\"") != std::string::npos,
          "a calendar lookup, whose target called payments on its behalf");
  const lycheewell::harness::CallerRequest fee{.method = "POST",
                                               .target = "/payments/fees",
                                               .key = demo.key,
                                               .idempotency_key = "fee-1",
                                               .body = "novice run, dog 7"};
  const CallerAnswer paid = CallOnce(demo.calendar_two.callers_address, fee);
  std::cout << "   " << paid.status << " " << paid.outcome << " " << paid.body
            << "\n";
  Require(paid.status == kOk && paid.outcome == "ran", "a fee is paid");
  const CallerAnswer again = CallOnce(demo.calendar_one.callers_address, fee);
  Require(again.status == kOk && again.body == paid.body,
          "the same fee sent again at another daemon gets the kept answer");
  std::size_t runs = 0;
  std::size_t keys_seen = 0;
  for (Node* node : {&demo.payments_one, &demo.payments_two}) {
    for (const auto& entry : demo.fleet.Journal(*node)) {
      const bool is_fee = entry.at("target").as_string() == "/payments/fees";
      runs += is_fee && entry.at("what").as_string() == "start" ? 1 : 0;
      keys_seen += entry.at("headers").as_object().contains("Authorization");
    }
  }
  Require(runs == 1, "the fee ran once");
  Require(keys_seen == 0, "no target saw the caller's key");
}

void WithdrawKey(Demo& demo) {
  Title("4. A key is withdrawn while its caller stays connected");
  const std::string key =
      demo.fleet.AddAccount(demo.calendar_one, "judge-reyes", 50, 10);
  Require(demo.fleet.WaitUntilSettled(), "a second account is set");
  Caller caller(demo.payments_two.callers_address);
  const CallerAnswer before =
      caller.Send({.target = "/calendar/trials", .key = key});
  Require(before.status == kOk, "its caller is served");
  demo.fleet.Change(demo.calendar_one,
                    {"plan", "withdraw-key", "judge-reyes-key"});
  const CallerAnswer after =
      caller.Send({.target = "/calendar/trials", .key = key});
  std::cout << "   " << after.status << " " << after.body << "\n";
  Require(after.status == kUnauthorized && after.outcome == "not-run",
          "on the same connection the withdrawn key is refused");
}

void LimitRates(Demo& demo) {
  Title("5. One account sends far more than its rate, another is served");
  const std::string greedy =
      demo.fleet.AddAccount(demo.calendar_one, "club-cebu", 5, 5);
  Require(demo.fleet.WaitUntilSettled(), "an account with rate 5/s, burst 5");
  int refused = 0;
  int others_refused = 0;
  int served = 0;
  Caller greedy_caller(demo.payments_one.callers_address);
  Caller other_caller(demo.payments_two.callers_address);
  const auto started = std::chrono::steady_clock::now();
  for (int round = 0; round < 40; ++round) {
    const CallerAnswer answer =
        greedy_caller.Send({.target = "/calendar/trials", .key = greedy});
    refused += answer.status == kTooManyRequests ? 1 : 0;
    served += answer.status == kOk ? 1 : 0;
    const CallerAnswer other =
        other_caller.Send({.target = "/calendar/trials", .key = demo.key});
    others_refused += other.status == kOk ? 0 : 1;
  }
  const double seconds =
      std::chrono::duration<double>(std::chrono::steady_clock::now() - started)
          .count();
  std::cout << "   club-cebu: " << served << " served, " << refused
            << " refused in " << seconds
            << " s; club-baguio: " << others_refused << " refused\n";
  Require(refused > 0, "the account over its rate is refused");
  Require(served <= 5 + 5 * seconds, "it got no more than its rate and burst");
  Require(others_refused == 0, "the other account is served");
}

void DrainTarget(Demo& demo) {
  Title("6. A daemon with its target leaves under load");
  std::atomic<bool> stop = false;
  std::atomic<int> served = 0;
  std::atomic<int> failed = 0;
  std::vector<std::thread> callers;
  constexpr int kCallers = 4;
  callers.reserve(kCallers);
  for (int index = 0; index < kCallers; ++index) {
    callers.emplace_back([&] {
      Caller caller(demo.payments_one.callers_address);
      while (!stop) {
        const CallerAnswer answer = caller.Send(
            {.target = "/calendar/trials?sleep_ms=20", .key = demo.key});
        (answer.status == kOk ? served : failed) += 1;
      }
    });
  }
  std::this_thread::sleep_for(std::chrono::milliseconds(500));
  demo.calendar_two.daemon->Signal(SIGTERM);
  const int exit_code = demo.calendar_two.daemon->Wait();
  std::this_thread::sleep_for(std::chrono::milliseconds(500));
  stop = true;
  for (std::thread& caller : callers) {
    caller.join();
  }
  std::cout << "   " << served << " served, " << failed << " failed\n";
  Require(exit_code == 0, "the daemon drained and ended");
  Require(served > 0 && failed == 0, "no request was cut");
}

void Look(Demo& demo) {
  Title("7. What an operator sees who comes back after hours");
  const CommandResult status = demo.fleet.Client(demo.calendar_one, {"status"});
  std::cout << status.output;
  Require(status.exit_code == 0, "the status names who changed what, and why");
}

}  // namespace

int main() {
  signal(SIGPIPE, SIG_IGN);
  try {
    Demo demo;
    Start(demo);
    Configure(demo);
    ServeRequests(demo);
    WithdrawKey(demo);
    LimitRates(demo);
    DrainTarget(demo);
    Look(demo);
  } catch (const std::exception& failure) {
    std::cerr << "\nThe demonstration failed: " << failure.what() << std::endl;
    return 1;
  }
  std::cout << "\nAll steps hold." << std::endl;
  return 0;
}
