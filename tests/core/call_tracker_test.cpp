#include "lycheewell/core/overload/call_tracker.h"

#include <catch2/catch.hpp>
#include <map>
#include <optional>
#include <random>

namespace {
using lycheewell::core::Instant;
using lycheewell::core::RandomSource;
using namespace lycheewell::core::overload;
using std::chrono::microseconds;
using std::chrono::milliseconds;

constexpr Instant kStart = Instant() + std::chrono::hours(1);
constexpr std::optional<std::uint64_t> kNone;

RandomSource Seeded(std::uint64_t seed) {
  return [generator = std::mt19937_64(seed)]() mutable { return generator(); };
}

}  // namespace

TEST_CASE("A call is attributed to the request that makes it",
          "[core][overload]") {
  RandomSource random = Seeded(5);
  CallTracker tracker;
  tracker.Begin(1, "pay", kStart + milliseconds(1000));
  tracker.Begin(2, "look", kStart + milliseconds(1040));

  SECTION("a call with the deadline of its request") {
    CHECK(tracker.Attribute("c", kStart + milliseconds(1000), random) == 1);
    CHECK(tracker.Attribute("c", kStart + milliseconds(1039), random) == 2);

    SECTION("a deadline that was rounded down or delayed in transfer") {
      CHECK(tracker.Attribute("c", kStart + microseconds(1000'600), random) ==
            1);
      CHECK(tracker.Attribute("c", kStart + microseconds(999'000), random) ==
            1);
    }
    SECTION("a request that has ended gets no more calls") {
      tracker.End(1);
      tracker.End(1);
      CHECK(tracker.Attribute("c", kStart + milliseconds(1000), random) == 2);
      CHECK(tracker.running() == 1);
    }
  }
  SECTION("a call with an earlier deadline goes to a possible caller") {
    CHECK(tracker.Attribute("c", kStart + milliseconds(1020), random) == 2);
    CHECK(tracker.Attribute("c", kStart + milliseconds(1500), random) == kNone);

    SECTION("routes that were observed to make such calls are preferred") {
      for (int i = 0; i < 30; ++i) {
        tracker.Attribute("c", kStart + milliseconds(1000), random);
      }
      int of_pay = 0;
      for (int i = 0; i < 100; ++i) {
        of_pay += tracker.Attribute("c", kStart + milliseconds(700), random) ==
                          std::uint64_t{1}
                      ? 1
                      : 0;
      }
      CHECK(of_pay > 95);
    }
  }
  SECTION("a call is attributed to no request when none runs") {
    tracker.End(1);
    tracker.End(2);
    CHECK(tracker.Attribute("c", kStart + milliseconds(1000), random) == kNone);
  }
}

// Guards against attributing calls to routes that make none. At one target, 110
// requests per second that result from reads and 45 that result from payments
// make four calls each, most of them with a deadline earlier than their own,
// while 20 claims per second make no calls.
TEST_CASE("Attributed calls match the calls that each route made",
          "[core][overload][load]") {
  struct RouteLoad {
    std::string route;
    double per_second;
    int calls;
  };
  const std::vector<RouteLoad> loads = {{"roster of reads", 110, 4},
                                        {"roster of payments", 45, 4},
                                        {"claim", 20, 0}};
  constexpr int kSeconds = 30;
  constexpr int kSteps = 5;
  std::mt19937_64 generator(7);
  RandomSource random = Seeded(8);
  struct Step {
    std::uint64_t ticket;
    int number;
  };
  std::multimap<Instant, Step> steps;
  std::map<std::uint64_t, const RouteLoad*> load_of;
  std::uint64_t last = 0;
  for (const RouteLoad& load : loads) {
    for (int i = 0; i < load.per_second * kSeconds; ++i) {
      load_of[++last] = &load;
      const Instant begins =
          kStart + microseconds(generator() % (kSeconds * 1'000'000ULL));
      for (int number = 0; number <= kSteps; ++number) {
        steps.emplace(begins + milliseconds(number * 45), Step{last, number});
      }
    }
  }
  CallTracker tracker;
  std::map<std::uint64_t, Instant> deadline_of;
  std::map<std::string, double> attributed;
  double made = 0;
  for (const auto& [now, step] : steps) {
    const RouteLoad& load = *load_of[step.ticket];
    if (step.number == 0) {
      const auto limit = milliseconds(700 + generator() % 250);
      deadline_of[step.ticket] = now + limit;
      tracker.Begin(step.ticket, load.route, now + limit);
    } else if (step.number == kSteps) {
      tracker.End(step.ticket);
    } else if (step.number <= load.calls) {
      const Instant own_limit =
          now + microseconds(595'000 + generator() % 105'000);
      const auto found = tracker.Attribute(
          "registry", std::min(own_limit, deadline_of[step.ticket]), random);
      made += 1;
      if (!found) {
        continue;
      }
      attributed[load_of[*found]->route] += 1;
    }
  }
  // Reads make 71% of the calls and payments 29%.
  CHECK(attributed["roster of reads"] / made == Approx(0.71).margin(0.06));
  CHECK(attributed["roster of payments"] / made == Approx(0.29).margin(0.06));
  CHECK(attributed["claim"] / made < 0.05);
  CHECK(tracker.running() == 0);
}
