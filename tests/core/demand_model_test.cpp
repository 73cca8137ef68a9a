#include "lycheewell/core/overload/demand_model.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <cmath>
#include <map>

namespace {
using lycheewell::core::Duration;
using lycheewell::core::Instant;
using namespace lycheewell::core::overload;
using std::chrono::milliseconds;

constexpr Instant kStart = Instant() + std::chrono::hours(1);

struct SimulatedRoute {
  int priority = 0;
  double per_second = 0;
  // Time for which one request holds slots of the service "deep".
  double deep_slot_ms = 0;
  double served = 0;
  double offered = 0;
  RouteDemand counts;
};

// Calls that one request makes sequentially.
constexpr double kCallsPerRequest = 8;

// Fraction of its calls that a request makes on average when each call gets a
// slot with the probability `call_success_fraction`. The first call that gets
// none ends the request.
double FractionOfCallsMade(double call_success_fraction) {
  return call_success_fraction >= 1
             ? 1
             : (1 - std::pow(call_success_fraction, kCallsPerRequest)) /
                   (kCallsPerRequest * (1 - call_success_fraction));
}

// Fraction of the calls that get a slot when the requests need `load` times the
// available slots.
double CallSuccessFraction(double load) {
  double low = 0;
  double high = 1;
  for (int i = 0; i < 50; ++i) {
    const double middle = (low + high) / 2;
    (load * FractionOfCallsMade(middle) * middle > 1 ? high : low) = middle;
  }
  return low > 0.9999 ? 1 : low;
}

// Requests of all routes call the downstream service "deep", which has `slots`
// slots. When it is overloaded, the calls of all requests fail with the same
// probability, so a request with many calls rarely succeeds.
class CallGraph {
 public:
  explicit CallGraph(std::map<std::string, SimulatedRoute> new_routes)
      : routes(std::move(new_routes)) {
    this->model.Report("gate", "deep", {});
  }

  void SimulateSecond(double slots) {
    ++this->second;
    const Instant now = kStart + std::chrono::seconds(this->second);
    this->model.SetSlots({{"deep", slots}});
    if (this->model.IsUpdateDue(now)) {
      this->model.Update(now);
    }
    std::map<std::string, double> entered;
    double needed_slots = 0;
    for (auto& [name, route] : this->routes) {
      for (int i = 0; i < route.per_second; ++i) {
        entered[name] += this->model.Admit(name, route.priority) ? 1 : 0;
      }
      needed_slots += entered[name] * route.deep_slot_ms / 1000;
    }
    const double call_success_fraction =
        CallSuccessFraction(needed_slots / slots);
    const double fraction_made = FractionOfCallsMade(call_success_fraction);
    std::map<std::string, RouteDemand> reported;
    for (auto& [name, route] : this->routes) {
      const double success_fraction =
          route.deep_slot_ms > 0
              ? std::pow(call_success_fraction, kCallsPerRequest)
              : 1;
      route.served += entered[name] * success_fraction;
      route.offered += route.per_second;
      route.counts.offered += static_cast<std::uint64_t>(route.per_second);
      route.counts.entered += static_cast<std::uint64_t>(entered[name]);
      const auto wanted =
          std::chrono::duration_cast<Duration>(std::chrono::duration<double>(
              entered[name] * fraction_made * route.deep_slot_ms / 1000));
      const auto held = std::chrono::duration_cast<Duration>(
          call_success_fraction * std::chrono::duration<double>(wanted));
      route.counts.work += held;
      route.counts.unmet += wanted - held;
      const auto ended = static_cast<std::uint64_t>(entered[name]);
      route.counts.ended += ended;
      route.counts.starved += ended - static_cast<std::uint64_t>(std::lround(
                                          entered[name] * success_fraction));
      reported[name] = route.counts;
    }
    this->model.Report("gate", "deep", reported);
  }

  void Simulate(int seconds, double slots) {
    for (auto& [name, route] : this->routes) {
      route.served = 0;
      route.offered = 0;
    }
    for (int i = 0; i < seconds; ++i) {
      this->SimulateSecond(slots);
    }
  }

