// A target leaves, its daemon forgets, and a report from before arrives late.
#include <signal.h>

#include <catch2/catch.hpp>
#include <thread>

#include "harness/sidecar_vm.h"
#include "harness/working_target.h"
#include "lycheewell/sidecar/records/departures.h"

namespace {
using namespace lycheewell;
using harness::Eventually;
using harness::kFirstSidecarPort;
using harness::SidecarManifest;
using harness::Store;
using harness::StoreFault;
using harness::WorkingTarget;
using Vm = harness::SidecarVm;
using io::http::Verb;
using sidecar::records::Departures;
using std::chrono::milliseconds;
using std::chrono::seconds;

}  // namespace

// Guards against a target that had deregistered and got work again, as its
// restarted daemon believed a report that the target had sent before.
TEST_CASE("A target that has left gets no work after its sidecar restarts",
          "[sidecar][departure]") {
  signal(SIGPIPE, SIG_IGN);
  Store store(kFirstSidecarPort);
  std::atomic<StoreFault>& fault = store.OpenDoor(kFirstSidecarPort + 1);
  store.PutManifest(SidecarManifest(1, R"("k1")"));
  Vm first(0);
  Vm second(1, kFirstSidecarPort + 1);
  REQUIRE(Eventually([&] { return first.IsReady() && second.IsReady(); }));
  first.Announce("ready");
  second.Announce("ready");
  REQUIRE(Eventually([&] { return second.Call("/pay/1").status == 200; }));

  const auto check_idle = [&] {
    std::this_thread::sleep_for(milliseconds(300));
    second.Announce("ready");  // sent before it left
    const int runs = second.target->runs;
    for (int i = 0; i < 20; ++i) {
      first.Call("/pay/1");
      second.Call("/pay/1");
    }
    CHECK(second.target->runs == runs);
  };

  SECTION("having deregistered") {
    REQUIRE(second.Deregister() == 200);

    SECTION("and only its own sidecar restarts") {
      second.Restart();
      check_idle();
    }
    SECTION("and all sidecars restart at once") {
      first.process->Kill();
      second.Restart();
      first.Restart();
      check_idle();
    }
    SECTION("and its own one does not reach the store from then on") {
      fault = StoreFault::kDown;
      second.process->Kill();
      second.Start();
      REQUIRE(Eventually([&] {
        return second.Log().rfind("link-opened") > second.Log().rfind("LW1001");
      }));
      check_idle();
    }
    SECTION("and another start of it under the same name gets work") {
      second.Restart();
      second.target->Restart();
      second.Announce("ready");
      const int runs = second.target->runs;
      CHECK(Eventually([&] {
        second.Call("/pay/1");
        return second.target->runs > runs;
      }));
    }
  }
  SECTION("having reported that it is draining") {
    REQUIRE(second.Announce("draining") == 200);
    first.process->Kill();
    second.Restart();
    first.Restart();
    check_idle();
  }
  SECTION("having deregistered at a sidecar that did not know it yet") {
    second.Restart();
    REQUIRE(second.Deregister() == 200);
    check_idle();
    first.process->Kill();
    second.Restart();
    first.Restart();
    check_idle();
  }
  SECTION("and its departure is not acknowledged before it is stored") {
    fault = StoreFault::kDown;
    CHECK(second.Deregister() == 503);
    const int runs = second.target->runs;
    first.Call("/pay/1");
    CHECK(second.target->runs == runs);
    fault = StoreFault::kNone;
    CHECK(Eventually([&] { return second.Deregister() == 200; }));
  }
}

