// At-most-once execution under random schedules of crashes, restarts, pauses,
// evictions, partitions and departures.
#include <catch2/catch.hpp>

#include "fakes/fake_fleet.h"
#include "fakes/seeds.h"

namespace {

using lycheewell::fakes::FakeFleet;
using std::chrono::milliseconds;

void InjectFault(FakeFleet& fleet) {
  const std::size_t daemon = fleet.Random(fleet.size());
  const std::size_t other =
      (daemon + 1 + fleet.Random(fleet.size() - 1)) % fleet.size();
  switch (fleet.Random(10)) {
    case 0:
      fleet.Crash(daemon);
      return;
    case 1:
    case 2:
      fleet.Restart(daemon);
      return;
    case 3:
      fleet.Pause(daemon);
      return;
    case 4:
    case 5:
      fleet.Resume(daemon);
      return;
    case 6:
      fleet.Evict(daemon);
      return;
    case 7:
      fleet.CutBetween(daemon, other, fleet.Random(2) == 0);
      return;
    case 8:
      fleet.CutFromLog(daemon, fleet.Random(2) == 0);
      return;
    default:
      fleet.Leave(daemon);
      return;
  }
}

int RunSchedule(std::uint64_t seed) {
  FakeFleet fleet({.seed = seed,
                   .daemons = 3 + seed % 3,
                   .loss = seed % 3 == 0 ? 0.1 : 0,
                   .duplication = seed % 2 == 0 ? 0.2 : 0,
                   .long_delay = seed % 5 == 0 ? 0.1 : 0,
                   .has_attempts = true});
  fleet.Run(milliseconds(500));
  for (int round = 0; round < 15; ++round) {
    InjectFault(fleet);
    const std::uint64_t steps = 1 + fleet.Random(20);
    for (std::uint64_t step = 0; step < steps; ++step) {
      const std::string key = "key-" + std::to_string(fleet.Random(6));
      fleet.Attempt(fleet.Random(fleet.size()), key);
      fleet.Run(milliseconds(10));
    }
  }
  return fleet.most_dispatches();
}

TEST_CASE("no schedule of faults dispatches a key twice",
          "[properties][attempts]") {
  for (const std::uint64_t seed : lycheewell::fakes::Seeds()) {
    INFO("replay with LYCHEEWELL_SEED=" << seed);
    REQUIRE(RunSchedule(seed) <= 1);
  }
}

TEST_CASE("a healthy fleet dispatches each key once", "[attempts]") {
  FakeFleet fleet({.seed = 3, .daemons = 5, .has_attempts = true});
  fleet.Run(milliseconds(2000));
  for (int number = 0; number < 200; ++number) {
    fleet.Attempt(fleet.Random(5), "key-" + std::to_string(number));
    fleet.Run(milliseconds(10));
  }
  fleet.Run(milliseconds(100));
  CHECK(fleet.dispatches() == 200);

  SECTION("resends through other daemons are not dispatched again") {
    for (int number = 0; number < 200; ++number) {
      fleet.Attempt(fleet.Random(5), "key-" + std::to_string(number));
      fleet.Run(milliseconds(10));
    }
    CHECK(fleet.dispatches() == 200);
  }

  SECTION("new keys are dispatched after a recorder has restarted") {
    fleet.Crash(0);
    fleet.Run(milliseconds(1000));
    fleet.Restart(0);
    fleet.Run(milliseconds(1000));
    for (int number = 0; number < 400; ++number) {
      fleet.Attempt(fleet.Random(5), "key-" + std::to_string(number));
      fleet.Run(milliseconds(10));
    }
    fleet.Run(milliseconds(100));
    CHECK(fleet.most_dispatches() == 1);
    CHECK(fleet.dispatches() == 400);
  }
}

}  // namespace
