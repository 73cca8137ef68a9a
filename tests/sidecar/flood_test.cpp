// A daemon beside clients that send many requests ahead and read no answer.
#include <signal.h>
#include <sys/resource.h>

#include <algorithm>
#include <atomic>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <catch2/catch.hpp>
#include <chrono>
#include <filesystem>
#include <fstream>
#include <list>
#include <optional>
#include <string>
#include <thread>

#include "harness/sidecar_vm.h"
#include "lycheewell/io/http/address.h"

namespace {
using namespace lycheewell;
using harness::Eventually;
using harness::kFirstSidecarPort;
using harness::LoopbackAddress;
using harness::SidecarManifest;
using harness::Store;
using Vm = harness::SidecarVm;
using boost::asio::ip::tcp;
using io::http::Verb;
using std::chrono::milliseconds;
using std::chrono::seconds;
using std::chrono::steady_clock;

constexpr std::size_t kKilobyte = 1024;
constexpr std::size_t kMegabyte = kKilobyte * kKilobyte;

// The crowd.
constexpr int kConnections = 60;
constexpr std::size_t kSentAhead = 4 * kMegabyte;  // by each connection
constexpr seconds kSendingTime{5};

// The smallest VM has 160 MB, of which clients may hold 64 MB. With a limit of
// 4 MB the daemon may grow by the same part of its VM.
constexpr std::size_t kSmallestVm = 160 * kMegabyte;
constexpr std::size_t kUsualLimit = 64 * kMegabyte;
constexpr std::size_t kLimit = 4 * kMegabyte;
constexpr std::size_t kMaxGrowth = kSmallestVm / (kUsualLimit / kLimit);

// A quarter of the descriptors stays for links, the store and files.
constexpr rlim_t kDescriptors = 256;
constexpr std::size_t kMaxOpenDescriptors = kDescriptors / 4 * 3;

// Ends a test of a daemon that hangs.
constexpr seconds kHangTime{60};

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

std::size_t AnonymousMemory(pid_t pid) {
  std::ifstream status("/proc/" + std::to_string(pid) + "/status");
  std::string word;
  while (status >> word) {
    if (word == "RssAnon:") {
      std::size_t kilobytes = 0;
      status >> kilobytes;
      return kilobytes * kKilobyte;
    }
  }
  return 0;
}

std::size_t OpenDescriptors(pid_t pid) {
  std::error_code error;
  std::size_t count = 0;
  for (std::filesystem::directory_iterator
           entry("/proc/" + std::to_string(pid) + "/fd", error),
       end;
       !error && entry != end; entry.increment(error)) {
    ++count;
  }
  return count;
}

// The largest use of a process while the object lives.
class PeakUse {
 public:
  explicit PeakUse(pid_t pid)
      : sampler([this, pid] {
          while (!this->has_ended) {
            this->memory = std::max(this->memory.load(), AnonymousMemory(pid));
            this->descriptors =
                std::max(this->descriptors.load(), OpenDescriptors(pid));
            std::this_thread::sleep_for(milliseconds(5));
          }
        }) {}
  ~PeakUse() {
    this->has_ended = true;
    this->sampler.join();
  }

  std::atomic<std::size_t> memory = 0;
  std::atomic<std::size_t> descriptors = 0;

 private:
  std::atomic<bool> has_ended = false;
  std::thread sampler;
};

// Connections that send `request` again and again and never read.
class Crowd {
 public:
  Crowd(int port, const std::string& request) {
    while (this->block.size() < kBlock) {
      this->block += request;
    }
    const auto endpoint = io::http::ParseEndpoint(LoopbackAddress(port));
    for (int i = 0; i < kConnections; ++i) {
      boost::system::error_code ignored;  // the daemon may close any of them
      Member& member = this->members.emplace_back(this->context);
      member.socket.connect(endpoint, ignored);
      member.socket.non_blocking(true, ignored);
    }
  }

