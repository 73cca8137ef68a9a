// The HTTP server at the end of a planned stop, and the memory of its bodies.
#include "lycheewell/sidecar/http/server.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>
#include <chrono>
#include <list>
#include <string>
#include <thread>
#include <vector>

#include "lycheewell/io/http/address.h"

namespace {
using namespace lycheewell;
using namespace lycheewell::sidecar;
namespace asio = boost::asio;
using asio::ip::tcp;
using std::chrono::milliseconds;

constexpr const char* kAddress = "127.0.0.1:21390";

struct Fixture {
  asio::io_context context;
  TimerQueue timers{this->context};
  http::ByteBudgetPointer budget =
      std::make_shared<http::ByteBudget>(4 * 1024 * 1024);
  http::HeldMemoryPointer memory =
      std::make_shared<core::overload::HeldMemory>(32 * 1024 * 1024);
  std::vector<http::ConnectionCut> cuts;
  core::overload::ConnectionBounds bounds{.usual = 1000, .most = 1100};
  std::vector<http::ExchangePointer> held;
  bool holds = false;
  http::Server server{
      this->context,
      this->timers,
      {.endpoint = io::http::ParseEndpoint(kAddress),
       .handler =
           [this](const http::ExchangePointer& exchange) {
             if (this->holds) {
               this->held.push_back(exchange);
             } else {
               exchange->Send({.status = 200, .body = "done"});
             }
           },
       .limits =
           [] { return http::ServerLimits{.body_bytes = 2 * 1024 * 1024}; },
       .on_bad_request = [](unsigned, std::string_view) {},
       .connection_bounds = [this] { return this->bounds; },
       .body_budget = this->budget,
       .held = this->memory,
       .on_cut =
           [this](const http::ConnectionCut& cut) {
             this->cuts.push_back(cut);
           }}};

  void RunFor(milliseconds time) {
    this->context.restart();
    this->context.run_for(time);
  }
};

// A client whose socket is not served by the fixture's loop.
struct Client {
  asio::io_context context;
  tcp::socket socket{this->context};

  explicit Client(const char* address = "127.0.0.1") {
    this->socket.open(tcp::v4());
    this->socket.bind({asio::ip::make_address(address), 0});
    this->socket.connect(io::http::ParseEndpoint(kAddress));
  }

  void Request(std::size_t body_size = 0) {
    asio::write(this->socket,
                asio::buffer("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: " +
                             std::to_string(body_size) + "\r\n\r\n" +
                             std::string(body_size, 'x')));
  }

  // All bytes up to the end of the connection or 200 ms of silence; "reset" if
  // the connection was reset.
  std::string ReadAll() {
    std::string text;
    boost::system::error_code error;
    this->socket.non_blocking(true);
    std::string block(4096, '\0');
    const auto end = std::chrono::steady_clock::now() + milliseconds(200);
    while (std::chrono::steady_clock::now() < end) {
      const std::size_t size =
          this->socket.read_some(asio::buffer(block), error);
      text.append(block, 0, size);
      if (error == asio::error::connection_reset) {
        return "reset";
      }
      if (error == asio::error::eof) {
        break;
      }
    }
    return text;
  }
};

}  // namespace

TEST_CASE("A planned stop answers what has arrived", "[sidecar][server]") {
  Fixture fixture;
  fixture.server.Start();

  SECTION("requests on connections that the kernel has accepted") {
    fixture.RunFor(milliseconds(20));
    std::list<Client> clients;
    for (int i = 0; i < 20; ++i) {
      clients.emplace_back().Request();
    }
    fixture.server.BeginDrain();
    fixture.server.Close();
    fixture.RunFor(milliseconds(300));
    for (Client& client : clients) {
      CHECK(client.ReadAll().starts_with("HTTP/1.1 200"));
    }
  }
  SECTION("a request that just arrived on a kept connection") {
    Client client;
    client.Request();
    fixture.RunFor(milliseconds(50));
    REQUIRE(client.ReadAll().starts_with("HTTP/1.1 200"));
    client.socket.non_blocking(false);
    client.Request();
    fixture.server.BeginDrain();
    fixture.server.Close();
    fixture.RunFor(milliseconds(300));
    CHECK(client.ReadAll().starts_with("HTTP/1.1 200"));
  }
  SECTION("a request whose second half comes after the end of the drain") {
    Client client;
    asio::write(client.socket,
                asio::buffer(std::string("GET / HTTP/1.1\r\nHost: a")));
    fixture.RunFor(milliseconds(50));
    fixture.server.BeginDrain();
    fixture.server.Close();
    fixture.RunFor(milliseconds(50));
    asio::write(client.socket, asio::buffer(std::string("\r\n\r\n")));
    fixture.RunFor(milliseconds(50));
    CHECK(client.ReadAll().starts_with("HTTP/1.1 200"));
  }
  SECTION("idle connections end without a reset") {
    Client client;
    client.Request();
    fixture.RunFor(milliseconds(50));
    REQUIRE(client.ReadAll().starts_with("HTTP/1.1 200"));
    fixture.server.BeginDrain();
    fixture.server.Close();
    fixture.RunFor(milliseconds(50));
    CHECK(client.ReadAll().empty());
    fixture.RunFor(milliseconds(700));
    CHECK(fixture.server.connection_count() == 0);
  }
}

