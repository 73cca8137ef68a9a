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

TEST_CASE("a full queue sheds what matters least", "[overload]") {
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
  SECTION("a less important one is refused") {
    CHECK_FALSE(queue.Offer(Entry(3, Importance::kLow, "b"), 2).accepted);
  }
  SECTION("expired entries are never handed over") {
    const auto popped = queue.Pop(kStart + milliseconds(100));
    CHECK_FALSE(popped.next);
    CHECK(popped.expired.size() == 2);
    CHECK(queue.size() == 0);
  }
  SECTION("a cancelled entry is gone") {
    CHECK(queue.Remove(2));
    CHECK(queue.Pop(kStart).next->ticket == 1);
  }
}

TEST_CASE("accounts take turns within one importance", "[overload]") {
  overload::AdmissionQueue queue;
  for (std::uint64_t ticket = 1; ticket <= 8; ++ticket) {
    queue.Offer(Entry(ticket, Importance::kNormal, "greedy"), 8);
  }
  const auto offer = queue.Offer(Entry(9, Importance::kNormal, "modest"), 8);
  CHECK(offer.accepted);
  CHECK(offer.displaced->account == "greedy");
  const auto first = queue.Pop(kStart).next;
  const auto second = queue.Pop(kStart).next;
  CHECK(first->account != second->account);
}

// A target with `capacity` slots: beyond it latency grows with the number of
// requests that run.
int SettledLimit(overload::ConcurrencyLimit& limit, double capacity,
                 milliseconds latency, Instant& now) {
  for (int round = 0; round < 4000; ++round) {
    const int running = limit.limit();
    const double factor = std::max(1.0, running / capacity);
    const auto seen = std::chrono::duration_cast<Duration>(latency * factor);
    now += seen / running;
    limit.RecordCompletion(seen, running, now);
  }
  return limit.limit();
}

TEST_CASE("the limit follows what the target can do", "[overload]") {
  Instant now = kStart;
  overload::ConcurrencyLimit limit({.most = 200}, now);

  SECTION("it ramps up from a cold start") { CHECK(limit.limit() == 4); }
  SECTION("it settles between one and three times the capacity") {
    const int settled = SettledLimit(limit, 40, milliseconds(10), now);
    CHECK(settled >= 40);
    CHECK(settled <= 120);
  }
  SECTION("a service that becomes slow in itself keeps its concurrency") {
    SettledLimit(limit, 40, milliseconds(2), now);
    CHECK(SettledLimit(limit, 40, milliseconds(50), now) >= 40);
  }
  SECTION("a target that refuses gets less at once") {
    const int before = SettledLimit(limit, 40, milliseconds(10), now);
    for (int refusal = 0; refusal < 20; ++refusal) {
      now += milliseconds(10);
      limit.RecordRefusal(now);
    }
    CHECK(limit.limit() < before);
  }
}

TEST_CASE("the admission level rises and falls with the queue", "[overload]") {
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

  SECTION("a level heard from others fades when they fall silent") {
    overload::HeardLevel heard;
    heard.Hear(200, now);
    CHECK(heard.LevelAt(now) == 200);
    CHECK(heard.LevelAt(now + std::chrono::seconds(1)) == 0);
  }
}

// Every call fails and is retried as often as its credit allows, over a tree of
// the given depth and width. Returns the number of attempts of the leaves'
// parents and leaves together.
int CountAttempts(retry::RetryCredit& credit, int depth, int width) {
  int attempts = 0;
  do {
    ++attempts;
    const int lent = credit.LendToCall();
    retry::RetryCredit own(lent);
    for (int call = 0; call < width && depth > 1; ++call) {
      attempts += CountAttempts(own, depth - 1, width);
    }
    credit.TakeBack(lent, own.left());
  } while (credit.Spend());
  return attempts;
}

TEST_CASE("retries of one request are bounded over its call tree",
          "[retries]") {
  retry::RetryCredit credit(retry::kInitialCredit);

  SECTION("a chain 14 deep, failing at every hop") {
    // Each extra attempt can repeat the rest of the chain below it once.
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
    for (const int part : lent) {
      retry::RetryCredit own(part);
      while (own.Spend()) {
        ++extra;
      }
      credit.TakeBack(part, own.left());
    }
    while (credit.Spend()) {
      ++extra;
    }
    CHECK(extra <= retry::kInitialCredit);
  }
  SECTION("a call cannot give back more than it got") {
    const int lent = credit.LendToCall();
    credit.TakeBack(lent, 1000);
    CHECK(credit.left() == retry::kInitialCredit);
  }
}

