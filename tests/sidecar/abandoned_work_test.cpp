// For how long targets are at work on requests whose callers have left.
#include <signal.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>
#include <thread>

#include "harness/caller.h"
#include "harness/sidecar_vm.h"
#include "harness/working_target.h"
#include "lycheewell/io/http/address.h"
#include "soak/proxy.h"

namespace {
using namespace lycheewell;
using harness::Caller;
using harness::Eventually;
using harness::kFirstSidecarPort;
using harness::LoopbackAddress;
using harness::SidecarManifest;
using harness::Store;
using harness::WorkingTarget;
using Vm = harness::SidecarVm;
using io::http::Verb;
using std::chrono::milliseconds;
using std::chrono::seconds;
using std::chrono::steady_clock;

// Work may go on for this long after its caller has left.
constexpr milliseconds kBound{500};
constexpr int kLinksProxyPort = kFirstSidecarPort + 300;
constexpr std::size_t kLargeBodyBytes = 900 * 1024;

// A client that leaves when it is told to. It states a time limit of 7 s.
class Client {
 public:
  explicit Client(const Vm& vm) : caller(LoopbackAddress(vm.base_port)) {}

  void Send(const std::string& path, const std::string& body = "") {
    static int last_id = 0;
    this->caller.SendOnly(
        {.method = body.empty() ? "GET" : "PUT",
         .target = path,
         .key = "k1",
         .body = body,
         .headers = {{"Host", "a.example"},
                     {"Request-Id", "gone-" + std::to_string(++last_id)},
                     {"Deadline-Ms", "7000"}}});
  }
  void Leave() { this->caller.Leave(); }

 private:
  Caller caller;
};

// Two VMs. Requests enter at the first one; only the second one's target takes
// them, unless the first one's is announced.
struct Fixture {
  Store store{kFirstSidecarPort};
  boost::asio::io_context proxy_context;
  soak::Proxy proxy{this->proxy_context, kLinksProxyPort,
                    kFirstSidecarPort + 20 + 20 + 4};
  std::thread proxy_thread;
  Vm first{0};
  Vm second{1, kFirstSidecarPort, kLinksProxyPort};
  std::optional<WorkingTarget> near;
  std::optional<WorkingTarget> far;

  Fixture() {
    signal(SIGPIPE, SIG_IGN);
    this->proxy_thread = std::thread([this] { this->proxy_context.run(); });
    this->store.PutManifest(SidecarManifest(1, R"("k1")"));
    this->first.target.reset();
    this->second.target.reset();
    this->near.emplace(this->first.base_port + 3);
    this->far.emplace(this->second.base_port + 3);
    REQUIRE(Eventually(
        [&] { return this->first.IsReady() && this->second.IsReady(); }));
  }
  ~Fixture() {
    this->proxy_context.stop();
    this->proxy_thread.join();
  }

  void Report(Vm& vm) {
    REQUIRE(vm.AnnounceAs(1, ++this->reports, "ready") == 200);
  }

  // Returns when requests at the first VM get to the target of `vm`, which must
  // be the only one. The connection of the request that shows it is not kept.
  void Announce(Vm& vm) {
    WorkingTarget& target = &vm == &this->first ? *this->near : *this->far;
    target.work_ms = 0;
    target.SetHeaderLines("Connection: close\r\n");
    this->Report(vm);
    REQUIRE(Eventually([this] {
      return this->first.Call("/look/1", "k1", Verb::get).status == 200;
    }));
    target.SetHeaderLines("");
    target.work_ms = -1;
  }

  int reports = 0;
};

void WaitUntilAtWork(const WorkingTarget& target) {
  REQUIRE(Eventually([&] { return target.at_work() > 0; }));
}

bool EndsWithin(const WorkingTarget& target, milliseconds limit) {
  return Eventually([&] { return target.at_work() == 0; }, limit);
}

}  // namespace

// Guards against targets that go on working for callers that have closed.
TEST_CASE("Work ends when its caller leaves", "[sidecar][abandoned]") {
  Fixture fixture;
  Client client(fixture.first);

  SECTION("at the target on the same VM") {
    fixture.Announce(fixture.first);
    client.Send("/scan/1");
    WaitUntilAtWork(*fixture.near);
    client.Leave();
    CHECK(EndsWithin(*fixture.near, kBound));
  }
  SECTION("at a target on another VM") {
    fixture.Announce(fixture.second);
    client.Send("/scan/1");
    WaitUntilAtWork(*fixture.far);
    client.Leave();
    CHECK(EndsWithin(*fixture.far, kBound));
  }
  SECTION("for a call that the target made") {
    fixture.Announce(fixture.first);
    fixture.near->calls_port = fixture.first.base_port;
    client.Send("/scan/calls/1");
    WaitUntilAtWork(*fixture.near);
    fixture.Report(fixture.second);
    REQUIRE(Eventually(
        [&] { return fixture.near->at_work() + fixture.far->at_work() > 1; }));
    client.Leave();
    CHECK(EndsWithin(*fixture.near, kBound));
    CHECK(EndsWithin(*fixture.far, kBound));
  }
  SECTION("although the target has not read all of the request") {
    fixture.Announce(fixture.first);
    fixture.near->reads_bodies = false;
    client.Send("/scan/1", std::string(kLargeBodyBytes, 'b'));
    WaitUntilAtWork(*fixture.near);
    std::this_thread::sleep_for(milliseconds(100));
    client.Leave();
    CHECK(EndsWithin(*fixture.near, kBound));
  }
  SECTION("behind a link that has gone silent, once it is given up") {
    fixture.Announce(fixture.second);
    client.Send("/scan/1");
    WaitUntilAtWork(*fixture.far);
    fixture.proxy.SilenceOpen();
    client.Leave();
    constexpr milliseconds kLinkTimeout{2800};
    constexpr milliseconds kLinkCheckPeriod{500};
    CHECK(EndsWithin(*fixture.far, kLinkTimeout + kLinkCheckPeriod + kBound));
  }
}

