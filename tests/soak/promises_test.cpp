// The soak's schedule is repeatable, and its checks find what they look for.
#include "soak/promises.h"

#include <catch2/catch.hpp>

#include "soak/schedule.h"

namespace {
using namespace lycheewell::soak;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Clock::time_point kStart =
    Clock::time_point() + std::chrono::hours(1);

Request Answered(const std::string& id, unsigned status) {
  return {.id = id,
          .key = "k",
          .account = "club",
          .sent_at = kStart,
          .ended_at = kStart + milliseconds(100),
          .status = status,
          .answered_id = status == 200 ? id : ""};
}

}  // namespace

TEST_CASE("A seed always gives the same faults", "[soak]") {
  for (std::uint64_t seed = 1; seed < 50; ++seed) {
    const auto faults = MakeSchedule({.seed = seed});
    CHECK_FALSE(faults.empty());
    CHECK(faults == MakeSchedule({.seed = seed}));
    CHECK(faults != MakeSchedule({.seed = seed + 1}));
  }
}

TEST_CASE("Broken promises are found in what callers and targets saw",
          "[soak]") {
  Observations seen;
  seen.AddRequest(Answered("r1", 200));
  seen.AddRun({.id = "r1", .instance = "i1", .at = kStart});
  REQUIRE(seen.BrokenPromises({}).empty());

  SECTION("another request's answer") {
    Request request = Answered("r2", 200);
    request.answered_id = "r1";
    seen.AddRun({.id = "r2", .instance = "i1", .at = kStart});
    seen.AddRequest(request);
    CHECK(seen.BrokenPromises({}).size() == 1);
  }
  SECTION("an answer without a run") {
    seen.AddRequest(Answered("r2", 200));
    CHECK(seen.BrokenPromises({}).size() == 1);
  }
  SECTION("a second run, unless it may be repeated") {
    seen.AddRun({.id = "r1", .instance = "i2", .at = kStart});
    CHECK(seen.BrokenPromises({}).size() == 1);
    Request repeatable = Answered("r2", 200);
    repeatable.is_idempotent = true;
    seen.AddRequest(repeatable);
    seen.AddRun({.id = "r2", .instance = "i1", .at = kStart});
    seen.AddRun({.id = "r2", .instance = "i2", .at = kStart});
    CHECK(seen.BrokenPromises({}).size() == 1);
  }
  SECTION("a refusal of a request that ran") {
    seen.AddRequest(Answered("r2", 503));
    CHECK(seen.BrokenPromises({}).empty());
    seen.AddRun({.id = "r2", .instance = "i1", .at = kStart});
    CHECK(seen.BrokenPromises({}).size() == 1);
  }
  SECTION("a withdrawn key after its time") {
    seen.AddWithdrawnKey("k", kStart - seconds(4));
    CHECK(seen.BrokenPromises({}).empty());
    Request late = Answered("r2", 200);
    late.sent_at = kStart + seconds(2);
    seen.AddRequest(late);
    seen.AddRun({.id = "r2", .instance = "i1", .at = kStart + seconds(2)});
    CHECK(seen.BrokenPromises({}).size() == 1);
  }
  SECTION("work for a target that has left") {
    seen.AddLeaving("i1", kStart - seconds(1));
    CHECK(seen.BrokenPromises({}).empty());
    seen.AddRequest(Answered("r2", 200));
    seen.AddRun({.id = "r2", .instance = "i1", .at = kStart + seconds(2)});
    CHECK(seen.BrokenPromises({}).size() == 1);
  }
  SECTION("more of an account's requests than its rate") {
    for (int i = 0; i < 400; ++i) {
      const std::string id = "x" + std::to_string(i);
      seen.AddRequest(Answered(id, 200));
      seen.AddRun({.id = id, .instance = "i1", .at = kStart + milliseconds(i)});
    }
    CHECK(seen.BrokenPromises({}).size() == 1);
  }
  SECTION("more requests for a target than the limit that it has named") {
    seen.AddLimit({.vm = 1,
                   .instance = "i1",
                   .per_second = 3,
                   .span = {.begin = kStart, .end = kStart + seconds(9)}});
    const auto add = [&](int number, int ms) {
      const std::string id = "x" + std::to_string(number);
      seen.AddRequest(Answered(id, 200));
      seen.AddRun(
          {.id = id, .instance = "i1", .at = kStart + milliseconds(ms)});
    };
    for (int i = 0; i < 23; ++i) {
      add(i, 3'100 + 10 * i);
      add(100 + i, 100);  // before it counts
    }
    CHECK(seen.BrokenPromises({}).empty());
    add(23, 6'000);
    CHECK(seen.BrokenPromises({}).size() == 1);
  }
  SECTION("a request that reaches an evacuated data centre") {
    seen.AddEvacuation({.instances = {"i1-"},
                        .span = {.begin = kStart, .end = kStart + seconds(5)}});
    seen.AddRun({.id = "r1", .instance = "i1-1", .at = kStart - seconds(1)});
    seen.AddRun({.id = "r1", .instance = "i2-1", .at = kStart + seconds(1)});
    seen.AddRun({.id = "r1", .instance = "i1-1", .at = kStart + seconds(6)});
    const std::size_t before = seen.BrokenPromises({}).size();
    seen.AddRun({.id = "r1", .instance = "i1-2", .at = kStart + seconds(1)});
    CHECK(seen.BrokenPromises({}).size() == before + 1);
  }

  SECTION("more requests for a cold target than its rate") {
    seen.AddColdTime({.instance = "i1",
                      .per_second = 2,
                      .span = {.begin = kStart, .end = kStart + seconds(9)}});
    const auto add = [&](int number, int ms) {
      const std::string id = "x" + std::to_string(number);
      seen.AddRun(
          {.id = id, .instance = "i1", .at = kStart + milliseconds(ms)});
    };
    for (int i = 0; i < 11; ++i) {
      add(i, 3'100 + 10 * i);
      add(100 + i, 100);  // it was warm in the second before
    }
    CHECK(seen.BrokenPromises({}).empty());
    add(23, 4'000);
    CHECK(seen.BrokenPromises({}).size() == 1);
  }
  SECTION("an accepted request that a planned stop cut off") {
    Request cut = Answered("r2", 0);
    seen.AddRequest(cut);
    seen.AddRun({.id = "r2", .instance = "i1", .at = kStart});
    CHECK(seen.BrokenPromises({}).empty());
    seen.AddPlannedStop(
        0, {.begin = kStart - seconds(1), .end = kStart + seconds(6)});
    CHECK(seen.BrokenPromises({}).size() == 1);
  }
  SECTION("requests that are owed and not served") {
    const Span span{.begin = kStart, .end = kStart + seconds(1)};
    CHECK(seen.ServedFraction(span, {}) == 1.0);
    seen.AddRequest(Answered("r2", 503));
    CHECK(seen.ServedFraction(span, {}) == 0.5);
    // Below the account's rate a 429 is owed, above it is not.
    seen.AddRequest(Answered("r3", 429));
    CHECK(seen.ServedFraction(span, {}) == Approx(1.0 / 3));
    CHECK(seen.ServedFraction(span, {.account_rate = 2}) == 0.5);
  }
}
