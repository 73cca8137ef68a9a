// Evacuation of a data centre, with real sidecars in two data centres.
#include <signal.h>

#include <catch2/catch.hpp>
#include <chrono>
#include <thread>

#include "harness/sidecar_vm.h"

namespace {
using namespace lycheewell;
using harness::Eventually;
using harness::kFirstSidecarPort;
using harness::SidecarManifest;
using harness::Store;
using harness::StoreFault;
using Vm = harness::SidecarVm;
using io::http::Verb;
using std::chrono::milliseconds;
using std::chrono::seconds;
using std::chrono::steady_clock;

constexpr seconds kBound{3};
constexpr const char* kBounds = R"({"evacuation":"3s"})";

// Two VMs in data centre a, one in b.
struct Fixture {
  Store store{kFirstSidecarPort};
  std::atomic<StoreFault>& way_of_second =
      store.OpenDoor(kFirstSidecarPort + 1);
  Vm first{0, kFirstSidecarPort, 0, "a", kBounds};
  Vm second{1, kFirstSidecarPort + 1, 0, "a", kBounds};
  Vm other{2, kFirstSidecarPort, 0, "b", kBounds};

  Fixture() {
    signal(SIGPIPE, SIG_IGN);
    this->store.PutManifest(SidecarManifest(1, R"("k1")"));
    REQUIRE(Eventually([&] {
      return this->first.IsReady() && this->second.IsReady() &&
             this->other.IsReady();
    }));
    this->AnnounceAll();
    REQUIRE(Eventually([&] { return this->RunsIn(this->first) > 0; }));
  }

  void AnnounceAll() {
    for (Vm* vm : {&this->first, &this->second, &this->other}) {
      REQUIRE(vm->Announce("ready") == 200);
    }
  }

  // Runs at the target beside `vm` that a round of requests leads to.
  int RunsIn(Vm& vm) {
    const int before = vm.target->runs;
    this->Send();
    return vm.target->runs - before;
  }

  // Requests at every VM, all of them answered.
  void Send() {
    std::this_thread::sleep_for(milliseconds(10));
    for (Vm* vm : {&this->first, &this->second, &this->other}) {
      for (int i = 0; i < 5; ++i) {
        CHECK(vm->Call("/look/1", "k1", Verb::get).status == 200);
      }
    }
  }

  int RunsInA() { return this->first.target->runs + this->second.target->runs; }

  // Requests go on through all VMs while the evacuation comes into force, and
  // none gets to its targets from then on.
  void CheckNothingRunsInA(steady_clock::time_point bound_ends) {
    std::this_thread::sleep_until(bound_ends);
    this->AnnounceAll();
    const int before = this->RunsInA();
    for (int round = 0; round < 5; ++round) {
      this->Send();
    }
    CHECK(this->RunsInA() == before);
  }
};

bool HasLine(Vm& vm, const std::string& text) {
  return vm.Log().find(text) != std::string::npos;
}

}  // namespace

TEST_CASE("No request reaches a target of an evacuated data centre",
          "[sidecar][evacuation]") {
  Fixture fixture;

  SECTION("after the bound, until it is taken back") {
    fixture.store.Evacuate("a");
    const auto bound_ends = steady_clock::now() + kBound;
    while (steady_clock::now() < bound_ends) {
      fixture.Send();
      fixture.AnnounceAll();
    }
    fixture.CheckNothingRunsInA(bound_ends);

    // Guards against a daemon that has forgotten the evacuation.
    SECTION("also if a daemon restarts, there or elsewhere") {
      fixture.first.Restart();
      fixture.other.Restart();
      REQUIRE(fixture.other.Announce("ready") == 200);
      REQUIRE(Eventually([&] {
        return fixture.first.Call("/look/1", "k1", Verb::get).status == 200;
      }));
      fixture.CheckNothingRunsInA(steady_clock::now());
    }
    SECTION("and then it takes work again") {
      fixture.store.TakeBack("a");
      CHECK(Eventually(
          [&] {
            fixture.AnnounceAll();
            return fixture.RunsIn(fixture.first) > 0 &&
                   fixture.RunsIn(fixture.second) > 0;
          },
          seconds(10)));
      CHECK(HasLine(fixture.first, "data-centre-taken-back"));
    }
  }
  // Guards against a daemon that keeps sending because it does not reach the
  // store; its peers do.
  SECTION("also if a daemon is turned away by the store") {
    fixture.way_of_second = StoreFault::kDown;
    fixture.store.Evacuate("a");
    fixture.CheckNothingRunsInA(steady_clock::now() + kBound);
    CHECK(HasLine(fixture.second, "data-centre-closed"));

    SECTION("and restarts") {
      fixture.second.Restart();
      REQUIRE(Eventually([&] {
        return fixture.second.Call("/look/1", "k1", Verb::get).status == 200;
      }));
      fixture.CheckNothingRunsInA(steady_clock::now());
    }
  }
}
