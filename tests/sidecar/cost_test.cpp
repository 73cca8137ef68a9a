// Two targets of a service differ 4:1 in speed.
#include <signal.h>

#include <catch2/catch.hpp>
#include <future>
#include <optional>
#include <vector>

#include "harness/sidecar_vm.h"
#include "harness/working_target.h"

namespace {
using namespace lycheewell;
using harness::Eventually;
using harness::kFirstSidecarPort;
using harness::SidecarManifest;
using harness::Store;
using harness::WorkingTarget;
using Vm = harness::SidecarVm;
using io::http::Verb;

constexpr int kSlots = 4;

// Value of a metric of the VM's daemon; 0 if it is missing.
double Metric(const Vm& vm, const std::string& name) {
  const std::string text =
      harness::SendRequest(vm.base_port + 5, Verb::get, "/metrics", "").body;
  const std::size_t at = text.find("\n" + name + " ");
  return at == std::string::npos
             ? 0
             : std::strtod(text.c_str() + at + name.size() + 2, nullptr);
}

}  // namespace

TEST_CASE("Daemons learn work and speed from each other's runs",
          "[sidecar][cost]") {
  signal(SIGPIPE, SIG_IGN);
  Store store{kFirstSidecarPort};
  store.PutManifest(SidecarManifest(1, R"("k1")"));
  Vm fast{0};
  Vm slow{1};
  fast.target.reset();
  slow.target.reset();
  WorkingTarget fast_target(fast.base_port + 3);
  WorkingTarget slow_target(slow.base_port + 3);
  fast_target.work_ms = 40;
  slow_target.work_ms = 160;
  fast.routes_by_cost = true;
  fast.Restart();

  // More requests at once than the own target has slots.
  int reports = 0;
  const auto send_round = [&] {
    ++reports;
    for (Vm* vm : {&fast, &slow}) {
      REQUIRE(vm->AnnounceAs(1, reports, "ready", kSlots) == 200);
    }
    std::vector<std::future<unsigned>> calls(2 * std::size_t{kSlots});
    for (auto& call : calls) {
      call = std::async(std::launch::async, [&] {
        return fast.Call("/look/1", "k1", Verb::get).status;
      });
    }
    for (auto& call : calls) {
      CHECK(call.get() == 200);
    }
  };

  SECTION("where both have the switch") {
    slow.routes_by_cost = true;
    slow.Restart();
    CHECK(Eventually(
        [&] {
          send_round();
          return Metric(slow, "lycheewell_target_slowness") >
                 1.5 * Metric(fast, "lycheewell_target_slowness");
        },
        std::chrono::seconds(20)));
    CHECK(slow_target.arrivals() > 0);
    CHECK(fast.Log().find("target-chosen") != std::string::npos);
    CHECK(Metric(fast,
                 "lycheewell_work_expected_milliseconds_total{reason="
                 "\"look\"}") > 0);
  }
  SECTION("a daemon without it serves requests of one with it") {
    REQUIRE(Eventually([&] { return slow.IsReady(); }));
    CHECK(Eventually(
        [&] {
          send_round();
          return slow_target.arrivals() > 0;
        },
        std::chrono::seconds(20)));
    CHECK(Metric(slow, "lycheewell_target_slowness") == 0);
  }
}
