#include "lycheewell/core/overload/slot_gate.h"

#include <catch2/catch.hpp>
#include <map>
#include <queue>

namespace {
using lycheewell::core::Duration;
using lycheewell::core::Instant;
using namespace lycheewell::core::overload;
using std::chrono::milliseconds;

constexpr Instant kStart = Instant() + std::chrono::hours(1);

// Returns a gate with two free slots and a mean work of 100 ms.
SlotGate MakeGate() {
  SlotGate gate;
  gate.Resize({.slots = 2});
  CHECK(gate.Offer({.ticket = 1000, .latest_start = kStart}, kStart) ==
        SlotDecision::kRun);
  gate.Finish(1000, milliseconds(100), true);
  return gate;
}

}  // namespace

TEST_CASE("A gate runs, queues and refuses requests", "[core][overload]") {
  SlotGate gate = MakeGate();
  const auto offer = [&](std::uint64_t ticket, int rank, int latest_start_ms) {
    return gate.Offer({.ticket = ticket,
                       .rank = rank,
                       .arrived_at = kStart,
                       .latest_start = kStart + milliseconds(latest_start_ms)},
                      kStart);
  };
  REQUIRE(offer(1, 5, 0) == SlotDecision::kRun);
  REQUIRE(offer(2, 5, 0) == SlotDecision::kRun);

  SECTION("a request that cannot start in time is refused at once") {
    CHECK(offer(3, 5, 10) == SlotDecision::kRefuse);
    CHECK(gate.waiting() == 0);
  }
  SECTION("other requests wait") {
    REQUIRE(offer(3, 5, 500) == SlotDecision::kWait);
    REQUIRE(offer(4, 1, 500) == SlotDecision::kWait);
    REQUIRE(offer(5, 5, 500) == SlotDecision::kWait);

    SECTION("the most important one runs first") {
      gate.Finish(1, milliseconds(100), true);
      CHECK(gate.Dispatch(kStart).run == std::vector<std::uint64_t>{4});
      CHECK(gate.running() == 2);
    }
    SECTION(
        "requests past their latest start are refused instead of run late") {
      gate.Finish(1, milliseconds(100), true);
      const DispatchResult result = gate.Dispatch(kStart + milliseconds(600));
      CHECK(result.run.empty());
      CHECK(result.refuse.size() == 3);
      CHECK(gate.waiting() == 0);
    }
    SECTION("a cancelled request is removed") {
      CHECK(gate.Remove(4));
      CHECK_FALSE(gate.Remove(4));
      gate.Finish(1, milliseconds(100), true);
      CHECK(gate.Dispatch(kStart).run == std::vector<std::uint64_t>{3});
    }
  }
}

// Two of three targets of a service are lost. Calls of other services fill the
// last target, and the service's own requests, which need a tenth of its slots,
// have the highest rank. Strict priority would starve them.
TEST_CASE("The highest rank does not starve under overload",
          "[core][overload][load]") {
  SlotGate gate;
  gate.Resize({.slots = 17});
  constexpr auto kWork = milliseconds(50);
  std::multimap<Instant, std::uint64_t> running;
  std::map<std::uint64_t, int> rank_of;
  std::map<int, int> served;
  std::map<int, int> offered;
  std::uint64_t ticket = 0;
  Instant now = kStart;
  const auto run = [&](std::uint64_t started) {
    running.emplace(now + kWork, started);
    ++served[rank_of[started]];
  };
  // The target serves 340 requests per second. 680 calls and 15 requests per
  // second arrive.
  for (int ms = 0; ms < 20'000; ++ms) {
    now = kStart + milliseconds(ms);
    while (!running.empty() && running.begin()->first <= now) {
      const std::uint64_t finished = running.begin()->second;
      running.erase(running.begin());
      gate.Finish(finished, kWork, true);
      for (const std::uint64_t started : gate.Dispatch(now).run) {
        run(started);
      }
    }
    for (const int rank : {1, 2}) {
      const int period_hundredths = rank == 1 ? 147 : 6667;
      const bool arrives =
          ms * 100 / period_hundredths != (ms + 1) * 100 / period_hundredths;
      if (!arrives) {
        continue;
      }
      ++offered[rank];
      rank_of[++ticket] = rank;
      if (gate.Offer({.ticket = ticket,
                      .rank = rank,
                      .arrived_at = now,
                      .latest_start = now + milliseconds(250)},
                     now) == SlotDecision::kRun) {
        run(ticket);
      }
    }
    REQUIRE(gate.running() <= 17);
  }
  // No rank may be served less than a quarter as often as the mean.
  const double overall =
      static_cast<double>(served[1] + served[2]) / (offered[1] + offered[2]);
  CHECK(static_cast<double>(served[2]) / offered[2] > overall);
  CHECK(static_cast<double>(served[1]) / offered[1] > 0.4);
}
