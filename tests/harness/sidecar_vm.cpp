#include "harness/sidecar_vm.h"

#include <unistd.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <stdexcept>

namespace lycheewell::harness {
namespace asio = boost::asio;
namespace beast = boost::beast;
using io::http::Request;
using io::http::Response;
using io::http::Status;
using io::http::Verb;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

// Created and destroyed by the thread of the test.
std::set<SidecarVm*>& Registry() {
  static std::set<SidecarVm*> registry;
  return registry;
}

}  // namespace

SidecarTarget::SidecarTarget(int new_port) : port(new_port) {
  this->supervisor = std::thread([this] { this->Supervise(); });
}

SidecarTarget::~SidecarTarget() {
  this->has_ended = true;
  this->supervisor.join();
}

void SidecarTarget::Restart() {
  const int next = this->starts + 1;
  this->crash_wanted = true;
  while (this->starts < next || !this->up) {
    std::this_thread::sleep_for(milliseconds(5));
  }
}

void SidecarTarget::Supervise() {
  const auto start = [this] {
    this->fake_server.emplace(
        this->port,
        [this](Request request, const io::async::CancellationPointer&) {
          return this->Answer(std::move(request));
        });
  };
  start();
  while (!this->has_ended) {
    std::this_thread::sleep_for(milliseconds(1));
    if (!this->crash_wanted.exchange(false)) {
      continue;
    }
    this->up = false;
    this->fake_server.reset();
    std::this_thread::sleep_for(kDownTime);
    ++this->starts;
    start();
    this->up = true;
  }
}

asio::awaitable<std::optional<Response>> SidecarTarget::Answer(
    Request request) {
  const auto target = io::http::SplitTarget(io::http::View(request.target()));
  ++this->runs;
  this->last_account = std::string(io::http::View(request["Tenant-Id"]));
  this->saw_key =
      this->saw_key || request.find("Authorization") != request.end();
  if (target.query == "crash") {
    this->crash_wanted = true;
  }
  const std::string wait = target.query == "crash"
                               ? "10000"
                               : io::http::QueryValue(target.query, "wait");
  if (!wait.empty()) {
    asio::steady_timer timer(co_await asio::this_coro::executor,
                             milliseconds(std::stoi(wait)));
    co_await timer.async_wait(asio::use_awaitable);
  }
  if (target.query == "break") {
    co_return std::nullopt;
  }
  Response response =
      io::http::MakeResponse(Status::ok, "text/plain",
                             target.query.starts_with("echo")
                                 ? std::string(io::http::View(request.target()))
                                 : "done");
  response.set("Request-Id", request["Request-Id"]);
  response.set("Response-Signature", "signed");
  co_return response;
}

Reply SendRequest(int port, Verb verb, const std::string& target,
                  const std::string& key, const std::string& body,
                  milliseconds limit, const std::string& id) {
  static std::atomic<int> last_id = 0;
  asio::io_context context;
  beast::tcp_stream stream(context);
  Request request(verb, target, 11);
  request.set("Host", "a.example");
  request.set("Request-Id", id.empty() ? "r" + std::to_string(++last_id) : id);
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
      .request_id = std::string(io::http::View(response["Request-Id"])),
      .signature = std::string(io::http::View(response["Response-Signature"])),
      .retry_after = std::string(io::http::View(response["Retry-After"])),
      .body = response.body()};
}

SidecarVm::SidecarVm(int number, int new_store_port, int new_links_proxy_port,
                     std::string new_data_centre, std::string new_bounds,
                     std::string new_limits)
    : base_port(kFirstSidecarPort + 20 + 20 * number),
      name("vm-" + std::to_string(number)),
      store_port(new_store_port),
      links_proxy_port(new_links_proxy_port),
      data_centre(std::move(new_data_centre)),
      bounds(std::move(new_bounds)),
      limits(std::move(new_limits)),
      folder((std::filesystem::temp_directory_path() /
              ("lycheewell-sidecar-" + std::to_string(getpid()) + "-" +
               std::to_string(this->base_port)))
                 .string()) {
  this->target.emplace(this->base_port + 3);
  this->Start();
  Registry().insert(this);
}

SidecarVm::~SidecarVm() {
  Registry().erase(this);
  std::filesystem::remove_all(this->folder);
}

std::string SidecarVm::DefaultProgram() {
  const char* other = std::getenv("LYCHEEWELL_DAEMON");
  return other == nullptr ? std::string(LYCHEEWELL_BIN_DIR) + "/lycheewelld"
                          : other;
}

const std::set<SidecarVm*>& SidecarVm::All() { return Registry(); }