// Guards against targets that work beyond the time-out of the route, and
// against callers that are held on beyond it.
TEST_CASE("Work ends at the route's time-out", "[sidecar][abandoned]") {
  Fixture fixture;
  constexpr milliseconds kRouteTimeout{2000};

  const auto check = [&](const std::string& path, const std::string& body) {
    const auto begin = steady_clock::now();
    const harness::Reply reply =
        harness::SendRequest(fixture.first.base_port, Verb::put, path, "k1",
                             body, milliseconds(6000));
    CHECK(reply.status == 504);
    CHECK(steady_clock::now() - begin < kRouteTimeout + kBound);
    CHECK(EndsWithin(*fixture.near, kBound));
    CHECK(EndsWithin(*fixture.far, kBound));
  };

  SECTION("at the target on the same VM") {
    fixture.Announce(fixture.first);
    check("/look/1", "");
    check("/pay/1", "");
  }
  SECTION("at a target on another VM") {
    fixture.Announce(fixture.second);
    check("/look/1", "");
    check("/pay/1", "");
  }
  SECTION("although the target has not read all of the request") {
    fixture.near->reads_bodies = false;
    fixture.Announce(fixture.first);
    check("/look/1", std::string(kLargeBodyBytes, 'b'));
  }
  SECTION("counted from when the call was sent, if its link holds it up") {
    fixture.Announce(fixture.second);
    fixture.proxy.Hold(true, false);
    const auto begin = steady_clock::now();
    std::thread release([&] {
      std::this_thread::sleep_for(milliseconds(1200));
      fixture.proxy.Hold(false, false);
    });
    check("/look/1", "");
    release.join();
    CHECK(steady_clock::now() - begin < kRouteTimeout + 2 * kBound);
  }
  SECTION("counted from the request's first bytes") {
    fixture.Announce(fixture.first);
    boost::asio::io_context context;
    boost::asio::ip::tcp::socket client(context);
    client.connect(
        io::http::ParseEndpoint(LoopbackAddress(fixture.first.base_port)));
    const int arrivals_before = fixture.near->arrivals();
    const auto begin = steady_clock::now();
    boost::asio::write(
        client,
        boost::asio::buffer(std::string(
            "PUT /look/1 HTTP/1.1\r\nHost: a.example\r\nRequest-Id: slow\r\n"
            "Deadline-Ms: 6000\r\nAuthorization: Bearer k1\r\n"
            "Content-Length: 8\r\n\r\nbody")));

    SECTION("if its body comes slowly") {
      std::this_thread::sleep_for(milliseconds(1000));
      boost::asio::write(client, boost::asio::buffer(std::string("body")));
      WaitUntilAtWork(*fixture.near);
      CHECK(EndsWithin(*fixture.near, seconds(4)));
      CHECK(steady_clock::now() - begin < kRouteTimeout + kBound);
    }
    SECTION("if the rest of its body does not come") {
      std::string answer;
      boost::asio::read_until(client, boost::asio::dynamic_buffer(answer),
                              "\r\n");
      CHECK(answer.starts_with("HTTP/1.1 408"));
      CHECK(steady_clock::now() - begin < kRouteTimeout + kBound);
      CHECK(fixture.near->arrivals() == arrivals_before);
    }
  }
}

// Guards against requests that are passed on although their client has closed:
// the daemon reads both late, as it was paused or has no processor time.
TEST_CASE("A request whose client has left is not passed on",
          "[sidecar][abandoned]") {
  Fixture fixture;
  fixture.Announce(fixture.first);
  const int arrivals_before = fixture.near->arrivals();
  Client client(fixture.first);
  fixture.first.process->Signal(SIGSTOP);
  SECTION("a safe one") { client.Send("/scan/1"); }
  SECTION("an unsafe one") { client.Send("/long/1"); }
  std::this_thread::sleep_for(milliseconds(100));
  client.Leave();
  std::this_thread::sleep_for(milliseconds(600));
  fixture.first.process->Signal(SIGCONT);
  std::this_thread::sleep_for(milliseconds(500));
  CHECK(fixture.near->arrivals() == arrivals_before);
}
