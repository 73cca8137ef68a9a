// ClientConnection against a peer that writes raw bytes: copies of answers,
// answers of other requests and bytes that never end.
#include "lycheewell/sidecar/http/client_connection.h"

#include <array>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>
#include <chrono>
#include <functional>
#include <memory>
#include <string>

namespace {
using namespace lycheewell;
using namespace lycheewell::sidecar;
namespace asio = boost::asio;
using asio::ip::tcp;
using std::chrono::milliseconds;

std::string AnswerTo(const std::string& id, const std::string& body) {
  return "HTTP/1.1 200 OK\r\nRequest-Id: " + id +
         "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" +
         body;
}

// Accepts one connection and writes what the test tells it to.
class RawPeer {
 public:
  explicit RawPeer(asio::io_context& context)
      : acceptor(context, {asio::ip::make_address("127.0.0.1"), 0}),
        socket(context) {
    this->acceptor.async_accept(this->socket,
                                [this](const boost::system::error_code& error) {
                                  if (!error) {
                                    this->Receive();
                                  }
                                });
  }

  tcp::endpoint endpoint() const { return this->acceptor.local_endpoint(); }

  // Leaves bytes unread, so that a long request is still being written.
  void StopReading() { this->is_reading = false; }

  void Reset() {
    this->socket.set_option(asio::socket_base::linger(true, 0));
    this->socket.close();
  }

  void EndStream() { this->socket.shutdown(tcp::socket::shutdown_send); }

  void Write(const std::string& bytes) {
    boost::system::error_code ignored;
    asio::write(this->socket, asio::buffer(bytes), ignored);
  }

  // Writes `bytes` again and again until the other side closes or `limit` bytes
  // are sent.
  void WriteWithoutEnd(const std::string& bytes, std::size_t limit) {
    if (this->is_closed || this->sent >= limit) {
      return;
    }
    auto chunk = std::make_shared<std::string>(bytes);
    asio::async_write(
        this->socket, asio::buffer(*chunk),
        [this, chunk, limit](const boost::system::error_code& error,
                             std::size_t size) {
          this->sent += size;
          if (error) {
            this->is_closed = true;
            return;
          }
          this->WriteWithoutEnd(*chunk, limit);
        });
  }

  std::string received;
  std::size_t sent = 0;
  bool is_closed = false;

 private:
  void Receive() {
    this->socket.async_read_some(
        asio::buffer(this->bytes),
        [this](const boost::system::error_code& error, std::size_t size) {
          if (error) {
            this->is_closed = true;
            return;
          }
          this->received.append(this->bytes.data(), size);
          if (this->is_reading) {
            this->Receive();
          }
        });
  }

  tcp::acceptor acceptor;
  tcp::socket socket;
  std::array<char, 4096> bytes{};
  bool is_reading = true;
};

// Matches the request id; an answer without one matches nothing.
std::function<bool(const io::http::Response&)> Matches(const std::string& id) {
  return [id](const io::http::Response& response) {
    return io::http::View(response["Request-Id"]) == id;
  };
}

struct Fixture {
  asio::io_context context;
  RawPeer peer{this->context};
  std::shared_ptr<http::ClientConnection> connection =
      std::make_shared<http::ClientConnection>(this->context,
                                               this->peer.endpoint());
  std::optional<http::ExchangeOutcome> outcome;

  void Send(const std::string& id, const std::string& body = "") {
    this->outcome.reset();
    this->connection->Start(
        {.message = "GET / HTTP/1.1\r\nRequest-Id: " + id + "\r\n\r\n" + body,
         .is_matching_response = Matches(id),
         .done = [this](http::ExchangeOutcome result) {
           this->outcome = std::move(result);
         }});
  }

  bool RunUntil(const std::function<bool()>& condition,
                milliseconds limit = milliseconds(5000)) {
    const auto end = std::chrono::steady_clock::now() + limit;
    while (!condition() && std::chrono::steady_clock::now() < end) {
      this->context.restart();
      this->context.run_for(milliseconds(5));
    }
    return condition();
  }