void SidecarVm::Start() {
  std::filesystem::create_directories(this->folder);
  const std::string path = this->folder + "/settings.json";
  std::ofstream(path)
      << R"({"sidecar":{"name":")" << this->name << R"(","data_centre":")"
      << this->data_centre << R"(","address":"127.0.0.1","clients_address":")"
      << LoopbackAddress(this->base_port) << R"(","announcements_address":")"
      << LoopbackAddress(this->base_port + 1) << R"(","readiness_address":")"
      << LoopbackAddress(this->base_port + 2) << R"(","target":{"address":")"
      << LoopbackAddress(this->base_port + 3)
      << R"(","service":"s"},"links_port":)" << this->base_port + 4
      << R"(,"advertised_links_port":)"
      << (this->links_proxy_port > 0 ? this->links_proxy_port
                                     : this->base_port + 4)
      << R"(,"metrics_port":)" << this->base_port + 5
      << R"(,"store":{"address":")" << LoopbackAddress(this->store_port)
      << R"("},"limits":)" << this->limits
      << R"(,"admission":{"patient_calls":true,)"
      << R"("account_turns":true,"fast_entry":true,"returns":true},)"
      << R"("routing":{"by_cost":)" << (this->routes_by_cost ? "true" : "false")
      << R"(},"bounds":)" << this->bounds << "}}";
  this->process.emplace(
      std::vector<std::string>{this->program, "--settings", path},
      this->folder + "/log");
}

void SidecarVm::Restart() {
  this->process->Kill();
  this->Start();
  if (!Eventually([this] { return this->IsReady(); }, seconds(10))) {
    throw std::runtime_error(this->name + " did not get ready");
  }
}

unsigned SidecarVm::Announce(const std::string& state) {
  return this->AnnounceAs(this->target->born(), ++this->sequence, state);
}

unsigned SidecarVm::AnnounceAs(int born, int report, const std::string& state,
                               int slots, int cold_ms) {
  return SendRequest(this->base_port + 1, Verb::post,
                     "/v1/instances/i-" + this->name + "/heartbeat", "",
                     R"({"born":)" + std::to_string(born) +
                         R"(,"address":"127.0.0.1:1","info":{"service":"s",)"
                         R"("version":"v1","zone":"z","slots":)" +
                         std::to_string(slots) + R"(},"status":{"state":")" +
                         state + R"(","seq":)" + std::to_string(report) +
                         R"(,"cold_time":")" + std::to_string(cold_ms) +
                         R"(ms"}})")
      .status;
}

unsigned SidecarVm::Deregister() {
  return SendRequest(this->base_port + 1, Verb::post,
                     "/v1/instances/i-" + this->name + "/deregister", "",
                     R"({"born":)" + std::to_string(this->target->born()) + "}")
      .status;
}

unsigned SidecarVm::Report(const std::string& path,
                           const std::string& body) const {
  return SendRequest(this->base_port + 1, Verb::post, path, "", body).status;
}

bool SidecarVm::IsReady() {
  return SendRequest(this->base_port + 2, Verb::get, "/v1/readiness", "")
             .status == 200;
}

Reply SidecarVm::Call(const std::string& target_path, const std::string& key,
                      Verb verb) {
  return SendRequest(this->base_port, verb, target_path, key);
}

std::string SidecarVm::Log() {
  std::ifstream file(this->folder + "/log");
  return {std::istreambuf_iterator<char>(file), {}};
}

std::string SidecarManifest(int version, const std::string& keys) {
  return R"({"version":"r)" + std::to_string(version) +
         R"(","routes":{"columns":["name","host","pathPrefix","kind","timeout","targetLatency",)"
         R"("priority","attempts","public","service"],"rows":[)"
         R"(["pay","a.example","/pay/","unsafe","2000ms","1500ms",0,2,false,"s"],)"
         R"(["long","a.example","/long/","unsafe","7000ms","6000ms",0,2,false,"s"],)"
         R"(["look","a.example","/look/","safe","2000ms","1500ms",2,2,false,"s"],)"
         R"(["inner","a.example","/inner/","safe","7000ms","6000ms",2,2,true,"s"],)"
         R"(["scan","a.example","/scan/","safe","7000ms","6000ms",2,2,false,"s"]]},)"
         R"("services":{"columns":["name","healthPath","maxConnections"],"rows":[["s","/h",99]]},)"
         R"("tenants":{"columns":["name","apiKeys"],"rows":[["club",[)" +
         keys + "]]]}}";
}

}  // namespace lycheewell::harness
