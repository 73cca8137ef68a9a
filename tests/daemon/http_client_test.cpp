// The HTTP client against a target whose answers are broken.
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>
#include <chrono>
#include <optional>
#include <string>
#include <thread>

#include "lycheewell/io/http/client.h"

namespace {
using namespace lycheewell::io::http;
namespace asio = boost::asio;
using asio::ip::tcp;
using std::chrono::milliseconds;
using std::chrono::seconds;

enum class Ending { kByClient, kOrderly, kReset };

// Accepts one connection, reads a request, writes `answer` and ends the
// connection.
class RawTarget {
 public:
  RawTarget(std::string answer, Ending ending)
      : thread([this, bytes = std::move(answer), ending] {
          tcp::socket socket = this->acceptor.accept();
          std::string request;
          asio::read_until(socket, asio::dynamic_buffer(request), "\r\n\r\n");
          boost::system::error_code ignored;
          asio::write(socket, asio::buffer(bytes), ignored);
          if (ending == Ending::kReset) {
            socket.set_option(asio::socket_base::linger(true, 0), ignored);
            return;
          }
          if (ending == Ending::kOrderly) {
            socket.shutdown(tcp::socket::shutdown_send, ignored);
          }
          // Until the client has closed the connection.
          socket.read_some(asio::buffer(&this->next, 1), ignored);
        }) {}
  ~RawTarget() { this->thread.join(); }

  std::string address() const {
    return "127.0.0.1:" +
           std::to_string(this->acceptor.local_endpoint().port());
  }

 private:
  asio::io_context context;
  tcp::acceptor acceptor{this->context,
                         {asio::ip::make_address("127.0.0.1"), 0}};
  char next = 0;
  std::thread thread;
};

ExchangeResult AskTargetThatAnswers(const std::string& answer,
                                    Ending ending = Ending::kByClient) {
  RawTarget target(answer, ending);
  asio::io_context context;
  Client client(context);
  const ExchangeOptions options{.address = target.address(),
                                .timeout = seconds(5)};
  std::optional<ExchangeResult> result;
  asio::co_spawn(context, client.Exchange({Verb::get, "/", 11}, options),
                 [&](const std::exception_ptr&, ExchangeResult outcome) {
                   result = std::move(outcome);
                   client.CloseIdle();
                 });
  context.run();
  return *result;
}

constexpr const char* kRest = "\r\nContent-Length: 2\r\n\r\nab";

}  // namespace

// Guards against a caller that gets a status that is none.
TEST_CASE("A status that is none is a broken exchange", "[http-client]") {
  SECTION("no status, one that is none, or another protocol") {
    const auto* start_line = GENERATE(
        "HTTP/1.1 000 Trouble", "HTTP/1.1 099 Trouble", "HTTP/1.1 600 Trouble",
        "HTTP/1.1 999 Trouble", "HTTP/1.1 abc Trouble", "HTTP/0.9 200 OK",
        "HTTP/1.1 101 Switching Protocols");
    CAPTURE(start_line);
    const auto result = AskTargetThatAnswers(std::string(start_line) + kRest);
    REQUIRE(std::holds_alternative<ExchangeError>(result));
    CHECK(std::get<ExchangeError>(result).kind == ExchangeErrorKind::kBroken);
  }
  SECTION("interim answers are passed over") {
    const auto result = AskTargetThatAnswers(
        "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 199 Wait\r\n\r\n"
        "HTTP/1.1 200 OK" +
        std::string(kRest));
    REQUIRE(std::holds_alternative<Response>(result));
    CHECK(std::get<Response>(result).body() == "ab");
  }
  SECTION("interim answers without an end are not waited for") {
    std::string answer;
    for (int i = 0; i < 1000; ++i) {
      answer += "HTTP/1.1 100 Continue\r\n\r\n";
    }
    CHECK(std::holds_alternative<ExchangeError>(AskTargetThatAnswers(answer)));
  }
  SECTION("an older version and an answer without a body are answers") {
    for (const char* line : {"HTTP/1.0 200 OK", "HTTP/1.1 204 No Content"}) {
      const auto result = AskTargetThatAnswers(std::string(line) + kRest);
      CHECK(std::holds_alternative<Response>(result));
    }
  }
}

// Guards against a caller that gets a malformed line, or the bytes that a
// target sent before it broke off.
TEST_CASE("An answer that is malformed or cut is a broken exchange",
          "[http-client]") {
  const auto kind_of = [](const ExchangeResult& result) {
    const auto* error = std::get_if<ExchangeError>(&result);
    return error == nullptr ? std::nullopt : std::optional(error->kind);
  };

  SECTION("a field's name that holds a blank or a control byte") {
    const std::string line =
        GENERATE("X Line: 1", "X-Line : 1", " X-Line: 1", "\tX-Line: 1",
                 "X\tLine: 1", "X\x01Line: 1", "X\x7fLine: 1", "X\rLine: 1",
                 "X\nLine: 1", " Content-Length: 1");
    const std::string before = GENERATE("", "X-Other: 1\r\n");
    CAPTURE(line, before);
    CHECK(kind_of(AskTargetThatAnswers("HTTP/1.1 200 OK\r\n" + before + line +
                                       kRest)) == ExchangeErrorKind::kBroken);
  }
  SECTION("in a trailer as well") {
    const std::string lines =
        GENERATE("X Line: 1\r\n", "X-A: 1\r\n X-B: 2\r\n");
    CAPTURE(lines);
    CHECK(kind_of(AskTargetThatAnswers(
              "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
              "2\r\nab\r\n0\r\n" +
              lines + "\r\n")) == ExchangeErrorKind::kBroken);
  }
  SECTION("a transfer coding that is not decoded") {
    const std::string codings =
        GENERATE("gzip, chunked", "gzip\r\nTransfer-Encoding: chunked");
    CAPTURE(codings);
    CHECK(kind_of(AskTargetThatAnswers(
              "HTTP/1.1 200 OK\r\nTransfer-Encoding: " + codings +
              "\r\n\r\n2\r\nab\r\n0\r\n\r\n")) == ExchangeErrorKind::kBroken);
  }
  SECTION("an answer that ends early, or that has no length") {
    const std::string rest = GENERATE(
        "\r\n\r\nab", "\r\nContent-Length: 9\r\n\r\nab",
        "\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n", "\r\nX-Line: 1");
    const Ending ending = GENERATE(Ending::kOrderly, Ending::kReset);
    CAPTURE(rest, ending);
    CHECK(kind_of(AskTargetThatAnswers("HTTP/1.1 200 OK" + rest, ending)) ==
          ExchangeErrorKind::kBroken);
  }
  SECTION("while blanks in values and bodies, and a trailer, are sound") {
    for (const char* rest :
         {"\r\nX-Line:  1 \t2 \r\nContent-Length: 3\r\n\r\na\n ",
          "\r\nTransfer-Encoding: chunked\r\n\r\n3\r\na\n \r\n0\r\n"
          "X-Line: 1\r\n\r\n"}) {
      const auto result =
          AskTargetThatAnswers("HTTP/1.1 200 OK" + std::string(rest));
      REQUIRE(std::holds_alternative<Response>(result));
      CHECK(std::get<Response>(result).body() == "a\n ");
    }
  }
}
