#include <catch2/catch.hpp>
#include <map>
#include <random>

#include "lycheewell/core/routing/failure_rate.h"
#include "lycheewell/core/routing/route_table.h"
#include "lycheewell/core/routing/target_selector.h"

namespace {
using lycheewell::core::Duration;
using lycheewell::core::Instant;
using lycheewell::core::RandomSource;
using namespace lycheewell::core::routing;
using namespace lycheewell::core::manifest;
using std::chrono::milliseconds;

RandomSource Seeded(std::uint64_t seed) {
  return [generator = std::mt19937_64(seed)]() mutable { return generator(); };
}

Manifest TwoHosts() {
  return {
      .version = 7,
      .routes = {{.name = "all", .host = "a.example", .path_prefix = "/"},
                 {.name = "fees", .host = "a.example", .path_prefix = "/fees/"},
                 {.name = "late",
                  .host = "a.example",
                  .path_prefix = "/fees/late/"},
                 {.name = "other", .host = "b.example", .path_prefix = "/x/"}},
      .accounts = {{.name = "club", .keys = {"k1", "k2"}}}};
}

}  // namespace

TEST_CASE("A request finds its route", "[core][routing]") {
  const RouteTable table(TwoHosts());

  SECTION("by host and the longest prefix of its path") {
    CHECK(table.FindRoute("a.example", "/fees/late/1")->name == "late");
    CHECK(table.FindRoute("a.example", "/fees/1")->name == "fees");
    CHECK(table.FindRoute("a.example", "/feesabc")->name == "all");

    SECTION("and the host matches in any case and with a port") {
      CHECK(table.FindRoute("A.Example:8080", "/fees/1")->name == "fees");
    }
  }
  SECTION("no route is found where no prefix matches the path") {
    CHECK(table.FindRoute("b.example", "/y/") == nullptr);
    CHECK(table.FindRoute("b.example", "/x") == nullptr);
    CHECK(table.FindRoute("c.example", "/") == nullptr);
    CHECK(table.FindRoute("a.example", "") == nullptr);
  }
  SECTION("an account is found by any of its keys") {
    CHECK(table.FindAccountByKey("k2")->name == "club");
    CHECK(table.FindAccountByKey("k3") == nullptr);
  }
}

TEST_CASE("Destinations get requests in proportion to their weights",
          "[core][routing]") {
  const std::vector<Destination> destinations = {{.service = "a", .weight = 90},
                                                 {.service = "b", .weight = 10},
                                                 {.service = "c", .weight = 0}};
  // The start position in the cycle depends on the seed. From each of them the
  // shares must be close to the weights after 200 requests.
  for (std::uint64_t seed = 0; seed < 50; ++seed) {
    RandomSource random = Seeded(seed);
    WeightedRoundRobin round_robin;
    std::map<std::size_t, int> counts;
    for (int i = 0; i < 200; ++i) {
      ++counts[round_robin.Next(destinations, random)];
    }
    CHECK(counts[1] >= 18);
    CHECK(counts[1] <= 22);
    CHECK(counts[2] == 0);
  }
}

// Guards against a gray failure: a target reports itself healthy but answers
// part of its requests with immediate errors. It then looks idle and would
// attract requests unless the outcomes of its runs count.
TEST_CASE("A failing target gets few requests while others have capacity",
          "[core][routing][load]") {
  const Instant now = Instant() + std::chrono::hours(1);
  RandomSource random = Seeded(4);
  TargetSelector selector;
  const auto put = [&](const std::string& member, double failed_fraction,
                       milliseconds work) {
    selector.Put(member,
                 {.instance = member + "-1", .service = "s", .slots = 50}, now);
    selector.RecordLoad(
        member,
        {.running = 10, .mean_work = work, .failed_fraction = failed_fraction},
        now);
  };
  const auto fraction_of = [&](const std::string& member) {
    int chosen = 0;
    for (int i = 0; i < 1000; ++i) {
      chosen += selector.Choose("s", {}, now, random)->member == member ? 1 : 0;
    }
    return chosen / 1000.0;
  };
  put("healthy-a", 0.002, milliseconds(50));
  put("healthy-b", 0.004, milliseconds(60));

  SECTION("a target that answers with errors") {
    put("degraded", 0.4, milliseconds(5));
    CHECK(fraction_of("degraded") < 0.05);
  }
  SECTION("a target that is several times slower") {
    put("degraded", 0, milliseconds(400));
    CHECK(fraction_of("degraded") < 0.05);

    SECTION("and it still gets occasional requests") {
      CHECK(fraction_of("degraded") > 0);
    }
  }
  SECTION("all targets get requests when all fail equally") {
    put("healthy-a", 0.5, milliseconds(50));
    put("healthy-b", 0.5, milliseconds(50));
    put("degraded", 0.5, milliseconds(50));
    CHECK(fraction_of("healthy-a") > 0.2);
    CHECK(fraction_of("degraded") > 0.2);
  }
}

