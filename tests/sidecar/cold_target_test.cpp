// A target that is cold stands only a few requests a second.
#include <signal.h>

#include <atomic>
#include <catch2/catch.hpp>
#include <thread>
#include <vector>

#include "harness/sidecar_vm.h"
#include "harness/working_target.h"

namespace {
using namespace lycheewell;
using harness::Eventually;
using harness::kFirstSidecarPort;
using harness::Store;
using harness::WorkingTarget;
using Vm = harness::SidecarVm;
using io::http::Verb;
using std::chrono::milliseconds;
using std::chrono::seconds;
using std::chrono::steady_clock;

constexpr int kRate = 10;
// What reaches the target in a second may have been sent in a little more.
constexpr int kAllowed = kRate * 3 / 2 + 8;
constexpr int kSlots = 60;
constexpr int kColdMs = 60'000;

std::string ManifestWithColdRate() {
  std::string manifest = harness::SidecarManifest(1, R"("k1")");
  const auto replace = [&](const std::string& from, const std::string& to) {
    manifest.replace(manifest.find(from), from.size(), to);
  };
  replace(R"("maxConnections"])", R"("maxConnections","cold","coldPerS"])");
  replace(R"(["s","/h",99])",
          R"(["s","/h",99,"60s",)" + std::to_string(kRate) + ".0]");
  return manifest;
}

// Two VMs; the second one's target is the only one. Callers at both send as
// fast as they are answered.
struct Fixture {
  Store store{kFirstSidecarPort};
  Vm first{0};
  Vm second{1};
  std::optional<WorkingTarget> target;
  std::atomic<bool> has_ended = false;
  std::atomic<int> answered = 0;
  std::vector<std::thread> callers;
  int reports = 0;

  Fixture() {
    signal(SIGPIPE, SIG_IGN);
    this->store.PutManifest(ManifestWithColdRate());
    this->first.target.reset();
    this->second.target.reset();
    this->target.emplace(this->second.base_port + 3);
    this->target->work_ms = 5;
    this->SetHealth(kColdMs);
    REQUIRE(Eventually(
        [&] { return this->first.IsReady() && this->second.IsReady(); }));
    for (Vm* vm : {&this->first, &this->second}) {
      for (int i = 0; i < 4; ++i) {
        this->callers.emplace_back([this, vm] {
          while (!this->has_ended) {
            this->answered += vm->Call("/look/1").status == 200 ? 1 : 0;
            std::this_thread::sleep_for(milliseconds(5));
          }
        });
      }
    }
  }

  ~Fixture() {
    this->has_ended = true;
    for (std::thread& caller : this->callers) {
      caller.join();
    }
  }

  void SetHealth(int cold_ms) {
    this->target->SetHeaderLines("Instance-Id: i-" + this->second.name +
                                 "\r\nCold-Ms: " + std::to_string(cold_ms) +
                                 "\r\n");
  }

  void Announce(int cold_ms) {
    REQUIRE(this->second.AnnounceAs(1, ++this->reports, "ready", kSlots,
                                    cold_ms) == 200);
  }

  // Announces for some seconds; returns the requests that were answered.
  int RunFor(int periods, int cold_ms) {
    const int before = this->answered;
    for (int i = 0; i < periods; ++i) {
      this->Announce(cold_ms);
      std::this_thread::sleep_for(milliseconds(1000));
    }
    return this->answered - before;
  }
};

}  // namespace

TEST_CASE("A cold target gets no more than its rate from all daemons",
          "[sidecar][cold]") {
  Fixture fixture;
  const auto begin = steady_clock::now();
  CHECK(fixture.RunFor(4, kColdMs) > 0);
  CHECK(fixture.target->MostInASecond(begin) <= kAllowed);

  SECTION("also while its daemon restarts") {
    fixture.second.Restart();
    CHECK(fixture.RunFor(4, kColdMs) > 0);
    CHECK(fixture.target->MostInASecond(begin) <= kAllowed);
  }
  SECTION("and all that its slots take once it is warm") {
    fixture.SetHealth(0);
    fixture.RunFor(3, 0);
    CHECK(fixture.RunFor(2, 0) > 4 * kAllowed);

    SECTION("and is asked whether it is cold when it has been silent") {
      std::this_thread::sleep_for(milliseconds(2500));
      fixture.SetHealth(kColdMs);
      fixture.Announce(0);
      std::this_thread::sleep_for(milliseconds(1200));
      const auto silent_until = steady_clock::now();
      // These announcements say nothing of the coldness.
      fixture.RunFor(4, 0);
      CHECK(fixture.target->MostInASecond(silent_until) <= kAllowed);

      SECTION("until it answers that it isn't") {
        fixture.SetHealth(0);
        std::this_thread::sleep_for(milliseconds(2500));
        fixture.RunFor(3, 0);
        CHECK(fixture.RunFor(2, 0) > 4 * kAllowed);
      }
    }
  }
}