  double ServedFraction(const std::string& name) const {
    const SimulatedRoute& route = this->routes.at(name);
    return route.served / route.offered;
  }
  double OverallServedFraction() const {
    double served = 0;
    double offered = 0;
    for (const auto& [name, route] : this->routes) {
      served += route.served;
      offered += route.offered;
    }
    return served / offered;
  }
  const DemandModel& demand() const { return this->model; }

 private:
  std::map<std::string, SimulatedRoute> routes;
  DemandModel model{kStart};
  int second = 0;
};

CallGraph MakeCallGraph() {
  return CallGraph(
      {{"claim", {.priority = 0, .per_second = 500, .deep_slot_ms = 0}},
       {"pay", {.priority = 0, .per_second = 600, .deep_slot_ms = 320}},
       {"order", {.priority = 2, .per_second = 250, .deep_slot_ms = 130}},
       {"read", {.priority = 2, .per_second = 1400, .deep_slot_ms = 320}}});
}

}  // namespace

// Guards against wasting the capacity of a downstream service on requests that
// fail. A burst of 1.8 times the usual requests lasts 18 s and needs 672 slots
// of a service that has 455. Reads need as many slots as payments and have a
// third of their value.
TEST_CASE("Admitted requests fit the capacity of the downstream service",
          "[core][overload][load]") {
  CallGraph graph = MakeCallGraph();
  graph.Simulate(6, 455);  // the model learns the slot demand under overload
  graph.Simulate(12, 455);

  SECTION("important requests that are admitted are served") {
    CHECK(graph.ServedFraction("pay") > 0.9);
    CHECK(graph.ServedFraction("order") > 0.9);
    CHECK(graph.ServedFraction("claim") == 1);
  }
  SECTION("the remaining capacity goes to less important requests") {
    // Of 455 slots, payments use 192 and orders use 33.
    CHECK(graph.ServedFraction("read") > 0.35);
    CHECK(graph.ServedFraction("read") < 0.53);
  }
  SECTION("all requests are admitted once capacity suffices") {
    graph.Simulate(5, 2000);
    CHECK(graph.demand().admitted_fraction("read") == 1);
  }
  SECTION("no route starves when most of the capacity is lost") {
    graph.Simulate(6, 120);
    graph.Simulate(10, 120);
    CHECK(graph.demand().admitted_fraction("pay") < 0.7);
    // Lower bound: a quarter of the fraction of all requests that is served.
    CHECK(graph.ServedFraction("read") * 4 >= graph.OverallServedFraction());
  }
}

// A downstream service loses two thirds of its targets. Without admission
// control at the entry, 200 requests per second with several calls each get
// half of their calls, and 1 in 16 requests succeeds.
TEST_CASE("Requests that would get no slot downstream are not admitted",
          "[core][overload][load]") {
  constexpr int kSeconds = 30;
  constexpr double kSlots = 100;  // capacity for 100 requests per second
  CallGraph graph(
      {{"low", {.priority = 2, .per_second = 100, .deep_slot_ms = 1000}},
       {"high", {.priority = 0, .per_second = 100, .deep_slot_ms = 1000}}});
  graph.Simulate(kSeconds, kSlots);

  SECTION(
      "several times as many requests are served as without admission "
      "control") {
    CHECK(graph.OverallServedFraction() > 4.0 / 16);
  }
  SECTION("more important requests are served at least as often") {
    CHECK(graph.ServedFraction("high") >= graph.ServedFraction("low"));
  }
  SECTION("less important requests do not starve") {
    CHECK(graph.ServedFraction("low") * 4 >= graph.OverallServedFraction());
  }
  SECTION("all requests are admitted once capacity suffices") {
    graph.Simulate(10, 2500);
    CHECK(graph.demand().admitted_fraction("low") == 1);
    CHECK(graph.demand().admitted_fraction("high") == 1);
  }
}

