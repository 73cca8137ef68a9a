#include "lycheewell/core/overload/named_limit.h"

#include <catch2/catch.hpp>
#include <deque>
#include <random>

#include "lycheewell/core/routing/limit_throttle.h"
#include "lycheewell/core/routing/target_selector.h"

namespace {
using namespace lycheewell::core;
using overload::NamedLimit;
using routing::LimitThrottle;
using routing::TargetSelector;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Instant kStart{seconds(1000)};
constexpr int kImportant = 10;
constexpr int kOrdinary = 20;
constexpr int kUnimportant = 30;

struct Tally {
  int offered = 0;
  int admitted = 0;
  double fraction() const {
    return static_cast<double>(admitted) / std::max(1, offered);
  }
};

// Offers `per_second` requests of each rank for `time` and returns the highest
// number that was admitted in any four seconds.
int Offer(NamedLimit& limit, Instant& now, Duration time,
          const std::map<int, double>& per_second,
          std::map<int, Tally>& tallies) {
  constexpr Duration kWindow = seconds(4);
  constexpr Duration kStep = milliseconds(1);
  std::map<int, double> due;
  std::deque<Instant> admitted;
  std::size_t most = 0;
  for (const Instant end = now + time; now < end; now += kStep) {
    for (const auto& [rank, rate] : per_second) {
      due[rank] += rate / 1000;
      for (; due[rank] >= 1; due[rank] -= 1) {
        ++tallies[rank].offered;
        if (limit.Admit(rank, now)) {
          ++tallies[rank].admitted;
          admitted.push_back(now);
        }
      }
    }
    while (!admitted.empty() && now - admitted.front() >= kWindow) {
      admitted.pop_front();
    }
    most = std::max(most, admitted.size());
  }
  return static_cast<int>(most);
}

// What a target with this limit accepts in four seconds.
int Allowed(double per_second) {
  return static_cast<int>(1.5 * 4 * per_second + 5);
}

}  // namespace

TEST_CASE("A target gets no more than the rate that it has named",
          "[core][limit]") {
  NamedLimit limit;
  Instant now = kStart;
  std::map<int, Tally> tallies;

  SECTION("and all requests before it has named any") {
    Offer(limit, now, seconds(1), {{kOrdinary, 500}}, tallies);
    CHECK(tallies[kOrdinary].fraction() == 1.0);
  }
  SECTION("whatever the rate and the number of requests") {
    for (const double rate : {0.0, 0.02, 0.4, 1.0, 3.5, 32.7, 900.0}) {
      for (const double offered : {1.0, 40.0, 2000.0}) {
        limit.Reset();
        limit.OnAnswer(rate, now, now);
        tallies.clear();
        const int most = Offer(
            limit, now, seconds(20),
            {{kImportant, offered / 2}, {kUnimportant, offered / 2}}, tallies);
        CHECK(most <= Allowed(rate));
        const int admitted =
            tallies[kImportant].admitted + tallies[kUnimportant].admitted;
        CHECK(admitted >= 0.9 * std::min(rate, offered) * 20 - 1);
      }
    }
  }
  SECTION("which is not stored up while nobody sends") {
    limit.OnAnswer(10.0, now, now);
    now += seconds(3600);
    CHECK(Offer(limit, now, seconds(8), {{kOrdinary, 500}}, tallies) <=
          Allowed(10));
  }
  SECTION("of which requests that were not sent take nothing") {
    limit.OnAnswer(1.0, now, now);
    REQUIRE(limit.Admit(kOrdinary, now));
    REQUIRE_FALSE(limit.Admit(kOrdinary, now));
    limit.Return();
    CHECK(limit.Admit(kOrdinary, now));
  }
}

