// A request that crashes each target that runs it comes again and again.
#include <signal.h>

#include <catch2/catch.hpp>
#include <future>
#include <memory>
#include <thread>
#include <vector>

#include "harness/sidecar_vm.h"

namespace {
using namespace lycheewell;
using harness::Eventually;
using harness::kFirstSidecarPort;
using harness::Reply;
using harness::SidecarManifest;
using harness::Store;
using harness::StoreFault;
using Vm = harness::SidecarVm;
using io::http::Verb;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr char kPoison[] = "/look/7f3a?crash";

// Four sidecars whose targets announce themselves as long as they are up.
class Fleet {
 public:
  explicit Fleet(Store& store) {
    store.PutManifest(SidecarManifest(1, R"("k1")"));
    for (int i = 0; i < 4; ++i) {
      this->vms.push_back(std::make_unique<Vm>(i));
    }
    this->announcer = std::thread([this] {
      while (!this->has_ended) {
        for (const auto& vm : this->vms) {
          if (vm->target->is_up()) {
            vm->Announce("ready");
          }
        }
        std::this_thread::sleep_for(milliseconds(100));
      }
    });
  }
  ~Fleet() {
    this->has_ended = true;
    this->announcer.join();
  }

  void RestartAll() {
    for (const auto& vm : this->vms) {
      vm->process->Kill();
    }
    for (const auto& vm : this->vms) {
      vm->Start();
    }
  }

  // Whether each sidecar reaches targets.
  bool IsServing() {
    return Eventually(
        [&] {
          for (const auto& vm : this->vms) {
            if (!vm->IsReady() || !vm->target->is_up() ||
                vm->Call("/look/1", "k1", Verb::get).status != 200) {
              return false;
            }
          }
          return true;
        },
        seconds(10));
  }

  int crashes() const {
    int crashes = 0;
    for (const auto& vm : this->vms) {
      crashes += vm->target->crashes();
    }
    return crashes;
  }

  // Sends the request to all sidecars in turn; returns how many refused it as
  // not run.
  int SendPoisonToAll() {
    int refused = 0;
    for (const auto& vm : this->vms) {
      refused += vm->Call(kPoison, "k1", Verb::get).status == 503 ? 1 : 0;
    }
    return refused;
  }

  std::vector<std::unique_ptr<Vm>> vms;

 private:
  std::thread announcer;
  std::atomic<bool> has_ended = false;
};

}  // namespace

// Guards against a request that crashes its targets without end: each client
// attempt crashed up to `attempts` of them, with all that ran there.
TEST_CASE("A request that has crashed its targets is refused by all sidecars",
          "[sidecar][quarantine]") {
  signal(SIGPIPE, SIG_IGN);
  Store store(kFirstSidecarPort);
  Fleet fleet(store);
  REQUIRE(fleet.IsServing());
  auto beside = std::async(std::launch::async, [&] {
    return fleet.vms[1]->Call("/look/2?wait=600", "k1", Verb::get);
  });
  std::this_thread::sleep_for(milliseconds(100));
  CHECK(fleet.vms[0]->Call(kPoison, "k1", Verb::get).status == 502);
  beside.wait();
  const int crashes = fleet.crashes();
  CHECK(crashes <= 3);
  REQUIRE(fleet.IsServing());
  // One more client attempt may be needed for the evidence.
  fleet.vms[2]->Call(kPoison, "k1", Verb::get);
  REQUIRE(fleet.IsServing());
  const int crashes_in_all = fleet.crashes();
  CHECK(crashes_in_all <= 3);

  SECTION("wherever it comes again") {
    CHECK(fleet.SendPoisonToAll() == 4);
    CHECK(fleet.SendPoisonToAll() == 4);
    CHECK(fleet.crashes() == crashes_in_all);
    const Reply refused = fleet.vms[3]->Call(kPoison, "k1", Verb::get);
    CHECK_FALSE(refused.retry_after.empty());
  }
  SECTION("while a sound request that ran beside a crash is served") {
    for (const auto& vm : fleet.vms) {
      CHECK(vm->Call("/look/2?wait=600", "k1", Verb::get).status == 200);
    }
  }
  SECTION("also after one of them restarts") {
    fleet.vms[3]->process->Kill();
    fleet.vms[3]->Start();
    REQUIRE(fleet.IsServing());
    CHECK(fleet.SendPoisonToAll() == 4);
    CHECK(fleet.crashes() == crashes_in_all);
  }
  SECTION("also after all of them restart at once") {
    fleet.RestartAll();
    REQUIRE(fleet.IsServing());
    CHECK(fleet.SendPoisonToAll() == 4);
    CHECK(fleet.crashes() == crashes_in_all);
  }
}