TEST_CASE("a surge of failures adds at most a tenth of load", "[retries]") {
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

TEST_CASE("a request that crashes targets is stopped after two",
          "[quarantine]") {
  quarantine::CrashMarks marks;
  const std::vector<std::string> running = {"bad", "innocent"};
  for (const auto& fingerprint :
       quarantine::FingerprintsToMark(running, marks, kStart)) {
    marks.Add({fingerprint, {"a", 1}}, kStart);
  }
  CHECK(marks.StatusOf("bad", kStart) ==
        quarantine::QuarantineStatus::kSuspect);

  SECTION("the second crash marks only the suspect that ran") {
    const std::vector<std::string> again = {"bad", "newcomer"};
    for (const auto& fingerprint :
         quarantine::FingerprintsToMark(again, marks, kStart)) {
      marks.Add({fingerprint, {"b", 1}}, kStart);
    }
    CHECK(marks.StatusOf("bad", kStart) ==
          quarantine::QuarantineStatus::kQuarantined);
    CHECK(marks.StatusOf("innocent", kStart) ==
          quarantine::QuarantineStatus::kSuspect);
    CHECK(marks.StatusOf("newcomer", kStart) ==
          quarantine::QuarantineStatus::kClear);
  }
  SECTION("the same crash told twice counts once") {
    marks.Add({"bad", {"a", 1}}, kStart);
    CHECK(marks.StatusOf("bad", kStart) ==
          quarantine::QuarantineStatus::kSuspect);
  }
  SECTION("a suspect that ends well is clear") {
    marks.Clear("innocent");
    CHECK(marks.StatusOf("innocent", kStart) ==
          quarantine::QuarantineStatus::kClear);
  }
  SECTION("marks do not last") {
    const Instant later = kStart + quarantine::kMarkLifetime;
    CHECK(marks.StatusOf("bad", later) == quarantine::QuarantineStatus::kClear);
  }
}

TEST_CASE("members are found dead, and refute it when they are not",
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

    SECTION("and alive again when it answers") {
      run(milliseconds(1000), true);
      CHECK(detector.HealthOf(other) == membership::Health::kAlive);
    }
  }
  SECTION("a log outage changes nothing: membership needs no log") {
    run(std::chrono::minutes(2), true);
    CHECK(detector.LiveMembers().size() == 2);
  }
  SECTION("a daemon that is called dead says that it lives") {
    detector.RecordUpdate({self, membership::Health::kDead, 0}, now);
    const auto updates = detector.TakeUpdates(8);
    REQUIRE_FALSE(updates.empty());
    CHECK(updates.front() ==
          membership::Update{self, membership::Health::kAlive, 1});
  }
  SECTION("a drain is told first and wins over older news") {
    detector.BeginDrain();
    const auto updates = detector.TakeUpdates(1);
    CHECK(updates.at(0).health == membership::Health::kDraining);
    CHECK(updates.at(0).refutation_number == 1);
  }
}

TEST_CASE("routing picks the better of two and spreads groups", "[routing]") {
  std::mt19937_64 generator(1);
  const auto random = [&] { return generator(); };
  std::vector<routing::TargetLoad> targets(3);
  targets[0].recent_latency = milliseconds(100);
  targets[0].same_data_centre = true;
  targets[1].recent_latency = milliseconds(2);
  targets[2].recent_latency = milliseconds(2);
  int slow = 0;
  for (int request = 0; request < 1000; ++request) {
    slow += routing::ChooseTarget(targets, random) == 0 ? 1 : 0;
  }
  CHECK(slow == 0);
  CHECK_FALSE(routing::ChooseTarget({}, random));

  SECTION("a group spans the data centres") {
    const auto ranked = routing::RankAcrossDataCentres(
        "key", {{{"a", 1}, "x"}, {{"b", 1}, "x"}, {{"c", 1}, "y"}});
    CHECK((ranked[0].id == "c" || ranked[1].id == "c"));
  }
}

}  // namespace
