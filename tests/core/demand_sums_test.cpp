#include "lycheewell/core/overload/demand_sums.h"

#include <catch2/catch.hpp>

namespace {
using namespace lycheewell::core::overload;
using std::chrono::milliseconds;

RouteDemand Counts(std::uint64_t offered, int work_ms) {
  return {
      .offered = offered, .entered = offered, .work = milliseconds(work_ms)};
}

}  // namespace

TEST_CASE("The demand of a data centre is the sum over its daemons",
          "[core][overload]") {
  DemandSums sums;
  sums.Report("vm-1", "pay", {{"claim", Counts(100, 1000)}});
  sums.Report("vm-2", "pay", {{"claim", Counts(50, 500)}});
  CHECK(sums.totals().empty());

  sums.Report("vm-1", "pay", {{"claim", Counts(110, 1100)}});
  sums.Report("vm-2", "pay", {{"claim", Counts(55, 550)}});
  sums.Report("vm-3", "look", {{"claim", Counts(7, 70)}});
  sums.Report("vm-3", "look", {{"claim", Counts(8, 80)}});

  SECTION("by service and route") {
    CHECK(sums.totals().at("pay").at("claim") == Counts(15, 150));
    CHECK(sums.totals().at("look").at("claim") == Counts(1, 10));
  }
  SECTION("and does not fall when a daemon restarts") {
    sums.Report("vm-1", "pay", {{"claim", Counts(3, 30)}});
    CHECK(sums.totals().at("pay").at("claim") == Counts(18, 180));
  }
  SECTION("a route that appears later counts from 0") {
    sums.Report("vm-1", "pay", {{"refund", Counts(4, 40)}});
    CHECK(sums.totals().at("pay").at("refund") == Counts(4, 40));
  }
}

// Three data centres; a daemon gets its own one's counters directly and the
// sums of the others.
TEST_CASE("Sums of data centres give the same fractions as single counters",
          "[core][overload][load]") {
  using lycheewell::core::Instant;
  constexpr Instant kStart = Instant() + std::chrono::hours(1);
  DemandModel direct(kStart);
  DemandModel by_sums(kStart);
  DemandSums sums[2];
  for (int second = 1; second <= 12; ++second) {
    for (int data_centre = 0; data_centre < 3; ++data_centre) {
      for (int vm = 0; vm < 5; ++vm) {
        const std::string name =
            std::to_string(data_centre) + "-" + std::to_string(vm);
        const std::string service = vm < 3 ? "pay" : "look";
        const std::map<std::string, RouteDemand> counts = {
            {"claim",
             Counts(40U * static_cast<std::uint64_t>(second), 6'000 * second)}};
        direct.Report(name, service, counts);
        if (data_centre == 0) {
          by_sums.Report(name, service, counts);
        } else {
          sums[data_centre - 1].Report(name, service, counts);
        }
      }
    }
    for (int data_centre = 1; data_centre < 3; ++data_centre) {
      for (const auto& [service, routes] : sums[data_centre - 1].totals()) {
        by_sums.Report("summer-" + std::to_string(data_centre) + "/" + service,
                       service, routes);
      }
    }
    for (DemandModel* model : {&direct, &by_sums}) {
      model->SetSlots({{"pay", 30.0}, {"look", 60.0}});
      model->Update(kStart + std::chrono::seconds(second));
      model->Admit("claim", 0);
    }
  }
  CHECK(direct.admitted_fraction("claim") < 0.9);
  CHECK(by_sums.admitted_fraction("claim") ==
        Approx(direct.admitted_fraction("claim")).margin(0.05));
}
