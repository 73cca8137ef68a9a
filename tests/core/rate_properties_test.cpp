// Rate and burst of an account across the whole fleet under random faults.
#include <catch2/catch.hpp>

#include "fakes/fake_fleet.h"
#include "fakes/seeds.h"

namespace {

using lycheewell::fakes::FakeFleet;
using lycheewell::fakes::FakeFleetOptions;
using std::chrono::milliseconds;

// Starts or ends one random fault.
void InjectFault(FakeFleet& fleet) {
  const std::size_t daemon = fleet.Random(fleet.size());
  const std::size_t other =
      (daemon + 1 + fleet.Random(fleet.size() - 1)) % fleet.size();
  switch (fleet.Random(11)) {
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
      fleet.CutBetween(daemon, other, true);
      return;
    case 7:
      fleet.CutBetween(daemon, other, false);
      return;
    case 8:
      fleet.CutFromLog(daemon, fleet.Random(2) == 0);
      return;
    case 9:
      fleet.SetLogDown(fleet.Random(3) == 0);
      return;
    default:
      fleet.Leave(daemon);
      return;
  }
}

double RunSchedule(std::uint64_t seed) {
  FakeFleet fleet({.seed = seed,
                   .daemons = 3 + seed % 4,
                   .rate = 20.0 + static_cast<double>(seed % 7) * 30,
                   .burst = 1.0 + static_cast<double>(seed % 13),
                   .loss = seed % 3 == 0 ? 0.1 : 0,
                   .duplication = seed % 2 == 0 ? 0.1 : 0,
                   .long_delay = seed % 5 == 0 ? 0.1 : 0,
                   .clocks_drift = true});
  fleet.Run(milliseconds(400));
  for (int round = 0; round < 12; ++round) {
    if (seed % 10 != 0) {
      InjectFault(fleet);
    }
    const std::uint64_t steps = 5 + fleet.Random(60);
    for (std::uint64_t step = 0; step < steps; ++step) {
      const std::uint64_t requests = fleet.Random(6);
      for (std::uint64_t request = 0; request < requests; ++request) {
        fleet.Request(fleet.Random(fleet.size()));
      }
      fleet.Run(milliseconds(10));
    }
  }
  return fleet.overshoot();
}

TEST_CASE("no sequence of faults lets an account exceed rate and burst",
          "[properties][rate]") {
  for (const std::uint64_t seed : lycheewell::fakes::Seeds()) {
    INFO("replay with LYCHEEWELL_SEED=" << seed);
    REQUIRE(RunSchedule(seed) == 0);
  }
}

// A fleet without faults; SendSteadyLoad sends it 80% of the account's rate.
FakeFleet MakeSteadyFleet() {
  return FakeFleet({.seed = 7, .daemons = 6, .rate = 200, .burst = 40});
}

void SendSteadyLoad(FakeFleet& fleet, int duration_ms) {
  double due = 0;
  for (int step = 0; step < duration_ms / 5; ++step) {
    due += 0.8 * 200 * 0.005;
    while (due >= 1) {
      fleet.Request(fleet.Random(fleet.size()));
      due -= 1;
    }
    fleet.Run(milliseconds(5));
  }
}

TEST_CASE("an account within its rate is served at every daemon", "[rate]") {
  FakeFleet fleet = MakeSteadyFleet();
  fleet.Run(milliseconds(1000));
  SendSteadyLoad(fleet, 5'000);
  const int settled_refusals = fleet.wrongful_refusals();
  CHECK(settled_refusals == 0);

  SECTION("over a minute fewer than 1 in 1,000 are refused wrongly") {
    SendSteadyLoad(fleet, 60'000);
    CHECK(fleet.wrongful_refusals() * 1000 < fleet.admissions());
    CHECK(fleet.overshoot() == 0);
  }

  SECTION("a log outage of an hour causes no refusals") {
    fleet.SetLogDown(true);
    fleet.Run(std::chrono::minutes(59));
    SendSteadyLoad(fleet, 60'000);
    CHECK(fleet.wrongful_refusals() == settled_refusals);
    CHECK(fleet.overshoot() == 0);
  }

  SECTION("other daemons use a crashed daemon's shares within 6 s") {
    fleet.Crash(0);
    SendSteadyLoad(fleet, 6'000);
    const int takeover_refusals = fleet.wrongful_refusals();
    SendSteadyLoad(fleet, 10'000);
    CHECK(fleet.wrongful_refusals() == takeover_refusals);
    CHECK(fleet.overshoot() == 0);
  }

  SECTION("a leaving daemon causes no refusals") {
    fleet.Leave(1);
    SendSteadyLoad(fleet, 1'000);
    fleet.Crash(1);
    SendSteadyLoad(fleet, 9'000);
    CHECK(fleet.wrongful_refusals() == settled_refusals);
    CHECK(fleet.overshoot() == 0);
  }

  SECTION("a resumed holder does not use shares that it lost") {
    fleet.Pause(2);
    SendSteadyLoad(fleet, 10'000);
    fleet.Resume(2);
    SendSteadyLoad(fleet, 5'000);
    CHECK(fleet.overshoot() == 0);
  }
}

// Sends every daemon far more requests than the rate allows, so that no token
// stays unspent.
void SendOverload(FakeFleet& fleet, int duration_ms) {
  for (int time_ms = 0; time_ms < duration_ms; time_ms += 5) {
    for (std::size_t daemon = 0; daemon < fleet.size(); ++daemon) {
      fleet.Request(daemon);
    }
    fleet.Run(milliseconds(5));
  }
}

TEST_CASE("under a flood no token is spent twice", "[rate]") {
  FakeFleet fleet({.seed = 5,
                   .daemons = 5,
                   .rate = 200,
                   .burst = 40,
                   .clocks_drift = true});
  fleet.Run(milliseconds(1000));
  SendOverload(fleet, 2'000);

  SECTION("an isolated holder stops before others use its shares") {
    for (std::size_t other = 0; other < fleet.size(); ++other) {
      if (other != 2) {
        fleet.CutBetween(2, other, true);
      }
    }
    fleet.CutFromLog(2, true);
    SendOverload(fleet, 10'000);
    CHECK(fleet.overshoot() == 0);
  }
  SECTION("a resumed holder does not use its expired lease") {
    fleet.Pause(2);
    SendOverload(fleet, 10'000);
    fleet.Resume(2);
    SendOverload(fleet, 100);
    CHECK(fleet.overshoot() == 0);
  }
  SECTION("fast clocks add no tokens over two minutes") {
    SendOverload(fleet, 120'000);
    CHECK(fleet.overshoot() == 0);
  }
}

}  // namespace
