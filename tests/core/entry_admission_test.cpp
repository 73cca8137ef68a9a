#include "lycheewell/core/overload/entry_admission.h"

#include <catch2/catch.hpp>
#include <cmath>

namespace {
using lycheewell::core::Instant;
using namespace lycheewell::core::overload;
using std::chrono::milliseconds;

constexpr Instant kStart = Instant() + std::chrono::hours(1);

struct Totals {
  int asked = 0;
  int served = 0;
  int wasted = 0;
};

// Requests of two routes make four calls each to one service that serves
// `capacity` calls a second. Calls are served in turn, so every request loses
// the same part of its calls.
void PlaySecond(EntryAdmission& admission, int second, double capacity,
                Totals& low, Totals& high, RouteOutcomes& low_outcomes,
                RouteOutcomes& high_outcomes) {
  constexpr int kPerRoute = 100;
  constexpr int kCalls = 4;
  int entered_low = 0;
  int entered_high = 0;
  for (int i = 0; i < kPerRoute; ++i) {
    const Instant now = kStart + milliseconds(1000 * second + 10 * i);
    entered_low += admission.Admit("low", 2, now) ? 1 : 0;
    entered_high += admission.Admit("high", 0, now) ? 1 : 0;
  }
  const double demand = (entered_low + entered_high) * kCalls;
  const double call_chance = demand <= capacity ? 1 : capacity / demand;
  const double chance = call_chance * call_chance * call_chance * call_chance;
  const auto settle = [&](Totals& totals, RouteOutcomes& outcomes,
                          int entered) {
    const int served = static_cast<int>(std::lround(entered * chance));
    totals.asked += kPerRoute;
    totals.served += served;
    totals.wasted += entered - served;
    outcomes.ended += static_cast<std::uint64_t>(entered);
    outcomes.starved += static_cast<std::uint64_t>(entered - served);
  };
  settle(low, low_outcomes, entered_low);
  settle(high, high_outcomes, entered_high);
  admission.Report("gate", "low", low_outcomes);
  admission.Report("gate", "high", high_outcomes);
}

}  // namespace

// The pattern of a deep service that loses two thirds of its targets: without
// admission at the entry, 200 requests a second with 4 calls each get half of
// their calls and 1 in 16 succeeds.
TEST_CASE("Requests that would starve downstream do not enter",
          "[core][overload][load]") {
  EntryAdmission admission(kStart);
  Totals low;
  Totals high;
  RouteOutcomes low_outcomes;
  RouteOutcomes high_outcomes;
  constexpr double kCapacity = 400;  // calls a second: 100 requests fit
  constexpr int kSeconds = 30;
  for (int second = 0; second < kSeconds; ++second) {
    PlaySecond(admission, second, kCapacity, low, high, low_outcomes,
               high_outcomes);
  }

  SECTION("so that several times as many are served as without") {
    const int without = kSeconds * 200 / 16;
    CHECK(low.served + high.served > 4 * without);
  }
  SECTION("the more important ones at least as often") {
    CHECK(high.served >= low.served);
  }
  SECTION("and the less important ones do not starve") {
    CHECK(low.served * 4 * 2 > low.served + high.served);
  }
  SECTION("and all enter again once there is room") {
    for (int second = kSeconds; second < kSeconds + 10; ++second) {
      PlaySecond(admission, second, 10'000, low, high, low_outcomes,
                 high_outcomes);
    }
    CHECK(admission.admitted_part("low") == 1);
    CHECK(admission.admitted_part("high") == 1);
  }
}

TEST_CASE("A source that restarts counts anew", "[core][overload]") {
  EntryAdmission admission(kStart);
  admission.Report("gate", "r", {.ended = 1000, .starved = 0});
  admission.Report("gate", "r", {.ended = 10, .starved = 10});
  CHECK(admission.Admit("r", 0, kStart + milliseconds(1001)) == true);
  admission.Report("gate", "r", {.ended = 40, .starved = 40});
  admission.Admit("r", 0, kStart + milliseconds(2002));
  CHECK(admission.admitted_part("r") < 1);
}