TEST_CASE("A target's failure rate decays", "[core][routing]") {
  const Instant now = Instant() + std::chrono::hours(1);
  FailureRate failures;
  for (int i = 0; i < 40; ++i) {
    failures.Record(i % 2 == 0, now);
  }
  CHECK(failures.Fraction(now) == Approx(0.5).margin(0.1));

  SECTION("with successful runs") {
    for (int i = 0; i < 60; ++i) {
      failures.Record(false, now);
    }
    CHECK(failures.Fraction(now) < 0.05);
  }
  SECTION("while it gets no requests") {
    CHECK(failures.Fraction(now + std::chrono::seconds(10)) < 0.05);
  }
  SECTION("at once when the target is replaced") {
    failures.Reset();
    CHECK(failures.Fraction(now) == 0);
  }
}

TEST_CASE("A target is chosen by its expected cost", "[core][routing]") {
  const Instant now = Instant() + std::chrono::hours(1);
  RandomSource random = Seeded(1);
  TargetSelector selector;
  const auto put = [&](const std::string& member, Distance distance) {
    selector.Put(member,
                 {.instance = member + "-1",
                  .service = "s",
                  .distance = distance,
                  .slots = 10},
                 now);
    selector.RecordLoad(member, {.mean_work = milliseconds(100)}, now);
  };
  put("here", Distance::kSameVm);
  put("near", Distance::kSameDataCentre);
  put("far", Distance::kOtherDataCentre);

  SECTION("the nearest target while all have capacity") {
    CHECK(selector.Choose("s", {}, now, random)->member == "here");

    SECTION("the next nearest target once the nearest is full") {
      selector.RecordLoad(
          "here", {.running = 10, .waiting = 5, .mean_work = milliseconds(100)},
          now);
      CHECK(selector.Choose("s", {}, now, random)->member == "near");
    }
    SECTION("requests sent since the last report count as load") {
      for (int i = 0; i < 12; ++i) {
        selector.RecordSent("here");
      }
      CHECK(selector.Choose("s", {}, now, random)->member == "near");
    }
    SECTION("the choice carries the expected wait when all are full") {
      for (const char* member : {"here", "near", "far"}) {
        selector.RecordLoad(
            member,
            {.running = 10, .waiting = 9, .mean_work = milliseconds(100)}, now);
      }
      CHECK(selector.Choose("s", {}, now, random)->expected_wait ==
            milliseconds(100));
    }
  }
  SECTION("a new target, of whose work nothing is known, is not a slow one") {
    for (const char* member : {"near", "far"}) {
      selector.RecordLoad(member, {.mean_work = milliseconds(5)}, now);
    }
    selector.Put("here",
                 {.instance = "here-2",
                  .service = "s",
                  .distance = Distance::kSameVm,
                  .slots = 10},
                 now);
    CHECK(selector.Choose("s", {}, now, random)->member == "here");
  }
  SECTION("draining, unreachable and excluded targets are not chosen") {
    selector.Put("here",
                 {.instance = "here-1",
                  .service = "s",
                  .slots = 10,
                  .accepts_work = false},
                 now);
    selector.SetReachable("near", false);
    CHECK(selector.Choose("s", {}, now, random)->member == "far");
    CHECK_FALSE(selector.Choose("s", {"far"}, now, random).has_value());
    CHECK(selector.CountAcceptingTargets("s") == 2);
  }
  SECTION("a target that moves to another service leaves the first one") {
    selector.Put("here", {.instance = "here-2", .service = "t", .slots = 10},
                 now);
    CHECK(selector.Choose("t", {}, now, random)->instance == "here-2");
    CHECK(selector.CountAcceptingTargets("s") == 2);
  }
}

// A link between two data centres narrows: what is sent over it waits, and only
// its sender can see that.
TEST_CASE("Requests go around a path that delays them",
          "[core][routing][load]") {
  RandomSource random = Seeded(4);
  constexpr Instant kNow = Instant() + std::chrono::hours(1);
  TargetSelector selector;
  for (const char* member : {"near", "far"}) {
    selector.Put(
        member,
        {.instance = member,
         .service = "claims",
         .distance = std::string(member) == "near" ? Distance::kSameDataCentre
                                                   : Distance::kOtherDataCentre,
         .slots = 20,
         .accepts_work = true},
        kNow);
    selector.SetReachable(member, true);
  }
  const auto count_near = [&](std::size_t body_bytes) {
    int near = 0;
    for (int i = 0; i < 1000; ++i) {
      near += selector.Choose("claims", {}, kNow, random,
                              {.body_bytes = body_bytes})
                          ->member == "near"
                  ? 1
                  : 0;
    }
    return near;
  };
  REQUIRE(count_near(0) > 950);

  SECTION("to another data centre") {
    selector.SetPathDelay("near", milliseconds(300));
    CHECK(count_near(0) < 50);

    SECTION("and back once the delay has gone") {
      selector.SetPathDelay("near", {});
      CHECK(count_near(0) > 950);
    }
  }
  SECTION("the delay counts as waiting where no other target is left") {
    selector.SetPathDelay("near", milliseconds(300));
    const auto choice = selector.Choose("claims", {"far"}, kNow, random);
    CHECK(choice->expected_wait >= milliseconds(300));
  }
  SECTION("large bodies stay in the data centre for longer") {
    selector.SetPathDelay("near", milliseconds(30));
    CHECK(count_near(0) < 50);
    CHECK(count_near(200'000) > 950);
  }
}