TEST_CASE("The latest answer of a target decides on its limit",
          "[core][limit]") {
  NamedLimit limit;
  Instant now = kStart;
  const auto after = [&](int ms) { return now + milliseconds(ms); };
  REQUIRE(limit.OnAnswer(30.0, now, after(100)));

  SECTION("a lower one counts at once") {
    CHECK_FALSE(limit.OnAnswer(10.0, after(-50), after(110)));
    CHECK(limit.per_second() == 10.0);
    CHECK(limit.OnAnswer(10.0, after(690), after(700)));
  }
  SECTION("a higher one only if its request was sent later") {
    CHECK_FALSE(limit.OnAnswer(60.0, after(50), after(110)));
    CHECK(limit.per_second() == 30.0);
    limit.OnAnswer(60.0, after(100), after(200));
    CHECK(limit.per_second() == 60.0);
    CHECK(limit.OnAnswer(60.0, after(690), after(700)));
  }
  SECTION("and so does one without a limit") {
    CHECK_FALSE(limit.OnAnswer(std::nullopt, after(50), after(110)));
    CHECK(limit.per_second() == 30.0);
    CHECK(limit.OnAnswer(std::nullopt, after(690), after(700)));
    CHECK_FALSE(limit.per_second());
  }
  SECTION("a small change is in force, but not noticeable") {
    CHECK_FALSE(limit.OnAnswer(28.5, after(690), after(700)));
    CHECK(limit.per_second() == 28.5);
  }
  SECTION("one that goes up and down is announced now and then") {
    int announced = 0;
    for (int ms = 200; ms < 10'200; ms += 10) {
      const bool is_high = ms / 10 % 2 == 0;
      announced += limit.OnAnswer(is_high ? std::optional(90.0) : std::nullopt,
                                  after(ms - 5), after(ms));
    }
    CHECK(announced > 0);
    CHECK(announced <= 20);
  }
  SECTION("with a limit of zero, requests still show when it ends") {
    limit.OnAnswer(0.0, after(110), after(200));
    int admitted = 0;
    for (int second = 1; second <= 60; ++second) {
      admitted += limit.Admit(kOrdinary, now + seconds(second)) ? 1 : 0;
    }
    CHECK(admitted >= 3);
    CHECK(admitted <= 8);
  }
  SECTION("another start of the target has named none") {
    limit.Reset();
    CHECK_FALSE(limit.per_second());
  }
}

TEST_CASE("What peers remember holds until the target answers",
          "[core][limit]") {
  NamedLimit limit;
  REQUIRE(limit.Recall(20.0, kStart));
  CHECK(limit.per_second() == 20.0);

  SECTION("the lowest of what they say") {
    CHECK_FALSE(limit.Recall(50.0, kStart));
    limit.Recall(5.0, kStart);
    CHECK(limit.per_second() == 5.0);
  }
  SECTION("an answer lifts it") {
    limit.OnAnswer(std::nullopt, kStart + seconds(1), kStart + seconds(2));
    CHECK_FALSE(limit.per_second());
    CHECK_FALSE(limit.Recall(20.0, kStart + seconds(3)));
    CHECK_FALSE(limit.per_second());
  }
}

TEST_CASE("The least important requests are refused beyond a limit",
          "[core][limit]") {
  NamedLimit limit;
  Instant now = kStart;
  limit.OnAnswer(100.0, now, now);
  std::map<int, Tally> tallies;

  SECTION("first of all") {
    Offer(limit, now, seconds(20),
          {{kImportant, 50}, {kOrdinary, 100}, {kUnimportant, 50}}, tallies);
    CHECK(tallies[kImportant].fraction() > 0.95);
    CHECK(tallies[kOrdinary].fraction() > 0.3);
    CHECK(tallies[kUnimportant].fraction() < 0.3);
  }
  SECTION("but never all of them") {
    Offer(limit, now, seconds(20), {{kImportant, 400}, {kUnimportant, 100}},
          tallies);
    CHECK(tallies[kUnimportant].admitted > 20);
    CHECK(tallies[kImportant].admitted > 0.8 * 100 * 20);
  }
}