  // Returns when all has been sent that the daemon takes within the time.
  void Send() {
    const auto end = steady_clock::now() + kSendingTime;
    while (steady_clock::now() < end) {
      std::size_t sent = 0;
      for (Member& member : this->members) {
        sent += this->SendSome(member);
      }
      if (sent == 0) {
        std::this_thread::sleep_for(milliseconds(1));
      }
    }
  }

 private:
  static constexpr std::size_t kBlock = 64 * kKilobyte;
  struct Member {
    explicit Member(boost::asio::io_context& context) : socket(context) {}
    tcp::socket socket;
    std::size_t sent = 0;
  };

  std::size_t SendSome(Member& member) {
    if (member.sent >= kSentAhead) {
      return 0;
    }
    const std::size_t offset = member.sent % this->block.size();
    boost::system::error_code ignored;
    const std::size_t size = member.socket.write_some(
        boost::asio::buffer(this->block) + offset, ignored);
    member.sent += size;
    return size;
  }

  boost::asio::io_context context;
  std::string block;
  std::list<Member> members;
};

struct Fixture {
  Store store{kFirstSidecarPort};
  std::optional<Vm> vm;

  Fixture() {
    signal(SIGPIPE, SIG_IGN);
    this->store.PutManifest(SidecarManifest(1, R"("k1")"));
    {
      const FewDescriptors few;
      this->vm.emplace(0, kFirstSidecarPort, 0, "z", "{}",
                       R"({"held_bytes":)" + std::to_string(kLimit) + "}");
    }
    REQUIRE(Eventually([&] { return this->vm->IsReady(); }));
    REQUIRE(this->vm->Announce("ready") == 200);
    std::this_thread::sleep_for(milliseconds(300));
  }

  void CheckFlood(int port, const std::string& request) {
    const pid_t pid = this->vm->process->pid();
    const std::size_t memory = AnonymousMemory(pid);
    const std::size_t descriptors = OpenDescriptors(pid);
    {
      const PeakUse peak(pid);
      Crowd crowd(port, request);
      crowd.Send();
      CHECK(peak.memory <= memory + kMaxGrowth);
      CHECK(peak.descriptors <= kMaxOpenDescriptors);
    }
    REQUIRE(this->vm->process->IsRunning());
    CHECK(Eventually(
        [&] { return OpenDescriptors(pid) <= descriptors + kConnections / 10; },
        kHangTime));
    // A target that has announced nothing for some seconds gets no requests.
    REQUIRE(this->vm->Announce("ready") == 200);
    std::this_thread::sleep_for(milliseconds(300));
    CHECK(harness::SendRequest(this->vm->base_port, Verb::get, "/scan/1", "k1",
                               "", milliseconds(7000))
              .status == 200);
    CHECK(this->vm->IsReady());
    CHECK(this->vm->process->IsRunning());
  }
};

}  // namespace

// Guards against a process that runs out of memory: the daemon must not hold
// what such clients send or do not read.
TEST_CASE("Clients that send ahead and read no answer take bounded memory",
          "[flood]") {
  Fixture fixture;
  const int clients_port = fixture.vm->base_port;
  const int readiness_port = fixture.vm->base_port + 2;

  SECTION("with requests without the usual headers") {
    fixture.CheckFlood(clients_port, "GET /look/1 HTTP/1.1\r\nHost: x\r\n\r\n");
  }
  SECTION("at the readiness path") {
    fixture.CheckFlood(readiness_port,
                       "GET /v1/readiness HTTP/1.1\r\nHost: x\r\n\r\n");
  }
  SECTION("at a path that no route has") {
    fixture.CheckFlood(clients_port,
                       "GET /nowhere/1 HTTP/1.1\r\nHost: a.example\r\n"
                       "Request-Id: same\r\nAuthorization: Bearer k1\r\n"
                       "Deadline-Ms: 7000\r\n\r\n");
  }
}
