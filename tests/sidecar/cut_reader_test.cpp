// The daemons that read the manifest for the others are cut from the store.
#include <signal.h>

#include <algorithm>
#include <catch2/catch.hpp>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "harness/sidecar_vm.h"
#include "lycheewell/core/routing/rendezvous.h"

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

constexpr int kVms = 6;
// Within this time a new manifest has to be in force.
constexpr milliseconds kBound = seconds(2);

// Manifest `version` has the keys from that number on.
std::string ManifestOf(int version) {
  std::string keys;
  for (int i = version; i <= version + 9; ++i) {
    keys += (keys.empty() ? "\"k" : ",\"k") + std::to_string(i) + "\"";
  }
  return SidecarManifest(version, keys);
}

}  // namespace

// Guards against a withdrawn key that is accepted for longer than the bound of
// the manifest, while the daemons that read it for the others are cut off.
TEST_CASE("A manifest is in force in time while its readers are cut off",
          "[sidecar][manifest]") {
  signal(SIGPIPE, SIG_IGN);
  Store store(kFirstSidecarPort);
  store.PutManifest(ManifestOf(1));
  struct Seat {
    std::unique_ptr<Vm> vm;
    std::atomic<StoreFault>* fault = nullptr;
  };
  std::vector<Seat> seats;
  for (int i = 0; i < kVms; ++i) {
    const int port = kFirstSidecarPort + 1 + i;
    std::atomic<StoreFault>& fault = store.OpenDoor(port);
    seats.push_back({std::make_unique<Vm>(i, port), &fault});
  }
  // The first reader comes first.
  using core::routing::RendezvousScore;
  std::sort(seats.begin(), seats.end(),
            [](const Seat& left, const Seat& right) {
              return RendezvousScore("manifest", left.vm->name) >
                     RendezvousScore("manifest", right.vm->name);
            });
  REQUIRE(Eventually(
      [&] {
        return std::all_of(seats.begin(), seats.end(),
                           [](const Seat& seat) { return seat.vm->IsReady(); });
      },
      seconds(10)));
  std::this_thread::sleep_for(seconds(4));

  int version = 1;
  const auto check_next_version = [&](std::size_t cut) {
    store.PutManifest(ManifestOf(++version));
    std::this_thread::sleep_for(kBound);
    const std::string withdrawn = "k" + std::to_string(version - 1);
    for (std::size_t i = cut; i < seats.size(); ++i) {
      CHECK(seats[i].vm->Call("/look/1", withdrawn, Verb::get).status == 401);
    }
  };
  const auto cut_readers = [&](std::size_t count, StoreFault fault) {
    for (std::size_t i = 0; i < seats.size(); ++i) {
      *seats[i].fault = i < count ? fault : StoreFault::kNone;
    }
  };

  SECTION("and get no answer from the store") {
    const std::size_t cut = GENERATE(1, 3, 5);
    cut_readers(cut, StoreFault::kSilent);
    for (int i = 0; i < 3; ++i) {
      check_next_version(cut);
    }
    cut_readers(0, StoreFault::kNone);
    check_next_version(0);
  }
  SECTION("and are refused by the store") {
    cut_readers(3, StoreFault::kDown);
    check_next_version(3);
    check_next_version(3);
  }
  SECTION("and are stopped") {
    seats[0].vm->process->Signal(SIGSTOP);
    seats[1].vm->process->Signal(SIGSTOP);
    check_next_version(2);
    seats[0].vm->process->Signal(SIGCONT);
    seats[1].vm->process->Signal(SIGCONT);
  }
}