// A fleet of any size in front of one target: most refusals would be for
// nothing, and each costs the target's daemon a message.
TEST_CASE("Daemons learn how often to try a limited target", "[core][limit]") {
  for (const int daemons : {1, 15, 12'000}) {
    NamedLimit limit;
    limit.OnAnswer(30.0, kStart, kStart);
    std::vector<LimitThrottle> throttles(static_cast<std::size_t>(daemons));
    std::mt19937_64 generator(7);
    RandomSource random([&] { return generator(); });
    int refused = 0;
    int admitted = 0;
    Instant now = kStart;
    // 12,000 requests a second in all; the last 20 of 80 seconds count.
    for (int ms = 0; ms < 80'000; ++ms, now += milliseconds(1)) {
      for (int i = 0; i < 12; ++i) {
        LimitThrottle& throttle =
            throttles[random() % static_cast<std::uint64_t>(daemons)];
        if (!throttle.Offer(kOrdinary, now, random)) {
          continue;
        }
        const bool is_counted = ms >= 60'000;
        if (limit.Admit(kOrdinary, now)) {
          throttle.RecordAdmitted(kOrdinary, now);
          admitted += is_counted ? 1 : 0;
        } else {
          throttle.RecordRefused(kOrdinary, limit.refusal_backoff(), now);
          refused += is_counted ? 1 : 0;
        }
      }
    }
    CAPTURE(daemons);
    CHECK(admitted > 0.8 * 30 * 20);
    CHECK(refused < 200 * 20);
  }
}

// One of two targets takes only a few requests a second.
TEST_CASE("Work goes to the targets without a limit", "[core][limit]") {
  TargetSelector selector;
  std::mt19937_64 generator(7);
  RandomSource random([&] { return generator(); });
  Instant now = kStart;
  for (const std::string member : {"limited", "free"}) {
    selector.Put(
        member, {.instance = "i-" + member, .service = "s", .slots = 100}, now);
    selector.RecordLoad(
        member,
        {.mean_work = milliseconds(100),
         .limit_per_second =
             member == "limited" ? std::optional(5.0) : std::nullopt},
        now);
  }

  SECTION("once it has refused some") {
    int limited = 0;
    for (int i = 0; i < 1000; ++i) {
      if (selector.Choose("s", {}, now, random, {.rank = kOrdinary})->member ==
          "limited") {
        ++limited;
        selector.RecordOverLimit("limited", kOrdinary, milliseconds(500), now);
      }
    }
    CHECK(limited <= 2);
    CHECK(selector.HasLimitedTarget("s"));

    SECTION("but more important ones still go there") {
      CHECK(selector.Choose("s", {"free"}, now, random, {.rank = kImportant}));
    }
    SECTION("and nobody gets what no other target takes") {
      CHECK_FALSE(
          selector.Choose("s", {"free"}, now, random, {.rank = kOrdinary}));
    }
    SECTION("until it is tried again") {
      CHECK(selector.Choose("s", {"free"}, now + seconds(60), random,
                            {.rank = kOrdinary}));
    }
    SECTION("or its limit ends") {
      selector.RecordLoad("limited", {.mean_work = milliseconds(100)}, now);
      CHECK(selector.Choose("s", {"free"}, now, random, {.rank = kOrdinary}));
      CHECK_FALSE(selector.HasLimitedTarget("s"));
    }
  }
  SECTION("at once, if one with a limit has refused the request") {
    for (int i = 0; i < 100; ++i) {
      CHECK(selector
                .Choose("s", {}, now, random,
                        {.rank = kOrdinary, .prefers_unlimited = true})
                ->member == "free");
    }
  }
  SECTION("and the capacity of the service is what they take") {
    // 100 slots, and 5 requests a second of 0.1 s each.
    CHECK(selector.SlotsByService()["s"] == Approx(100.5));
  }
}