  std::string Body() const {
    const auto* response = std::get_if<io::http::Response>(&*this->outcome);
    return response == nullptr ? "" : response->body();
  }

  bool has_failed() const {
    return this->outcome &&
           std::holds_alternative<http::ExchangeProblem>(*this->outcome);
  }
};

constexpr std::size_t kEndless = 256ULL * 1024 * 1024;
// More than the kernel's buffers on both sides of a connection hold.
constexpr std::size_t kLongRequestBytes = 32ULL * 1024 * 1024;

}  // namespace

// Guards against a part of an answer that is taken for the whole one, from a
// target or from the store.
TEST_CASE("Only the peer's own end of stream ends an answer without a length",
          "[sidecar][connection]") {
  Fixture fixture;
  fixture.peer.StopReading();
  const bool is_being_written = GENERATE(true, false);
  CAPTURE(is_being_written);
  fixture.Send("r1",
               std::string(is_being_written ? kLongRequestBytes : 0, 'u'));
  REQUIRE(fixture.RunUntil([&] { return !fixture.peer.received.empty(); }));
  fixture.peer.Write("HTTP/1.1 200 OK\r\nRequest-Id: r1\r\n\r\nbody");

  SECTION("an end of stream does") {
    fixture.peer.EndStream();
    REQUIRE(fixture.RunUntil([&] { return fixture.outcome.has_value(); }));
    CHECK(fixture.Body() == "body");
  }
  SECTION("a reset behind an end of stream changes nothing") {
    fixture.peer.EndStream();
    fixture.peer.Reset();
    REQUIRE(fixture.RunUntil([&] { return fixture.outcome.has_value(); }));
    CHECK(fixture.Body() == "body");
  }
  SECTION("a reset does not, before or after the bytes have been read") {
    const bool is_read = GENERATE(true, false);
    CAPTURE(is_read);
    fixture.RunUntil([] { return false; }, milliseconds(is_read ? 50 : 0));
    fixture.peer.Reset();
    REQUIRE(fixture.RunUntil([&] { return fixture.outcome.has_value(); }));
    CHECK(fixture.has_failed());
  }
}

TEST_CASE("A connection gives each request its own answer",
          "[sidecar][connection]") {
  Fixture fixture;
  fixture.Send("r1");
  REQUIRE(fixture.RunUntil([&] { return !fixture.peer.received.empty(); }));

  SECTION("after a complete answer the connection can be used again") {
    fixture.peer.Write(AnswerTo("r1", "first"));
    REQUIRE(fixture.RunUntil([&] { return fixture.outcome.has_value(); }));
    REQUIRE(fixture.Body() == "first");
    REQUIRE(fixture.connection->is_usable());

    SECTION("a late second copy on the idle connection ends its use") {
      fixture.peer.Write(AnswerTo("r1", "first"));
      REQUIRE(
          fixture.RunUntil([&] { return !fixture.connection->is_usable(); }));
    }
    SECTION("a second copy that arrives after the next request is skipped") {
      fixture.peer.received.clear();
      fixture.Send("r2");
      fixture.RunUntil([&] { return !fixture.peer.received.empty(); });
      fixture.peer.Write(AnswerTo("r1", "first"));
      fixture.peer.Write(AnswerTo("r2", "second"));
      REQUIRE(fixture.RunUntil([&] { return fixture.outcome.has_value(); }));
      CHECK(fixture.Body() == "second");
    }
    SECTION("two copies pipelined before the answer are skipped") {
      fixture.Send("r2");
      fixture.RunUntil([&] { return !fixture.peer.received.empty(); });
      fixture.peer.Write(AnswerTo("r1", "first") + AnswerTo("r1", "first") +
                         AnswerTo("r2", "second"));
      REQUIRE(fixture.RunUntil([&] { return fixture.outcome.has_value(); }));
      CHECK(fixture.Body() == "second");
    }
    SECTION("half a copy before the answer is no answer") {
      fixture.Send("r2");
      fixture.RunUntil([&] { return !fixture.peer.received.empty(); });
      const std::string copy = AnswerTo("r1", std::string(400, 'x'));
      fixture.peer.Write(copy.substr(0, copy.size() / 2));
      fixture.peer.Write(AnswerTo("r2", std::string(400, 'y')));
      REQUIRE(fixture.RunUntil([&] { return fixture.outcome.has_value(); }));
      CHECK(fixture.has_failed());
    }
    SECTION("a copy without an id is not taken for the next answer") {
      fixture.Send("r2");
      fixture.RunUntil([&] { return !fixture.peer.received.empty(); });
      fixture.peer.Write("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nfirst");
      fixture.peer.Write(AnswerTo("r2", "second"));
      REQUIRE(fixture.RunUntil([&] { return fixture.outcome.has_value(); }));
      CHECK(fixture.Body() != "first");
    }
  }
  SECTION("bytes after the answer's end close the connection") {
    fixture.peer.Write(AnswerTo("r1", "first") + "more");
    REQUIRE(fixture.RunUntil([&] { return fixture.outcome.has_value(); }));
    CHECK(fixture.Body() == "first");
    CHECK_FALSE(fixture.connection->is_usable());
    CHECK(fixture.RunUntil([&] { return fixture.peer.is_closed; }));
  }
}

