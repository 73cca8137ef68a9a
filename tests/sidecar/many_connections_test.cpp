// A daemon whose clients open more connections than it has file descriptors.
#include <signal.h>
#include <sys/resource.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>
#include <chrono>
#include <future>
#include <list>
#include <optional>
#include <string>

#include "harness/sidecar_vm.h"
#include "lycheewell/io/http/address.h"

namespace {
using namespace lycheewell;
using harness::Eventually;
using harness::kFirstSidecarPort;
using harness::LoopbackAddress;
using harness::Reply;
using harness::SidecarManifest;
using harness::Store;
using harness::StoreFault;
using Vm = harness::SidecarVm;
using boost::asio::ip::tcp;
using io::http::Verb;
using std::chrono::milliseconds;
using std::chrono::seconds;
using std::chrono::steady_clock;

constexpr rlim_t kDescriptors = 400;
constexpr int kConnections = 700;

// /look/ has a time-out of 2 s. A request may be answered this much later.
constexpr milliseconds kTimeout{2000};
constexpr milliseconds kAnswerMargin{500};

// Within this time a new manifest has to be in force.
constexpr milliseconds kManifestBound{2000};

// Processes that start meanwhile get few file descriptors.
class FewDescriptors {
 public:
  FewDescriptors() {
    getrlimit(RLIMIT_NOFILE, &this->usual);
    const rlimit few{kDescriptors, this->usual.rlim_max};
    setrlimit(RLIMIT_NOFILE, &few);
  }
  ~FewDescriptors() { setrlimit(RLIMIT_NOFILE, &this->usual); }

 private:
  rlimit usual{};
};

// Connections that send `bytes` each and stay open.
class Clients {
 public:
  Clients(const Vm& vm, const std::string& bytes) {
    const auto endpoint =
        io::http::ParseEndpoint(LoopbackAddress(vm.base_port));
    for (int i = 0; i < kConnections; ++i) {
      boost::system::error_code ignored;  // the daemon may close any of them
      tcp::socket& socket = this->sockets.emplace_back(this->context);
      socket.connect(endpoint, ignored);
      boost::asio::write(socket, boost::asio::buffer(bytes), ignored);
    }
    std::this_thread::sleep_for(milliseconds(200));
  }

 private:
  boost::asio::io_context context;
  std::list<tcp::socket> sockets;
};

struct Fixture {
  Store store{kFirstSidecarPort};
  std::optional<Vm> vm;

  Fixture() {
    signal(SIGPIPE, SIG_IGN);
    this->store.PutManifest(SidecarManifest(1, R"("k1","k2")"));
    {
      const FewDescriptors few;
      this->vm.emplace(0);
    }
    REQUIRE(Eventually([&] { return this->vm->IsReady(); }));
    REQUIRE(this->vm->Announce("ready") == 200);
    std::this_thread::sleep_for(milliseconds(300));
  }

  // The answer within the route's time-out; empty if there is none.
  std::optional<Reply> AnswerInTime(const std::string& path,
                                    const std::string& key = "k1") {
    this->calls.push_back(std::async(std::launch::async, [=, this] {
      return harness::SendRequest(this->vm->base_port, Verb::get, path, key);
    }));
    auto& call = this->calls.back();
    if (call.wait_for(kTimeout + kAnswerMargin) != std::future_status::ready) {
      return std::nullopt;
    }
    return call.get();
  }

  std::list<std::future<Reply>> calls;
};

}  // namespace

// Guards against requests that are held past their time-out, and manifests that
// are not read, because clients' connections take all file descriptors.
TEST_CASE("Clients with many connections leave the daemon room to work",
          "[sidecar][connections]") {
  Fixture fixture;

  SECTION("connections without a request give way to a new one") {
    const Clients idle(*fixture.vm, "");
    const auto reply = fixture.AnswerInTime("/look/1");
    REQUIRE(reply);
    CHECK(reply->status == 200);
    CHECK(fixture.vm->IsReady());
    CHECK(fixture.vm->Announce("ready") == 200);
  }
  SECTION("so do requests that do not arrive") {
    const Clients slow(*fixture.vm, "GET /look/1 HTTP/1.1\r\nHost: a.exa");
    const auto reply = fixture.AnswerInTime("/look/1");
    REQUIRE(reply);
    CHECK(reply->status == 200);
  }
  SECTION("beside requests that run, a new one is refused with a time") {
    const Clients busy(*fixture.vm,
                       "GET /scan/1?wait=5000 HTTP/1.1\r\n"
                       "Host: a.example\r\nRequest-Id: same\r\n"
                       "Authorization: Bearer k1\r\n"
                       "Deadline-Ms: 7000\r\n\r\n");
    const auto reply = fixture.AnswerInTime("/look/1");
    REQUIRE(reply);
    CHECK((reply->status == 200 || reply->status == 503));
    CHECK((reply->status == 200 || !reply->retry_after.empty()));
    CHECK(fixture.vm->IsReady());
  }
  SECTION(
      "a new manifest is in force in time, on new connections to the store") {
    const Clients idle(*fixture.vm, "");
    fixture.store.fault = StoreFault::kLostAnswers;
    std::this_thread::sleep_for(seconds(1));
    fixture.store.fault = StoreFault::kNone;
    fixture.store.PutManifest(SidecarManifest(2, R"("k2")"));
    std::this_thread::sleep_for(kManifestBound);
    const auto reply = fixture.AnswerInTime("/look/1", "k1");
    REQUIRE(reply);
    CHECK(reply->status == 401);
  }
}
