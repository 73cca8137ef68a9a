// Overload, retries, quarantine, membership and routing.
#include <catch2/catch.hpp>
#include <random>

#include "lycheewell/core/membership/failure_detector.h"
#include "lycheewell/core/overload/admission_level.h"
#include "lycheewell/core/overload/admission_queue.h"
#include "lycheewell/core/overload/concurrency_limit.h"
#include "lycheewell/core/quarantine/crash_marks.h"
#include "lycheewell/core/retry/retry_policy.h"
#include "lycheewell/core/routing/rendezvous.h"
#include "lycheewell/core/routing/target_choice.h"

namespace {

using namespace lycheewell::core;  // NOLINT
using std::chrono::milliseconds;

constexpr Instant kStart{};

overload::QueueEntry Entry(std::uint64_t ticket, Importance importance,
                           const std::string& account) {
  return {.ticket = ticket,
          .importance = importance,
          .account = account,
          .deadline = kStart + milliseconds(100)};
}

TEST_CASE("a full queue sheds the least important entry", "[overload]") {
  overload::AdmissionQueue queue;
  queue.Offer(Entry(1, Importance::kLow, "a"), 2);
  queue.Offer(Entry(2, Importance::kNormal, "a"), 2);

  SECTION("a more important entry displaces the least important one") {
    const auto offer = queue.Offer(Entry(3, Importance::kHigh, "a"), 2);
    CHECK(offer.accepted);
    CHECK(offer.displaced->ticket == 1);
    CHECK(queue.Pop(kStart).next->ticket == 3);
    CHECK(queue.Pop(kStart).next->ticket == 2);
  }
  SECTION("a less important entry is refused") {
    CHECK_FALSE(queue.Offer(Entry(3, Importance::kLow, "b"), 2).accepted);
  }
  SECTION("expired entries are reported instead of dispatched") {
    const auto popped = queue.Pop(kStart + milliseconds(100));
    CHECK_FALSE(popped.next);
    CHECK(popped.expired.size() == 2);
    CHECK(queue.size() == 0);
  }
  SECTION("a removed entry is not dispatched") {
    CHECK(queue.Remove(2));
    CHECK(queue.Pop(kStart).next->ticket == 1);
  }
}

TEST_CASE("the queue is fair between accounts of one importance",
          "[overload]") {
  overload::AdmissionQueue queue;
  for (std::uint64_t ticket = 1; ticket <= 8; ++ticket) {
    queue.Offer(Entry(ticket, Importance::kNormal, "heavy"), 8);
  }
  const auto offer = queue.Offer(Entry(9, Importance::kNormal, "light"), 8);
  CHECK(offer.accepted);
  CHECK(offer.displaced->account == "heavy");
  const auto first = queue.Pop(kStart).next;
  const auto second = queue.Pop(kStart).next;
  CHECK(first->account != second->account);
}

// Simulates a target with `capacity` slots, whose latency grows in proportion
// to the number of running requests beyond that. Returns the limit after 4000
// completions.
int SettledLimit(overload::ConcurrencyLimit& limit, double capacity,
                 milliseconds latency, Instant& now) {
  for (int round = 0; round < 4000; ++round) {
    const int running = limit.limit();
    const double factor = std::max(1.0, running / capacity);
    const auto observed_latency =
        std::chrono::duration_cast<Duration>(latency * factor);
    now += observed_latency / running;
    limit.RecordCompletion(observed_latency, running, now);
  }
  return limit.limit();
}

TEST_CASE("the concurrency limit follows the target's capacity", "[overload]") {
  Instant now = kStart;
  overload::ConcurrencyLimit limit({.max_limit = 200}, now);

  SECTION("it starts low") { CHECK(limit.limit() == 4); }
  SECTION("it converges to between one and three times the capacity") {
    const int settled = SettledLimit(limit, 40, milliseconds(10), now);
    CHECK(settled >= 40);
    CHECK(settled <= 120);
  }
  SECTION("a service whose own latency rises keeps its concurrency") {
    SettledLimit(limit, 40, milliseconds(2), now);
    CHECK(SettledLimit(limit, 40, milliseconds(50), now) >= 40);
  }
  SECTION("refusals by the target lower the limit") {
    const int before = SettledLimit(limit, 40, milliseconds(10), now);
    for (int refusal = 0; refusal < 20; ++refusal) {
      now += milliseconds(10);
      limit.RecordRefusal(now);
    }
    CHECK(limit.limit() < before);
  }
}

TEST_CASE("the admission level rises and falls with the queueing delay",
          "[overload]") {
  Instant now = kStart;
  overload::AdmissionLevel level(now);
  for (int step = 0; step < 200; ++step) {
    now += milliseconds(50);
    level.Observe(milliseconds(100), now);
  }
  const int highest_rank = overload::kRankCount - 1;
  CHECK_FALSE(level.Admits(0));
  CHECK(level.Admits(highest_rank));
  for (int step = 0; step < 100; ++step) {
    now += milliseconds(50);
    level.Observe(Duration{}, now);
  }
  CHECK(level.Admits(0));

  SECTION("a level received from other daemons decays without updates") {
    overload::ReportedLevel heard;
    heard.Record(200, now);
    CHECK(heard.LevelAt(now) == 200);
    CHECK(heard.LevelAt(now + std::chrono::seconds(1)) == 0);
  }
}

// Simulates a call tree of the given depth and width in which every call fails
// and is retried as often as its credit allows. Returns the number of attempts
// at all levels together.
int CountAttempts(retry::RetryCredit& credit, int depth, int width) {
  int attempts = 0;
  do {
    ++attempts;
    const int lent = credit.LendToCall();
    retry::RetryCredit call_credit(lent);
    for (int call = 0; call < width && depth > 1; ++call) {
      attempts += CountAttempts(call_credit, depth - 1, width);
    }
    credit.TakeBack(lent, call_credit.remaining());
  } while (credit.Spend());
  return attempts;
}

TEST_CASE("retries of one request are bounded over its call tree",
          "[retries]") {
  retry::RetryCredit credit(retry::kInitialCredit);

  SECTION("a chain 14 deep, failing at every hop") {
    // Each retry repeats the rest of the chain below it at most once.
    const int attempts = CountAttempts(credit, 14, 1);
    CHECK(attempts <= 14 * (1 + retry::kInitialCredit));
  }
  SECTION("parallel calls share the credit") {
    int extra = 0;
    std::vector<int> lent;
    lent.reserve(10);
    for (int call = 0; call < 10; ++call) {
      lent.push_back(credit.LendToCall());
    }
    for (const int amount : lent) {
      retry::RetryCredit call_credit(amount);
      while (call_credit.Spend()) {
        ++extra;
      }
      credit.TakeBack(amount, call_credit.remaining());
    }
    while (credit.Spend()) {
      ++extra;
    }
    CHECK(extra <= retry::kInitialCredit);
  }
  SECTION("a call cannot return more credit than it was lent") {
    const int lent = credit.LendToCall();
    credit.TakeBack(lent, 1000);
    CHECK(credit.remaining() == retry::kInitialCredit);
  }
}

TEST_CASE("a surge of failures adds at most a tenth to the load", "[retries]") {
  retry::RetryBudget budget;
  int retries = 0;
  for (int request = 0; request < 10'000; ++request) {
    budget.RecordSuccess();
    retries += budget.Spend() ? 1 : 0;
  }
  for (int failure = 0; failure < 10'000; ++failure) {
    retries += budget.Spend() ? 1 : 0;
  }
  CHECK(retries <= 10'000 / 10 + 11);
}

TEST_CASE("a request is quarantined after it crashed two targets",
          "[quarantine]") {
  quarantine::CrashMarks marks;
  const std::vector<std::string> running = {"crashing", "harmless"};
  for (const auto& fingerprint :
       quarantine::FingerprintsToMark(running, marks, kStart)) {
    marks.Add({fingerprint, {"a", 1}}, kStart);
  }
  CHECK(marks.StatusOf("crashing", kStart) ==
        quarantine::QuarantineStatus::kSuspect);

  SECTION("the second crash marks only the suspect that ran") {
    const std::vector<std::string> again = {"crashing", "unseen"};
    for (const auto& fingerprint :
         quarantine::FingerprintsToMark(again, marks, kStart)) {
      marks.Add({fingerprint, {"b", 1}}, kStart);
    }
    CHECK(marks.StatusOf("crashing", kStart) ==
          quarantine::QuarantineStatus::kQuarantined);
    CHECK(marks.StatusOf("harmless", kStart) ==
          quarantine::QuarantineStatus::kSuspect);
    CHECK(marks.StatusOf("unseen", kStart) ==
          quarantine::QuarantineStatus::kClear);
  }
  SECTION("a crash that is reported twice counts once") {
    marks.Add({"crashing", {"a", 1}}, kStart);
    CHECK(marks.StatusOf("crashing", kStart) ==
          quarantine::QuarantineStatus::kSuspect);
  }
  SECTION("a suspect that completes is cleared") {
    marks.Clear("harmless");
    CHECK(marks.StatusOf("harmless", kStart) ==
          quarantine::QuarantineStatus::kClear);
  }
  SECTION("marks expire") {
    const Instant later = kStart + quarantine::kMarkLifetime;
    CHECK(marks.StatusOf("crashing", later) ==
          quarantine::QuarantineStatus::kClear);
  }
}

TEST_CASE("silent members are declared dead and live ones refute it",
          "[membership]") {
  std::mt19937_64 generator(1);
  const DaemonRef self{"a", 1};
  const DaemonRef other{"b", 1};
  const DaemonRef helper{"c", 1};
  membership::FailureDetector detector(
      {.self = self, .random = [&] { return generator(); }});
  detector.SetMembers({self, other, helper});
  Instant now = kStart;
  const auto run = [&](Duration time, bool other_answers) {
    const Instant end = now + time;
    for (; now < end; now += milliseconds(10)) {
      for (const auto& order : detector.Tick(now)) {
        if (order.subject.value_or(order.to) != other || other_answers) {
          detector.RecordAnswer(order.subject.value_or(order.to));
        }
      }
    }
  };
  run(milliseconds(3000), true);
  REQUIRE(detector.HealthOf(other) == membership::Health::kAlive);

  SECTION("a silent member is dead within 2 s of its first missed ping") {
    run(milliseconds(2000) + milliseconds(400), false);
    CHECK(detector.HealthOf(other) == membership::Health::kDead);
    CHECK(detector.HealthOf(helper) == membership::Health::kAlive);

    SECTION("it is alive again when it answers") {
      run(milliseconds(1000), true);
      CHECK(detector.HealthOf(other) == membership::Health::kAlive);
    }
  }
  SECTION("members that answer stay alive without any log") {
    run(std::chrono::minutes(2), true);
    CHECK(detector.LiveMembers().size() == 2);
  }
  SECTION("a daemon refutes the claim that it is dead") {
    detector.RecordUpdate({self, membership::Health::kDead, 0}, now);
    const auto updates = detector.TakeUpdates(8);
    REQUIRE_FALSE(updates.empty());
    CHECK(updates.front() ==
          membership::Update{self, membership::Health::kAlive, 1});
  }
  SECTION("a drain is announced first and overrides older updates") {
    detector.BeginDrain();
    const auto updates = detector.TakeUpdates(1);
    CHECK(updates.at(0).health == membership::Health::kDraining);
    CHECK(updates.at(0).refutation_number == 1);
  }
}

TEST_CASE("routing picks the better of two targets and spans data centres",
          "[routing]") {
  std::mt19937_64 generator(1);
  const auto random = [&] { return generator(); };
  std::vector<routing::ObservedTargetLoad> targets(3);
  targets[0].recent_latency = milliseconds(100);
  targets[0].same_data_centre = true;
  targets[1].recent_latency = milliseconds(2);
  targets[2].recent_latency = milliseconds(2);
  int slow_choices = 0;
  for (int request = 0; request < 1000; ++request) {
    slow_choices += routing::ChooseTarget(targets, random) == 0 ? 1 : 0;
  }
  CHECK(slow_choices == 0);
  CHECK_FALSE(routing::ChooseTarget({}, random));

  SECTION("a group spans the data centres") {
    const auto ranked = routing::RankAcrossDataCentres(
        "key", {{{"a", 1}, "x"}, {{"b", 1}, "x"}, {{"c", 1}, "y"}});
    CHECK((ranked[0].id == "c" || ranked[1].id == "c"));
  }
}

}  // namespace
