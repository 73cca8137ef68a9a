#include "lycheewell/core/overload/entry_brake.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <cmath>
#include <deque>
#include <map>
#include <string>

#include "lycheewell/core/overload/demand_model.h"

namespace {
using lycheewell::core::Duration;
using lycheewell::core::Instant;
using namespace lycheewell::core::overload;
using std::chrono::milliseconds;

constexpr Instant kStart = Instant() + std::chrono::hours(1);
constexpr auto kStep = milliseconds(50);
constexpr double kSlots = 800;
// Time for which a view's eight lookups hold slots.
constexpr double kViewWork = 0.5;
// Between a view's entry and its lookups; between a queue's growth and the
// report of it; between reports of the demand.
constexpr int kArrivalSteps = 6;
constexpr int kLoadSteps = 3;
constexpr int kDemandSteps = 18;
// Lookups that wait longer are refused, and the work for their views is lost.
constexpr double kMaxWait = 0.23;

// Views at a service whose queue is a fluid. Views of two kinds of importance
// need the same work.
class Fluid {
 public:
  explicit Fluid(bool new_follows) : follows(new_follows) {
    this->model.Report("gate", "deep", {});
    this->arriving.assign(kArrivalSteps, {});
    this->waits.assign(kLoadSteps, 0);
  }

  struct Kind {
    int priority = 0;
    double offered = 0;
    double served = 0;
    RouteDemand counts;
  };

  void Simulate(int steps, double views_per_second) {
    for (auto& [name, kind] : this->kinds) {
      kind.offered = 0;
      kind.served = 0;
    }
    this->idle = 0;
    for (int i = 0; i < steps; ++i) {
      this->Step(views_per_second);
    }
  }

  double Served(const std::string& name) const {
    const Kind& kind = this->kinds.at(name);
    return kind.served / kind.offered;
  }
  double Served() const {
    return (this->kinds.at("stake").served + this->kinds.at("view").served) /
           (this->kinds.at("stake").offered + this->kinds.at("view").offered);
  }
  double idle_slot_seconds() const { return this->idle; }

 private:
  void Step(double views_per_second) {
    constexpr double kSeconds = 0.05;
    ++this->step;
    this->now += kStep;
    this->model.SetSlots({{"deep", kSlots}});
    if (this->model.IsUpdateDue(this->now)) {
      this->model.Update(this->now);
    }
    if (this->follows && this->model.IsFollowDue(this->now)) {
      this->model.FollowQueues(
          {{"deep", std::chrono::duration_cast<Duration>(
                        std::chrono::duration<double>(this->waits.front()))}},
          this->now);
    }
    std::map<std::string, double> entered;
    for (auto& [name, kind] : this->kinds) {
      const double offered =
          views_per_second * kSeconds * (name == "stake" ? 0.25 : 0.75);
      this->due[name] += offered;
      for (; this->due[name] >= 1; this->due[name] -= 1) {
        ++kind.offered;
        ++kind.counts.offered;
        if (this->model.Admit(name, kind.priority)) {
          ++entered[name];
          ++kind.counts.entered;
        }
      }
    }
    this->arriving.push_back(entered);
    const auto arrived = this->arriving.front();
    this->arriving.pop_front();
    double wanted = 0;
    for (const auto& [name, count] : arrived) {
      wanted += count * kViewWork;
    }
    this->queue += wanted;
    const double done = std::min(this->queue, kSlots * kSeconds);
    this->idle += kSlots * kSeconds - done;
    this->queue -= done;
    const double lost = std::max(0.0, this->queue - kMaxWait * kSlots);
    this->queue -= lost;
    // A refused lookup loses its view, and on average half of its work.
    const double lost_fraction =
        wanted > 0 ? std::min(1.0, 2 * lost / wanted) : 0;
    for (const auto& [name, count] : arrived) {
      Kind& kind = this->kinds.at(name);
      const std::chrono::duration<double> work(count * kViewWork);
      kind.served += count * (1 - lost_fraction);
      kind.counts.unmet += std::chrono::duration_cast<Duration>(
          work * std::min(1.0, lost / std::max(wanted, 1e-9)));
      kind.counts.work += std::chrono::duration_cast<Duration>(
          work * (1 - std::min(1.0, lost / std::max(wanted, 1e-9))));
      kind.counts.ended += static_cast<std::uint64_t>(count);
      kind.counts.starved +=
          static_cast<std::uint64_t>(std::lround(count * lost_fraction));
    }
    this->waits.push_back(this->queue / kSlots);
    this->waits.pop_front();
    if (this->step % kDemandSteps == 0) {
      this->model.Report("gate", "deep",
                         {{"stake", this->kinds["stake"].counts},
                          {"view", this->kinds["view"].counts}});
    }
  }

  bool follows;
  DemandModel model{kStart};
  Instant now = kStart;
  int step = 0;
  double queue = 0;  // slot seconds
  double idle = 0;
  std::map<std::string, double> due;
  std::map<std::string, Kind> kinds{{"stake", {.priority = 0}},
                                    {"view", {.priority = 2}}};
  std::deque<std::map<std::string, double>> arriving;
  std::deque<double> waits;
};

constexpr int kStepsPerSecond = 20;

}  // namespace

// There are slots for 1,600 views per second; 1,300 come. A burst of 2,600
// lasts 3 s, and the next one comes after 12 s.
TEST_CASE("An entry that follows the queues loses less work in bursts",
          "[core][overload][load][turns]") {
  Fluid today(false);
  Fluid following(true);
  for (Fluid* fluid : {&today, &following}) {
    fluid->Simulate(10 * kStepsPerSecond, 1300);
    fluid->Simulate(3 * kStepsPerSecond, 2600);
    fluid->Simulate(9 * kStepsPerSecond, 1300);
  }
  double before = 0;
  double after = 0;
  for (const auto& [fluid, sum] :
       {std::pair(&today, &before), std::pair(&following, &after)}) {
    fluid->Simulate(3 * kStepsPerSecond, 2600);
    *sum = fluid->Served();
  }
  INFO("served in the burst: today " << before << ", following " << after);
  CHECK(following.Served("stake") > 1.1 * today.Served("stake"));
  CHECK(after > 1.1 * before);
}

TEST_CASE("Following the queues leaves no room idle under a steady overload",
          "[core][overload][load][turns]") {
  Fluid today(false);
  Fluid following(true);
  for (Fluid* fluid : {&today, &following}) {
    fluid->Simulate(20 * kStepsPerSecond, 2400);
    fluid->Simulate(20 * kStepsPerSecond, 2400);
  }
  INFO("served today " << today.Served() << ", following " << following.Served()
                       << ", idle slot seconds " << today.idle_slot_seconds()
                       << ", " << following.idle_slot_seconds());
  CHECK(following.Served() > today.Served());
  CHECK(following.idle_slot_seconds() < 0.05 * 20 * kSlots);
  CHECK(following.Served("stake") > 0.95);
  // No kind of request is served under 0.45 of what all get.
  CHECK(following.Served("view") > 0.45 * following.Served());
}

TEST_CASE("Short queues do not brake", "[core][overload][turns]") {
  CHECK(BrakeFactor(milliseconds(0)) == 1);
  CHECK(BrakeFactor(milliseconds(50)) == 1);
  CHECK(BrakeFactor(milliseconds(150)) == Approx(0.9));
  CHECK(BrakeFactor(std::chrono::seconds(9)) == Approx(0.6));
}