// Reads hold slots of the upstream service "upper" while they wait for calls to
// the overloaded service "deep". Their slot demand at "upper" must not be
// corrected for starved requests, because only "deep" lacks slots.
TEST_CASE("A service that waits for an overloaded one is not overloaded itself",
          "[core][overload][load]") {
  DemandModel model(kStart);
  model.Report("upper gate", "upper", {});
  model.Report("deep gate", "deep", {});
  model.SetSlots({{"upper", 200}, {"deep", 20}});
  RouteDemand upper;
  RouteDemand deep;
  for (int second = 1; second <= 5; ++second) {
    upper.offered += 100;
    upper.entered += 100;
    // Each request holds its slot for 1 s until it times out.
    upper.work += 100 * milliseconds(1000);
    upper.ended += 100;
    upper.starved += 80;
    deep.work += 20 * milliseconds(1000);
    deep.unmet += 10 * milliseconds(1000);
    model.Report("upper gate", "upper", {{"read", upper}});
    model.Report("deep gate", "deep", {{"read", deep}});
    model.Update(kStart + std::chrono::seconds(second));
  }
  CHECK(model.SlotDemandOf("read", "upper") == Approx(1.0).epsilon(0.05));
  CHECK(model.SlotDemandOf("read", "deep") > 0.3 * 2);
}

// A route with a reduced admitted fraction receives hardly any requests, so its
// slot demand is not updated. Its fraction must recover nevertheless.
TEST_CASE("The admitted fraction of a route recovers when few requests come",
          "[core][overload]") {
  DemandModel model(kStart);
  RouteDemand counts;
  model.Report("gate", "s", {});
  model.SetSlots({{"s", 10}});
  int second = 0;
  const auto simulate = [&](int seconds, int offered) {
    int entered = 0;
    for (const int end = second + seconds; second < end;) {
      ++second;
      entered = 0;
      for (int i = 0; i < offered; ++i) {
        entered += model.Admit("r", 0) ? 1 : 0;
      }
      counts.offered += static_cast<std::uint64_t>(offered);
      counts.entered += static_cast<std::uint64_t>(entered);
      counts.work += entered * milliseconds(200);
      model.Report("gate", "s", {{"r", counts}});
      model.Update(kStart + std::chrono::seconds(second));
    }
    return entered;
  };

  SECTION("after a burst") {
    CHECK(simulate(20, 1000) < 500);
    simulate(10, 0);
    CHECK(model.admitted_fraction("r") == 1);
    CHECK(simulate(5, 2) == 2);
  }
  SECTION("after a period without targets") {
    simulate(10, 10);
    model.SetSlots({});
    simulate(10, 2);
    CHECK(model.admitted_fraction("r") < 0.5);
    model.SetSlots({{"s", 10}});
    simulate(10, 2);
    CHECK(model.admitted_fraction("r") == 1);
    CHECK(simulate(5, 2) == 2);
  }
}

TEST_CASE("No request is refused while capacity suffices", "[core][overload]") {
  CallGraph graph = MakeCallGraph();
  graph.Simulate(20, 900);
  for (const char* name : {"claim", "pay", "order", "read"}) {
    CHECK(graph.ServedFraction(name) == 1);
  }
  CHECK(graph.demand().SlotDemandOf("read", "deep") ==
        Approx(0.32).epsilon(0.05));
}

