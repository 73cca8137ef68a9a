// End-to-end tests: real sidecar processes on loopback, with fakes of the
// platform's store and of targets that follow the platform's documentation.
#include <signal.h>
#include <unistd.h>

#include <atomic>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <catch2/catch.hpp>
#include <filesystem>
#include <fstream>
#include <future>
#include <map>
#include <mutex>
#include <thread>

#include "harness/process.h"
#include "harness/store.h"
#include "lycheewell/io/http/server.h"

namespace {
using namespace lycheewell;
namespace asio = boost::asio;
namespace beast = boost::beast;
using harness::FakeServer;
using harness::LoopbackAddress;
using harness::Store;
using io::http::Request;
using io::http::Response;
using io::http::Status;
using io::http::Verb;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr int kFirstPort = 21'400;

// Fake of a target. A request's query selects the answer: wait=MS delays it,
// break closes the connection without an answer.
class Target {
 public:
  explicit Target(int port)
      : fake_server(port, [this](Request request,
                                 const io::async::CancellationPointer&) {
          return this->Answer(std::move(request));
        }) {}

  std::atomic<int> runs = 0;
  std::string last_account;
  bool saw_key = false;

 private:
  asio::awaitable<std::optional<Response>> Answer(Request request) {
    const auto target = io::http::SplitTarget(io::http::View(request.target()));
    ++this->runs;
    this->last_account = std::string(io::http::View(request["Tenant-Id"]));
    this->saw_key =
        this->saw_key || request.find("Authorization") != request.end();
    const std::string wait = io::http::QueryValue(target.query, "wait");
    if (!wait.empty()) {
      asio::steady_timer timer(co_await asio::this_coro::executor,
                               milliseconds(std::stoi(wait)));
      co_await timer.async_wait(asio::use_awaitable);
    }
    if (target.query == "break") {
      co_return std::nullopt;
    }
    Response response =
        io::http::MakeResponse(Status::ok, "text/plain", "done");
    response.set("Request-Id", request["Request-Id"]);
    response.set("Response-Signature", "signed");
    co_return response;
  }

  FakeServer fake_server;
};

struct Reply {
  unsigned status = 0;  // 0: no complete answer
  std::string signature;
  std::string retry_after;
  std::string body;
};

Reply SendRequest(int port, Verb verb, const std::string& target,
                  const std::string& key, const std::string& body = "",
                  milliseconds limit = milliseconds(3000)) {
  static std::atomic<int> last_id = 0;
  asio::io_context context;
  beast::tcp_stream stream(context);
  Request request(verb, target, 11);
  request.set("Host", "a.example");
  request.set("Request-Id", "r" + std::to_string(++last_id));
  request.set("Deadline-Ms", std::to_string(limit.count()));
  if (!key.empty()) {
    request.set("Authorization", "Bearer " + key);
  }
  request.body() = body;
  request.prepare_payload();
  boost::system::error_code error;
  stream.connect(
      {asio::ip::make_address("127.0.0.1"), static_cast<std::uint16_t>(port)},
      error);
  if (error) {
    return {};
  }
  beast::http::write(stream, request, error);
  beast::flat_buffer buffer;
  Response response;
  beast::http::read(stream, buffer, response, error);
  if (error) {
    return {};
  }
  return {
      .status = response.result_int(),
      .signature = std::string(io::http::View(response["Response-Signature"])),
      .retry_after = std::string(io::http::View(response["Retry-After"])),
      .body = response.body()};
}

template <typename Condition>
bool Eventually(Condition condition, milliseconds limit = seconds(5)) {
  const auto end = std::chrono::steady_clock::now() + limit;
  while (!condition()) {
    if (std::chrono::steady_clock::now() > end) {
      return false;
    }
    std::this_thread::sleep_for(milliseconds(20));
  }
  return true;
}

// A sidecar and its target.
class Vm {
 public:
  explicit Vm(int number)
      : base_port(kFirstPort + 20 + 20 * number),
        name("vm-" + std::to_string(number)) {
    this->target.emplace(this->base_port + 3);
    this->Start();
  }
  ~Vm() { std::filesystem::remove_all(this->folder); }

  void Start() {
    std::filesystem::create_directories(this->folder);
    const std::string path = this->folder + "/settings.json";
    std::ofstream(path)
        << R"({"sidecar":{"name":")" << this->name
        << R"(","data_centre":"z","address":"127.0.0.1","clients_address":")"
        << LoopbackAddress(this->base_port) << R"(","announcements_address":")"
        << LoopbackAddress(this->base_port + 1) << R"(","readiness_address":")"
        << LoopbackAddress(this->base_port + 2) << R"(","target":{"address":")"
        << LoopbackAddress(this->base_port + 3)
        << R"(","service":"s"},"links_port":)" << this->base_port + 4
        << R"(,"metrics_port":)" << this->base_port + 5
        << R"(,"store":{"address":")" << LoopbackAddress(kFirstPort)
        << R"("},"bounds":{}}})";
    this->process.emplace(
        std::vector<std::string>{
            std::string(LYCHEEWELL_BIN_DIR) + "/lycheewelld", "--settings",
            path},
        this->folder + "/log");
  }

  unsigned Announce(const std::string& state) {
    ++this->sequence;
    return SendRequest(
               this->base_port + 1, Verb::post,
               "/v1/instances/i-" + this->name + "/heartbeat", "",
               R"({"born":1,"info":{"service":"s","slots":4},"status":{"state":")" +
                   state + R"(","seq":)" + std::to_string(this->sequence) +
                   R"(,"cold_time":"0ms"}})")
        .status;
  }

  bool IsReady() {
    return SendRequest(this->base_port + 2, Verb::get, "/v1/readiness", "")
               .status == 200;
  }

  Reply Call(const std::string& target, const std::string& key = "k1",
             Verb verb = Verb::post) {
    return SendRequest(this->base_port, verb, target, key);
  }

  std::string Log() {
    std::ifstream file(this->folder + "/log");
    return {std::istreambuf_iterator<char>(file), {}};
  }

  int base_port;
  std::string name;
  std::optional<Target> target;
  std::optional<harness::Process> process;
  int sequence = 0;
  std::string folder = (std::filesystem::temp_directory_path() /
                        ("lycheewell-sidecar-" + std::to_string(getpid()) +
                         "-" + std::to_string(this->base_port)))
                           .string();
};

std::string ManifestText(int version, const std::string& keys) {
  return R"({"version":"r)" + std::to_string(version) +
         R"(","routes":{"columns":["name","host","pathPrefix","kind","timeout","targetLatency",)"
         R"("priority","attempts","public","service"],"rows":[)"
         R"(["pay","a.example","/pay/","unsafe","2000ms","1500ms",0,2,false,"s"],)"
         R"(["long","a.example","/long/","unsafe","7000ms","6000ms",0,2,false,"s"],)"
         R"(["look","a.example","/look/","safe","2000ms","1500ms",2,2,false,"s"]]},)"
         R"("services":{"columns":["name","healthPath","maxConnections"],"rows":[["s","/h",99]]},)"
         R"("tenants":{"columns":["name","apiKeys"],"rows":[["club",[)" +
         keys + "]]]}}";
}

}  // namespace

TEST_CASE("A fleet of sidecars serves a platform's clients", "[sidecar]") {
  signal(SIGPIPE, SIG_IGN);
  Store store(kFirstPort);
  store.PutManifest(ManifestText(1, R"("k1","k2")"));
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
    store.PutManifest(ManifestText(3, R"("k1")"));
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
