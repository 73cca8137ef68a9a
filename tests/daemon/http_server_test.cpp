// The HTTP server beside callers that take more connections and memory than
// there are.
#include <atomic>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>
#include <list>
#include <memory>
#include <string>
#include <thread>

#include "lycheewell/io/http/server.h"

namespace {
using namespace lycheewell::io::http;
namespace asio = boost::asio;
using asio::ip::tcp;

constexpr std::size_t kHeldBytes = 1024 * 1024;
constexpr int kCrowd = 40;  // more connections than fit

struct Fixture {
  asio::io_context context;
  std::shared_ptr<SharedHeldMemory> held =
      std::make_shared<SharedHeldMemory>(kHeldBytes);
  std::atomic<int> closed = 0;
  Server server{
      this->context,
      {.address = "127.0.0.1:0",
       .held = this->held,
       .on_closed = [this](const ClosedConnection&) { ++this->closed; }},
      [](Request, const lycheewell::io::async::CancellationPointer&)
          -> asio::awaitable<std::optional<Response>> {
        co_return MakeResponse(Status::ok, "text/plain", "done");
      }};
  std::thread thread;

  Fixture() {
    this->server.Start();
    this->thread = std::thread([this] { this->context.run(); });
  }
  ~Fixture() {
    this->context.stop();
    this->thread.join();
  }
};

struct Caller {
  asio::io_context context;
  tcp::socket socket{this->context, tcp::v4()};

  Caller(const Server& server, const std::string& address) {
    this->socket.bind({asio::ip::make_address(address), 0});
    this->socket.connect({asio::ip::make_address("127.0.0.1"), server.port()});
  }

  std::string Ask(std::size_t body_size) {
    boost::system::error_code ignored;
    asio::write(this->socket,
                asio::buffer("POST / HTTP/1.1\r\nConnection: close\r\n"
                             "Content-Length: " +
                             std::to_string(body_size) + "\r\n\r\n" +
                             std::string(body_size, 'x')),
                ignored);
    std::string answer;
    asio::read(this->socket, asio::dynamic_buffer(answer), ignored);
    return answer;
  }
};

}  // namespace

TEST_CASE("A crowd leaves the server's memory and places to others",
          "[http-server]") {
  Fixture fixture;

  SECTION("a body that does not fit is refused as not run, with a time") {
    const std::string answer =
        Caller(fixture.server, "127.0.0.1").Ask(kHeldBytes);
    CHECK(answer.starts_with("HTTP/1.1 503"));
    CHECK(answer.find("Lycheewell-Outcome: not-run") != std::string::npos);
    CHECK(answer.find("Retry-After: ") != std::string::npos);
  }
  SECTION("one address cannot take all connections") {
    std::list<Caller> crowd;
    for (int i = 0; i < kCrowd; ++i) {
      crowd.emplace_back(fixture.server, "127.0.0.1");
    }
    Caller other(fixture.server, "127.0.0.2");
    CHECK(other.Ask(10).starts_with("HTTP/1.1 200"));
    CHECK(fixture.closed > 0);
    CHECK(fixture.held->used_bytes() < kHeldBytes);
  }
}
