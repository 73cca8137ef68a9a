// Rate and burst over the whole fleet, under random schedules of faults.
#include <catch2/catch.hpp>

#include "fakes/fake_fleet.h"
#include "fakes/seeds.h"

namespace {

using lycheewell::fakes::FakeFleet;
using lycheewell::fakes::FakeFleetOptions;
using std::chrono::milliseconds;

// One random fault, or the end of one.
void Disturb(FakeFleet& fleet) {
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
      Disturb(fleet);
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

TEST_CASE("no schedule of faults lets an account exceed rate and burst",
          "[properties][rate]") {
  for (const std::uint64_t seed : lycheewell::fakes::Seeds()) {
    INFO("replay with LYCHEEWELL_SEED=" << seed);
    REQUIRE(RunSchedule(seed) == 0);
  }
}

// A fleet that has settled and then serves steady traffic at 80% of the rate.
FakeFleet MakeSteadyFleet() {
  return FakeFleet({.seed = 7, .daemons = 6, .rate = 200, .burst = 40});
}

void SendSteadily(FakeFleet& fleet, int milliseconds_long) {
  double due = 0;
  for (int step = 0; step < milliseconds_long / 5; ++step) {
    due += 0.8 * 200 * 0.005;
    while (due >= 1) {
      fleet.Request(fleet.Random(fleet.size()));
      due -= 1;
    }
    fleet.Run(milliseconds(5));
  }
}

TEST_CASE("an account inside its rate is served at any daemon", "[rate]") {
  FakeFleet fleet = MakeSteadyFleet();
  fleet.Run(milliseconds(1000));
  SendSteadily(fleet, 5'000);
  const int settled_refusals = fleet.wrongful_refusals();
  CHECK(settled_refusals == 0);

  SECTION("over a long time fewer than 1 in 1,000 are refused wrongly") {
    SendSteadily(fleet, 60'000);
    CHECK(fleet.wrongful_refusals() * 1000 < fleet.admissions());
    CHECK(fleet.overshoot() == 0);
  }

  SECTION("a log outage of an hour refuses nobody") {
    fleet.SetLogDown(true);
    fleet.Run(std::chrono::minutes(59));
    SendSteadily(fleet, 60'000);
    CHECK(fleet.wrongful_refusals() == settled_refusals);
    CHECK(fleet.overshoot() == 0);
  }

  SECTION("after a crash its shares work elsewhere within 6 s") {
    fleet.Crash(0);
    SendSteadily(fleet, 6'000);
    const int refused_meanwhile = fleet.wrongful_refusals();
    SendSteadily(fleet, 10'000);
    CHECK(fleet.wrongful_refusals() == refused_meanwhile);
    CHECK(fleet.overshoot() == 0);
  }

  SECTION("a daemon that leaves costs no request") {
    fleet.Leave(1);
    SendSteadily(fleet, 1'000);
    fleet.Crash(1);
    SendSteadily(fleet, 9'000);
    CHECK(fleet.wrongful_refusals() == settled_refusals);
    CHECK(fleet.overshoot() == 0);
  }

  SECTION("a paused holder that comes back uses nothing that it lost") {
    fleet.Pause(2);
    SendSteadily(fleet, 10'000);
    fleet.Resume(2);
    SendSteadily(fleet, 5'000);
    CHECK(fleet.overshoot() == 0);
  }
}

// Every daemon asks for far more than the rate, so that nothing is left over.
void Flood(FakeFleet& fleet, int milliseconds_long) {
  for (int time = 0; time < milliseconds_long; time += 5) {
    for (std::size_t daemon = 0; daemon < fleet.size(); ++daemon) {
      fleet.Request(daemon);
    }
    fleet.Run(milliseconds(5));
  }
}

TEST_CASE("under a flood no token is given twice", "[rate]") {
  FakeFleet fleet({.seed = 5,
                   .daemons = 5,
                   .rate = 200,
                   .burst = 40,
                   .clocks_drift = true});
  fleet.Run(milliseconds(1000));
  Flood(fleet, 2'000);

  SECTION("a holder that is cut off from all stops before others start") {
    for (std::size_t other = 0; other < fleet.size(); ++other) {
      if (other != 2) {
        fleet.CutBetween(2, other, true);
      }
    }
    fleet.CutFromLog(2, true);
    Flood(fleet, 10'000);
    CHECK(fleet.overshoot() == 0);
  }
  SECTION("a holder that was paused has stopped when it comes back") {
    fleet.Pause(2);
    Flood(fleet, 10'000);
    fleet.Resume(2);
    Flood(fleet, 100);
    CHECK(fleet.overshoot() == 0);
  }
  SECTION("clocks that run fast add nothing over two minutes") {
    Flood(fleet, 120'000);
    CHECK(fleet.overshoot() == 0);
  }
}

}  // namespace
