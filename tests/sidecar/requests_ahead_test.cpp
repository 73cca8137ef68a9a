// Clients that send further requests before the first one has been answered.
#include <boost/asio/io_context.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>
#include <chrono>
#include <string>
#include <vector>

#include "lycheewell/io/http/address.h"
#include "lycheewell/sidecar/http/server.h"

namespace {
using namespace lycheewell;
using namespace lycheewell::sidecar;
namespace asio = boost::asio;
using asio::ip::tcp;
using std::chrono::milliseconds;

constexpr const char* kAddress = "127.0.0.1:21391";

// Time for bytes to pass between two sockets of this process.
constexpr milliseconds kTransit{50};

// A server whose requests wait for the test to answer them.
struct Fixture {
  asio::io_context context;
  TimerQueue timers{this->context};
  std::vector<http::ExchangePointer> held;
  std::vector<unsigned> rejected;
  http::Server server{this->context,
                      this->timers,
                      {.endpoint = io::http::ParseEndpoint(kAddress),
                       .handler =
                           [this](const http::ExchangePointer& exchange) {
                             this->held.push_back(exchange);
                           },
                       .limits = [] { return http::ServerLimits{}; },
                       .on_bad_request =
                           [this](unsigned status, std::string_view) {
                             this->rejected.push_back(status);
                           }}};
  asio::io_context client_context;
  tcp::socket client{this->client_context};

  Fixture() {
    this->server.Start();
    this->client.connect(io::http::ParseEndpoint(kAddress));
  }

  void Send(const std::string& bytes) {
    asio::write(this->client, asio::buffer(bytes));
    this->Run();
  }

  // Answers the request that was read last.
  void Answer() {
    this->held.back()->Send({.status = 200, .body = "answer"});
    this->Run();
  }

  void Run() {
    this->context.restart();
    this->context.run_for(kTransit);
  }

  // What the client has received by now.
  std::string ReadAnswers() {
    std::string text(64 * 1024, '\0');
    boost::system::error_code ignored;
    this->client.non_blocking(true, ignored);
    text.resize(this->client.read_some(asio::buffer(text), ignored));
    return text;
  }

  std::vector<std::string> ReadTargets() const {
    std::vector<std::string> targets;
    for (const auto& exchange : this->held) {
      targets.emplace_back(exchange->request().target());
    }
    return targets;
  }
};

std::string RequestFor(const std::string& target) {
  return "GET " + target + " HTTP/1.1\r\nHost: a\r\n\r\n";
}

}  // namespace

// Guards against bytes that are parsed anew, or in the wrong place, because the
// buffer of a connection is consumed while a read into it is pending.
TEST_CASE("Requests sent ahead are read as they were sent",
          "[sidecar][requests-ahead]") {
  Fixture fixture;
  fixture.Send(RequestFor("/first"));
  REQUIRE(fixture.ReadTargets() == std::vector<std::string>{"/first"});

  SECTION("one behind the other, each while its predecessor is served") {
    fixture.Send(RequestFor("/second"));
    REQUIRE(fixture.held.size() == 1);
    fixture.Answer();
    REQUIRE(fixture.held.size() == 2);
    fixture.Send(RequestFor("/third"));
    fixture.Answer();
    fixture.Send(RequestFor("/a-longer-fourth"));
    fixture.Answer();
    CHECK(fixture.ReadTargets() ==
          std::vector<std::string>{"/first", "/second", "/third",
                                   "/a-longer-fourth"});
    CHECK(fixture.rejected.empty());
  }
  SECTION("cut anywhere between two reads") {
    const std::string second = RequestFor("/second?with=a-query");
    for (std::size_t cut = 1; cut < second.size(); cut += 7) {
      fixture.Send(second.substr(0, cut));
      fixture.Answer();
      fixture.Send(second.substr(cut));
      REQUIRE(fixture.ReadTargets().back() == "/second?with=a-query");
      fixture.Send(RequestFor("/between"));
      fixture.Answer();
      REQUIRE(fixture.ReadTargets().back() == "/between");
    }
    CHECK(fixture.rejected.empty());
  }
  SECTION("many at once") {
    std::string ahead;
    std::vector<std::string> expected = {"/first"};
    for (int i = 0; i < 40; ++i) {
      expected.push_back("/" + std::to_string(i));
      ahead += RequestFor(expected.back());
    }
    fixture.Send(ahead);
    for (int i = 0; i < 40; ++i) {
      fixture.Answer();
    }
    CHECK(fixture.ReadTargets() == expected);
    CHECK(fixture.rejected.empty());
  }
}

// Guards against a request that runs although its client was told, by the end
// of the connection, that it has not been read.
TEST_CASE("Requests sent ahead are answered in their order",
          "[sidecar][requests-ahead]") {
  Fixture fixture;
  fixture.Send(RequestFor("/first") + RequestFor("/second") +
               RequestFor("/third"));
  REQUIRE(fixture.ReadTargets() == std::vector<std::string>{"/first"});

  SECTION("each with its own answer") {
    for (const char* body : {"one", "two", "three"}) {
      fixture.held.back()->Send({.status = 200, .body = body});
      fixture.Run();
    }
    const std::string answers = fixture.ReadAnswers();
    CHECK(answers.find("one") < answers.find("two"));
    CHECK(answers.find("two") < answers.find("three"));
    CHECK(answers.find("three") != std::string::npos);
  }
  SECTION("nothing behind an answer that closes is run") {
    SECTION("because the server says so") {
      fixture.held.back()->Send({.status = 503, .closes = true});
    }
    SECTION("because a drain begins between two of them") {
      fixture.Answer();
      REQUIRE(fixture.held.size() == 2);
      fixture.server.BeginDrain();
      fixture.Answer();
    }
    fixture.Run();
    fixture.Send(RequestFor("/late"));
    const std::string answers = fixture.ReadAnswers();
    CHECK(answers.find("Connection: close") != std::string::npos);
    CHECK(fixture.ReadTargets().back() != "/third");
    CHECK(fixture.ReadTargets().back() != "/late");
  }
}

TEST_CASE("A request that closes its connection is the last one",
          "[sidecar][requests-ahead]") {
  Fixture fixture;

  SECTION("as it says itself") {
    fixture.Send("GET /first HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n" +
                 RequestFor("/second"));
    fixture.Answer();
  }
  SECTION("as it cannot be read") {
    fixture.Send(RequestFor("/first") + "no request\r\n\r\n" +
                 RequestFor("/second"));
    fixture.Answer();
    CHECK(fixture.rejected == std::vector<unsigned>{400});
  }
  fixture.Run();
  CHECK(fixture.ReadTargets() == std::vector<std::string>{"/first"});
  CHECK(fixture.ReadAnswers().find("Connection: close") != std::string::npos);
}