TEST_CASE("A restart of a daemon resets the baseline of its counters",
          "[core][overload]") {
  DemandModel model(kStart);
  model.SetSlots({{"s", 10}});
  const auto report = [&](std::uint64_t count) {
    model.Report("a", "s",
                 {{"r",
                   {.offered = count,
                    .entered = count,
                    .work = count * milliseconds(20)}}});
  };

  SECTION("after a restart of this daemon or of the reporting one") {
    // The 90,000 requests before the first report do not belong to the period.
    report(90'000);
    model.Update(kStart + milliseconds(1000));
    report(90'100);
    model.Update(kStart + milliseconds(2000));
    CHECK(model.admitted_fraction("r") == 1);
    report(100);
    model.Update(kStart + milliseconds(3000));
    CHECK(model.admitted_fraction("r") == 1);
    CHECK(model.SlotDemandOf("r", "s") == Approx(0.02).epsilon(0.01));
  }
  SECTION("a route that first appears in a later report counts from zero") {
    model.Report("a", "s", {});
    report(1000);
    model.Update(kStart + milliseconds(1000));
    CHECK(model.admitted_fraction("r") < 1);
  }
}

// Three quarters of the targets of a service leave. Most requests that need it
// belong to an unimportant route.
TEST_CASE("An important route is not cut for an unimportant one",
          "[core][overload][load]") {
  DemandModel model(kStart);
  model.Report("gate", "deep", {});
  std::map<std::string, RouteDemand> counts;
  int second = 0;
  const auto simulate = [&](double slots) {
    ++second;
    const auto add = [&](const std::string& route, int priority,
                         std::uint64_t per_second, double slot_seconds) {
      RouteDemand& sum = counts[route];
      sum.offered += per_second;
      std::uint64_t entered = 0;
      for (std::uint64_t i = 0; i < per_second; ++i) {
        entered += model.Admit(route, priority) ? 1 : 0;
      }
      sum.entered += entered;
      sum.ended += entered;
      sum.work +=
          std::chrono::duration_cast<Duration>(std::chrono::duration<double>(
              static_cast<double>(entered) * slot_seconds));
    };
    add("confirm", 0, 60, 0.3);
    add("view", 2, 260, 0.25);
    model.Report("gate", "deep", counts);
    model.SetSlots({{"deep", slots}});
    model.Update(kStart + std::chrono::seconds(second));
  };
  for (int i = 0; i < 10; ++i) {
    simulate(110);
  }
  REQUIRE(model.admitted_fraction("confirm") == 1.0);
  double lowest = 1;
  for (int i = 0; i < 8; ++i) {
    simulate(27);
    lowest = std::min(lowest, model.admitted_fraction("confirm"));
  }
  CHECK(lowest > 0.95);
  // What 1.3 times the 27 slots leave of the 65 that it wants.
  CHECK(model.admitted_fraction("view") < 0.27);
  // No route is served less than a quarter as often as all.
  const double overall = (60 * model.admitted_fraction("confirm") +
                          260 * model.admitted_fraction("view")) /
                         320;
  CHECK(model.admitted_fraction("view") > 0.25 * overall);
}

// Requests that go first take the places of later ones: a route admits as many
// as before.
TEST_CASE("Requests that go first do not add to those that are admitted",
          "[core][overload][turns]") {
  DemandModel model(kStart);
  RouteDemand counts;
  model.Report("gate", "s", {});
  model.SetSlots({{"s", 10}});
  for (int second = 1; second <= 20; ++second) {
    for (int i = 0; i < 1000; ++i) {
      ++counts.offered;
      if (model.Admit("r", 0)) {
        ++counts.entered;
        counts.work += milliseconds(20);
      }
    }
    model.Report("gate", "s", {{"r", counts}});
    model.Update(kStart + std::chrono::seconds(second));
  }
  const double fraction = model.admitted_fraction("r");
  REQUIRE(fraction < 0.9);
  int admitted = 0;
  int admitted_first = 0;
  for (int i = 0; i < 1000; ++i) {
    const bool goes_first = i % 10 == 0;
    const bool is_admitted = model.Admit("r", 0, goes_first);
    admitted += is_admitted ? 1 : 0;
    admitted_first += is_admitted && goes_first ? 1 : 0;
  }
  CHECK(admitted_first == 100);
  CHECK(admitted == Approx(1000 * fraction).margin(7));

  SECTION("a daemon admits only a few ahead of their time") {
    int ahead = 0;
    for (int i = 0; i < 1000; ++i) {
      ahead += model.Admit("r", 0, true) ? 1 : 0;
    }
    CHECK(ahead == Approx(1000 * fraction).margin(7));
  }
}