TEST_CASE("Request bodies together take bounded memory", "[sidecar][server]") {
  Fixture fixture;
  fixture.server.Start();
  fixture.holds = true;
  constexpr std::size_t kBody = 1024 * 1024;
  std::list<Client> clients;
  const auto send = [&](std::size_t size) -> Client& {
    Client& client = clients.emplace_back();
    std::thread writer([&] {
      boost::system::error_code ignored;
      asio::write(
          client.socket,
          asio::buffer("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: " +
                       std::to_string(size) + "\r\n\r\n" +
                       std::string(size, 'x')),
          ignored);
    });
    fixture.RunFor(milliseconds(200));
    writer.join();
    return client;
  };
  for (int i = 0; i < 4; ++i) {
    send(kBody);
  }
  REQUIRE(fixture.held.size() == 4);

  SECTION("a body beyond the bound is refused as not run, with a time") {
    const std::string answer = send(kBody).ReadAll();
    CHECK(answer.starts_with("HTTP/1.1 503"));
    CHECK(answer.find("Retry-After: ") != std::string::npos);
    CHECK(fixture.held.size() == 4);
  }
  SECTION("short requests are still taken") {
    send(10);
    CHECK(fixture.held.size() == 5);
  }
  SECTION("answers free the memory") {
    fixture.held.front()->Send({.status = 200});
    fixture.RunFor(milliseconds(50));
    send(kBody);
    CHECK(fixture.held.size() == 5);
  }
  SECTION("so do clients that leave") {
    clients.front().socket.close();
    fixture.RunFor(milliseconds(50));
    CHECK(fixture.budget->used_bytes() < 4 * kBody);
    CHECK(fixture.budget->used_bytes() > 2 * kBody);
  }
}

// Guards against a crowd that takes all connections, so that others wait.
TEST_CASE("A crowd of one address leaves connections to others",
          "[sidecar][server]") {
  Fixture fixture;
  fixture.bounds = {.usual = 16, .most = 18};
  fixture.holds = true;
  fixture.server.Start();
  std::list<Client> crowd;
  for (int i = 0; i < 15; ++i) {
    crowd.emplace_back().Request();
  }
  fixture.RunFor(milliseconds(100));
  REQUIRE(fixture.held.size() == 14);
  CHECK(crowd.back().ReadAll().starts_with("HTTP/1.1 503"));
  Client other("127.0.0.2");
  other.Request();
  fixture.RunFor(milliseconds(50));
  CHECK(fixture.held.size() == 15);
}

// Guards against slow readers of long answers that together hold more than the
// VM has.
TEST_CASE("Answers that are not read count towards the bound",
          "[sidecar][server]") {
  Fixture fixture;
  fixture.server.Start();
  fixture.holds = true;
  constexpr std::size_t kAnswer = 32ULL * 1024 * 1024;
  Client slow;
  slow.Request();
  fixture.RunFor(milliseconds(50));
  REQUIRE(fixture.held.size() == 1);
  fixture.held.front()->Send(
      {.status = 200, .body = std::string(kAnswer, 'x')});
  fixture.RunFor(milliseconds(50));
  CHECK(fixture.memory->used_bytes() > kAnswer);

  SECTION("new work is refused as not run, with a time") {
    Client other;
    other.Request();
    fixture.RunFor(milliseconds(50));
    const std::string answer = other.ReadAll();
    CHECK(answer.starts_with("HTTP/1.1 503"));
    CHECK(answer.find("Retry-After: ") != std::string::npos);
    CHECK(fixture.held.size() == 1);
  }
  SECTION("the connection that stands still is cut, and work goes on") {
    fixture.RunFor(milliseconds(1600));
    REQUIRE(fixture.cuts.size() == 1);
    CHECK(fixture.cuts.front().held_bytes > kAnswer);
    CHECK(fixture.memory->used_bytes() == 0);
    Client other;
    other.Request();
    fixture.RunFor(milliseconds(50));
    CHECK(fixture.held.size() == 2);
  }
}

// Guards against requests that are passed on although their clients left while
// the connections waited to be accepted.
TEST_CASE("A client that left before its connection was accepted is not served",
          "[sidecar][server]") {
  Fixture fixture;
  fixture.holds = true;
  Client stays;
  stays.Request();
  Client leaves;
  leaves.Request();
  leaves.socket.close();
  fixture.server.Start();
  fixture.RunFor(milliseconds(100));
  CHECK(fixture.held.size() == 1);
  CHECK(fixture.server.connection_count() == 1);
}
