#include <catch2/catch.hpp>
#include <map>
#include <random>

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

    SECTION("and a host may come in capitals or with a port") {
      CHECK(table.FindRoute("A.Example:8080", "/fees/1")->name == "fees");
    }
  }
  SECTION("or none, where no prefix begins its path") {
    CHECK(table.FindRoute("b.example", "/y/") == nullptr);
    CHECK(table.FindRoute("b.example", "/x") == nullptr);
    CHECK(table.FindRoute("c.example", "/") == nullptr);
    CHECK(table.FindRoute("a.example", "") == nullptr);
  }
  SECTION("and its account by any of the account's keys") {
    CHECK(table.FindAccountByKey("k2")->name == "club");
    CHECK(table.FindAccountByKey("k3") == nullptr);
  }
}

TEST_CASE("Destinations get their shares", "[core][routing]") {
  const std::vector<Destination> destinations = {{.service = "a", .weight = 90},
                                                 {.service = "b", .weight = 10},
                                                 {.service = "c", .weight = 0}};
  // Daemons start at different positions; each must come close in few turns.
  for (std::uint64_t seed = 0; seed < 50; ++seed) {
    RandomSource random = Seeded(seed);
    WeightedTurns turns;
    std::map<std::size_t, int> counts;
    for (int i = 0; i < 200; ++i) {
      ++counts[turns.Next(destinations, random)];
    }
    CHECK(counts[1] >= 18);
    CHECK(counts[1] <= 22);
    CHECK(counts[2] == 0);
  }
}

TEST_CASE("A target is chosen by its expected wait", "[core][routing]") {
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
    selector.Report(member, {.mean_work = milliseconds(100)}, now);
  };
  put("here", Distance::kSameVm);
  put("near", Distance::kSameDataCentre);
  put("far", Distance::kOtherDataCentre);

  SECTION("the nearest one while all are calm") {
    CHECK(selector.Choose("s", {}, now, random)->member == "here");

    SECTION("and another one once it is full") {
      selector.Report(
          "here", {.running = 10, .waiting = 5, .mean_work = milliseconds(100)},
          now);
      CHECK(selector.Choose("s", {}, now, random)->member == "near");
    }
    SECTION("also when only this daemon knows what it has sent there") {
      for (int i = 0; i < 12; ++i) {
        selector.RecordSent("here");
      }
      CHECK(selector.Choose("s", {}, now, random)->member == "near");
    }
    SECTION("and its wait is told when all are full") {
      for (const char* member : {"here", "near", "far"}) {
        selector.Report(
            member,
            {.running = 10, .waiting = 9, .mean_work = milliseconds(100)}, now);
      }
      CHECK(selector.Choose("s", {}, now, random)->expected_wait ==
            milliseconds(100));
    }
  }
  SECTION("never one that leaves, is out of reach or was tried") {
    selector.Put("here",
                 {.instance = "here-1",
                  .service = "s",
                  .slots = 10,
                  .accepts_work = false},
                 now);
    selector.SetReachable("near", false);
    CHECK(selector.Choose("s", {}, now, random)->member == "far");
    CHECK_FALSE(selector.Choose("s", {"far"}, now, random).has_value());
    CHECK(selector.CountOf("s") == 2);
  }
  SECTION("and a target that joins another service leaves the first one") {
    selector.Put("here", {.instance = "here-2", .service = "t", .slots = 10},
                 now);
    CHECK(selector.Choose("t", {}, now, random)->instance == "here-2");
    CHECK(selector.CountOf("s") == 2);
  }
}