// Guards against requests to a target that has said in an answer, not in a
// report, that it leaves.
TEST_CASE("A target that leaves according to its answers gets no more work",
          "[sidecar][departure]") {
  signal(SIGPIPE, SIG_IGN);
  Store store(kFirstSidecarPort);
  store.PutManifest(SidecarManifest(1, R"("k1")"));
  Vm first(0);
  Vm second(1);
  first.target.reset();
  second.target.reset();
  WorkingTarget staying(first.base_port + 3);
  WorkingTarget leaving(second.base_port + 3);
  staying.work_ms = 5;
  leaving.work_ms = 5;
  REQUIRE(Eventually([&] { return first.IsReady() && second.IsReady(); }));
  int reports = 0;
  const auto announce = [&](Vm& vm, int born) {
    REQUIRE(vm.AnnounceAs(born, ++reports, "ready") == 200);
    std::this_thread::sleep_for(milliseconds(200));
  };
  announce(first, 1);
  announce(second, 1);
  const auto arrivals = [&] {
    const int before = leaving.arrivals();
    for (int i = 0; i < 20; ++i) {
      CHECK(first.Call("/pay/1").status == 200);
      CHECK(second.Call("/pay/1").status == 200);
    }
    return leaving.arrivals() - before;
  };

  SECTION("nothing is said") { CHECK(arrivals() > 0); }
  SECTION("another value does not mean it") {
    leaving.SetHeaderLines("Server-Leaving: 0\r\n");
    REQUIRE(arrivals() > 0);
    CHECK(arrivals() > 0);
  }
  SECTION("from the first such answer on") {
    leaving.SetHeaderLines("Server-Leaving: 1\r\n");
    REQUIRE(arrivals() == 1);
    CHECK(arrivals() == 0);

    SECTION("although it reports that it is ready") {
      announce(second, 1);
      CHECK(arrivals() == 0);
    }
    SECTION("also after its sidecar restarts") {
      second.Restart();
      announce(second, 1);
      CHECK(arrivals() == 0);
    }
    SECTION("also after all sidecars restart") {
      first.process->Kill();
      second.Restart();
      first.Restart();
      announce(first, 1);
      announce(second, 1);
      CHECK(arrivals() == 0);
    }
    SECTION("but its next start does") {
      leaving.SetHeaderLines("");
      reports = 0;
      announce(second, 2);
      CHECK(arrivals() > 0);
    }
  }
}

// Guards against a target whose reports, its departure among them, were
// acknowledged and ignored after a late report of its earlier start.
TEST_CASE("A late report of an earlier start does not hide the current one",
          "[sidecar][departure]") {
  signal(SIGPIPE, SIG_IGN);
  Store store(kFirstSidecarPort);
  store.PutManifest(SidecarManifest(1, R"("k1")"));
  Vm first(0);
  Vm second(1);
  REQUIRE(Eventually([&] { return first.IsReady() && second.IsReady(); }));
  first.Announce("ready");
  // The sidecar has not heard of the earlier start so far.
  REQUIRE(second.AnnounceAs(2, 1, "ready") == 200);
  // The next report of the current start is late.
  std::this_thread::sleep_for(milliseconds(2500));
  second.AnnounceAs(1, 2, "ready");

  SECTION("when it reports again") {
    REQUIRE(second.AnnounceAs(2, 2, "ready") == 200);
    const int runs = second.target->runs;
    CHECK(Eventually([&] {
      second.Call("/pay/1");
      return second.target->runs > runs;
    }));
  }
  SECTION("when it leaves") {
    REQUIRE(second.AnnounceAs(2, 2, "draining") == 200);
    const int runs = second.target->runs;
    for (int i = 0; i < 20; ++i) {
      first.Call("/pay/1");
      second.Call("/pay/1");
    }
    CHECK(second.target->runs == runs);

    SECTION("and another late report comes") {
      std::this_thread::sleep_for(milliseconds(2500));
      second.AnnounceAs(1, 3, "ready");
      second.Call("/pay/1");
      CHECK(second.target->runs == runs);
    }
  }
}

TEST_CASE("A departure is stored once", "[sidecar][departure]") {
  int writes = 0;
  int acknowledged = 0;
  std::function<void()> stored;
  Departures departures(
      [&](const std::string&, const std::function<void()>& done) {
        ++writes;
        stored = done;
      });
  departures.Store("i@1", [&] { ++acknowledged; });
  departures.Store("i@1", [&] { ++acknowledged; });
  CHECK(writes == 1);
  CHECK(acknowledged == 0);

  SECTION("and acknowledged as often as it is reported") {
    stored();
    CHECK(acknowledged == 2);
    departures.Store("i@1", [&] { ++acknowledged; });
    CHECK(acknowledged == 3);
    CHECK(writes == 1);
  }
}