TEST_CASE("Bytes that never end are cut off with a true failure",
          "[sidecar][connection]") {
  Fixture fixture;
  fixture.Send("r1");
  REQUIRE(fixture.RunUntil([&] { return !fixture.peer.received.empty(); }));
  // What the kernel's buffers on both sides of a loopback connection may hold
  // beside the bytes that the connection has taken.
  constexpr std::size_t kKernelBuffers = 16ULL * 1024 * 1024;
  const auto ends_within = [&](std::size_t bytes) {
    const bool is_closed = fixture.RunUntil(
        [&] { return fixture.peer.is_closed && fixture.outcome.has_value(); });
    return is_closed && fixture.peer.sent <= bytes + kKernelBuffers;
  };
  const std::string block(16 * 1024, 'x');

  SECTION("in a head") {
    fixture.peer.Write("HTTP/1.1 200 OK\r\nX: ");
    fixture.peer.WriteWithoutEnd(block, kEndless);
    CHECK(ends_within(http::kMaxResponseHeaderBytes));
    CHECK(fixture.has_failed());
  }
  SECTION("in header lines") {
    fixture.peer.Write("HTTP/1.1 200 OK\r\n");
    fixture.peer.WriteWithoutEnd("X-Line: 1\r\n", kEndless);
    CHECK(ends_within(http::kMaxResponseHeaderBytes));
    CHECK(fixture.has_failed());
  }
  SECTION("before any head") {
    fixture.peer.WriteWithoutEnd(block, kEndless);
    CHECK(ends_within(http::kMaxResponseHeaderBytes));
    CHECK(fixture.has_failed());
  }
  SECTION("in a body without a length") {
    fixture.peer.Write("HTTP/1.1 200 OK\r\nRequest-Id: r1\r\n\r\n");
    fixture.peer.WriteWithoutEnd(block, kEndless);
    CHECK(ends_within(http::kMaxResponseBodyBytes));
    CHECK(fixture.has_failed());
  }
  SECTION("in a body that claims a huge length") {
    fixture.peer.Write(
        "HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nContent-Length: "
        "999999999999\r\n\r\n");
    fixture.peer.WriteWithoutEnd(block, kEndless);
    CHECK(ends_within(http::kMaxResponseBodyBytes));
    CHECK(fixture.has_failed());
  }
  SECTION("in chunks") {
    fixture.peer.Write(
        "HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nTransfer-Encoding: "
        "chunked\r\n\r\n");
    std::string chunks;
    for (int i = 0; i < 1000; ++i) {
      chunks += "4\r\nabcd\r\n";
    }
    fixture.peer.WriteWithoutEnd(chunks, kEndless);
    CHECK(ends_within(http::kMaxResponseBodyBytes * 4));
    CHECK(fixture.has_failed());
  }
  SECTION("in a chunk's size") {
    fixture.peer.Write(
        "HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nTransfer-Encoding: "
        "chunked\r\n\r\n1;x=");
    fixture.peer.WriteWithoutEnd(block, kEndless);
    CHECK(ends_within(http::kMaxResponseHeaderBytes));
    CHECK(fixture.has_failed());
  }
  SECTION("in interim answers") {
    fixture.peer.WriteWithoutEnd("HTTP/1.1 100 Continue\r\n\r\n", kEndless);
    CHECK(ends_within(http::kMaxResponseHeaderBytes));
    CHECK(fixture.has_failed());
  }
  SECTION("in answers to other requests") {
    fixture.peer.WriteWithoutEnd(AnswerTo("r0", "old"), kEndless);
    CHECK(ends_within(http::kMaxResponseHeaderBytes));
    CHECK(fixture.has_failed());
  }
  SECTION("after a complete answer") {
    fixture.peer.Write(AnswerTo("r1", "first"));
    REQUIRE(fixture.RunUntil([&] { return fixture.outcome.has_value(); }));
    CHECK(fixture.Body() == "first");
    fixture.peer.WriteWithoutEnd(block, kEndless);
    CHECK(fixture.RunUntil([&] { return fixture.peer.is_closed; }));
    CHECK(fixture.peer.sent <= kKernelBuffers);
  }
}

