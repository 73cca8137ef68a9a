// End-to-end tests: real sidecar processes on loopback, with fakes of the
// platform's store and of targets that follow the platform's documentation.
#include <signal.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>
#include <future>
#include <thread>

#include "harness/sidecar_vm.h"

namespace {
using namespace lycheewell;
namespace asio = boost::asio;
using harness::Eventually;
using harness::kFirstSidecarPort;
using harness::Reply;
using harness::SendRequest;
using harness::SidecarManifest;
using harness::Store;
using Vm = harness::SidecarVm;
using io::http::Verb;
using std::chrono::milliseconds;
using std::chrono::seconds;
}  // namespace

TEST_CASE("A fleet of sidecars serves a platform's clients", "[sidecar]") {
  signal(SIGPIPE, SIG_IGN);
  Store store(kFirstSidecarPort);
  store.PutManifest(SidecarManifest(1, R"("k1","k2")"));
  Vm first(0);
  Vm second(1);
  REQUIRE(Eventually([&] { return first.IsReady() && second.IsReady(); }));
  REQUIRE(second.Announce("ready") == 200);
  REQUIRE(Eventually([&] { return first.Call("/pay/1").status == 200; }));

  SECTION(
      "a request is forwarded to a target beside another sidecar without its "
      "key") {
    const Reply reply = first.Call("/pay/1");
    CHECK(reply.signature == "signed");
    CHECK(reply.body == "done");
    CHECK(second.target->last_account == "club");
    CHECK_FALSE(second.target->saw_key);
  }
  SECTION(
      "requests with an invalid key or route are refused and reach no target") {
    const int runs = second.target->runs;
    CHECK(first.Call("/pay/1", "wrong").status == 401);
    CHECK(first.Call("/pay/1", "").status == 401);
    CHECK(first.Call("/none/1").status == 404);
    CHECK(second.target->runs == runs);
  }
  SECTION("requests with a withdrawn key are refused") {
    store.PutManifest(SidecarManifest(3, R"("k1")"));
    CHECK(Eventually([&] { return first.Call("/pay/1", "k2").status == 401; },
                     seconds(2)));
    CHECK(first.Call("/pay/1", "k1").status == 200);
  }
  SECTION(
      "requests with a key are refused as not run while the store is "
      "unavailable for longer than the bound") {
    store.is_down = true;
    CHECK(first.Call("/pay/1").status == 200);
    REQUIRE(Eventually([&] { return first.Call("/pay/1").status == 503; },
                       seconds(7)));
    const int runs = second.target->runs;
    const Reply refused = first.Call("/pay/1");
    CHECK(refused.status == 503);
    CHECK_FALSE(refused.retry_after.empty());
    CHECK(second.target->runs == runs);
    store.is_down = false;
    // The target has missed too many announcements and is considered gone.
    second.Announce("ready");
    CHECK(Eventually([&] { return first.Call("/pay/1").status == 200; },
                     seconds(3)));
  }
  SECTION(
      "a safe request whose answer is lost is retried, an unsafe one is not") {
    const int runs = second.target->runs;
    CHECK(first.Call("/pay/1?break").status == 502);
    CHECK(second.target->runs == runs + 1);
    first.Announce("ready");
    REQUIRE(Eventually([&] {
      const int before = first.target->runs + second.target->runs;
      first.Call("/look/1?break");
      return first.target->runs + second.target->runs == before + 2;
    }));
  }
  SECTION(
      "a safe request whose answer is lost, and that no other target can take, "
      "is not reported as not run") {
    const int runs = second.target->runs;
    CHECK(first.Call("/look/1?break", "k1", Verb::get).status == 502);
    CHECK(second.target->runs == runs + 1);
  }
  SECTION(
      "a draining target gets no request once its announcement is "
      "acknowledged") {
    first.Announce("ready");
    REQUIRE(second.Announce("draining") == 200);
    const int runs = second.target->runs;
    for (int i = 0; i < 20; ++i) {
      CHECK(first.Call("/pay/1").status == 200);
    }
    CHECK(second.target->runs == runs);

    SECTION(
        "nor after its sidecar is killed and a late announcement says ready") {
      second.process->Kill();
      second.Start();
      REQUIRE(Eventually([&] { return second.IsReady(); }));
      REQUIRE(Eventually([&] {
        return second.Log().find("link-opened") != std::string::npos;
      }));
      std::this_thread::sleep_for(milliseconds(300));
      second.sequence = 0;
      second.Announce("ready");
      for (int i = 0; i < 20; ++i) {
        first.Call("/pay/1");
        second.Call("/pay/1");
      }
      CHECK(second.target->runs == runs);
    }
  }
  SECTION(
      "SIGTERM interrupts no request, and the sidecar exits within its grace "
      "period") {
    auto slow = std::async(std::launch::async,
                           [&] { return first.Call("/pay/1?wait=1200"); });
    std::this_thread::sleep_for(milliseconds(200));
    const auto begin = std::chrono::steady_clock::now();
    first.process->Signal(SIGTERM);
    CHECK(Eventually([&] { return !first.IsReady(); }, seconds(1)));
    CHECK(first.Call("/pay/1").status == 200);
    CHECK(slow.get().status == 200);
    CHECK(first.process->Wait() == 0);
    CHECK(std::chrono::steady_clock::now() - begin < seconds(6));
  }
  SECTION(
      "work beside a sidecar that is silent for seconds is neither given up "
      "nor "
      "started again") {
    const int runs = second.target->runs;
    auto slow = std::async(std::launch::async, [&] {
      return SendRequest(first.base_port, Verb::post, "/long/1?wait=4200", "k1",
                         "", milliseconds(7000));
    });
    std::this_thread::sleep_for(milliseconds(200));
    second.process->Signal(SIGSTOP);
    std::this_thread::sleep_for(milliseconds(3600));
    CHECK(first.Log().find("kept for its calls") != std::string::npos);
    second.process->Signal(SIGCONT);
    CHECK(slow.get().status == 200);
    CHECK(second.target->runs == runs + 1);
  }
  // As in a rolling restart: the sidecar stops, its target keeps running.
  SECTION("a sidecar serves its target again after a graceful restart") {
    first.Announce("ready");
    second.process->Signal(SIGTERM);
    REQUIRE(second.process->Wait() == 0);
    second.Start();
    REQUIRE(Eventually([&] { return second.IsReady(); }));
    REQUIRE(Eventually(
        [&] { return second.Log().find("link-opened") != std::string::npos; }));
    second.Announce("ready");
    const int runs = second.target->runs;
    CHECK(Eventually(
        [&] {
          second.Call("/pay/1");
          return second.target->runs > runs;
        },
        seconds(3)));
  }
  SECTION("requests succeed again after a killed sidecar is restarted") {
    second.process->Kill();
    const Reply meanwhile = first.Call("/pay/1");
    CHECK((meanwhile.status == 502 || meanwhile.status == 503));
    second.Start();
    REQUIRE(Eventually([&] { return second.IsReady(); }));
    second.Announce("ready");
    CHECK(Eventually([&] { return first.Call("/pay/1").status == 200; },
                     seconds(3)));
  }
  SECTION("malformed bytes on any port do not end a process") {
    for (const int port :
         {first.base_port, first.base_port + 1, first.base_port + 2,
          first.base_port + 4, first.base_port + 5}) {
      asio::io_context context;
      asio::ip::tcp::socket socket(context);
      socket.connect({asio::ip::make_address("127.0.0.1"),
                      static_cast<std::uint16_t>(port)});
      const std::string junk(5000, '\xfe');
      boost::system::error_code ignored;
      asio::write(socket, asio::buffer(junk), ignored);
    }
    store.PutManifest("{\"version\":");
    std::this_thread::sleep_for(milliseconds(200));
    CHECK(first.process->IsRunning());
    CHECK(first.Call("/pay/1").status == 200);
    CHECK(Eventually([&] {
      return first.Log().find("manifest-unreadable") != std::string::npos;
    }));
  }
}

// Guards against a daemon that counts each request to its own target as one
// that still waits there.
TEST_CASE("A daemon goes on choosing the target beside it", "[sidecar]") {
  signal(SIGPIPE, SIG_IGN);
  Store store(kFirstSidecarPort);
  store.PutManifest(SidecarManifest(1, R"("k1")"));
  Vm first(0);
  Vm second(1);
  REQUIRE(Eventually([&] { return first.IsReady() && second.IsReady(); }));
  REQUIRE(first.Announce("ready") == 200);

  SECTION("after many requests, one at a time") {
    for (int i = 0; i < 300; ++i) {
      REQUIRE(first.Call("/pay/1").status == 200);
    }
  }
  SECTION("rather than one on another VM") {
    REQUIRE(second.Announce("ready") == 200);
    std::this_thread::sleep_for(milliseconds(200));
    for (int i = 0; i < 100; ++i) {
      REQUIRE(first.Call("/pay/1").status == 200);
    }
    CHECK(first.target->runs > 70);
  }
}