// Guards against a client that gets a status that is none, and against bytes of
// such an answer that are taken for the next one.
TEST_CASE("A status that is none is a failure of the target",
          "[sidecar][connection]") {
  Fixture fixture;
  fixture.Send("r1");
  REQUIRE(fixture.RunUntil([&] { return !fixture.peer.received.empty(); }));
  const auto answer_with = [&](const std::string& start_line) {
    fixture.peer.Write(start_line +
                       "\r\nRequest-Id: r1\r\nContent-Length: 2\r\n\r\nab");
    fixture.RunUntil([&] { return fixture.outcome.has_value(); },
                     milliseconds(500));
    return fixture.outcome.has_value();
  };

  SECTION("no status, one that is none, or another protocol") {
    const auto* start_line = GENERATE(
        "HTTP/1.1 000 Trouble", "HTTP/1.1 099 Trouble", "HTTP/1.1 600 Trouble",
        "HTTP/1.1 999 Trouble", "HTTP/1.1 abc Trouble", "HTTP/0.9 200 OK");
    CAPTURE(start_line);
    REQUIRE(answer_with(start_line));
    REQUIRE(fixture.has_failed());
    CHECK(std::get<http::ExchangeProblem>(*fixture.outcome).failure ==
          http::ExchangeFailure::kBroken);
    CHECK_FALSE(fixture.connection->is_usable());
  }
  SECTION("a change of protocol that nobody asked for") {
    fixture.peer.Write("HTTP/1.1 101 Switching Protocols\r\n\r\n");
    fixture.peer.Write(AnswerTo("r1", "behind"));
    REQUIRE(fixture.RunUntil([&] { return fixture.outcome.has_value(); }));
    CHECK(fixture.has_failed());
    CHECK_FALSE(fixture.connection->is_usable());
  }
  SECTION("interim answers are passed over") {
    fixture.peer.Write("HTTP/1.1 100 Continue\r\n\r\n");
    fixture.peer.Write("HTTP/1.1 199 Wait\r\n\r\n" + AnswerTo("r1", "final"));
    REQUIRE(fixture.RunUntil([&] { return fixture.outcome.has_value(); }));
    CHECK(fixture.Body() == "final");
    CHECK(fixture.connection->is_usable());
  }
  SECTION("an older version is an answer, and ends the connection's use") {
    REQUIRE(answer_with("HTTP/1.0 200 OK"));
    CHECK(fixture.Body() == "ab");
    CHECK_FALSE(fixture.connection->is_usable());
  }
  SECTION("the body of an answer that has none is not the next answer") {
    REQUIRE(answer_with("HTTP/1.1 204 No Content"));
    CHECK_FALSE(fixture.has_failed());
    CHECK(fixture.Body().empty());
    CHECK_FALSE(fixture.connection->is_usable());
  }
}
