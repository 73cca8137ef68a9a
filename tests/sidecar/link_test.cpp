// Two ends of a link on loopback: large frames, withdrawn calls, clocks.
#include "lycheewell/sidecar/links/link.h"

#include <boost/asio/io_context.hpp>
#include <catch2/catch.hpp>
#include <chrono>
#include <string>
#include <vector>

#include "lycheewell/sidecar/clock.h"
#include "sidecar/call_frame.h"

namespace {
using namespace lycheewell;
using namespace lycheewell::sidecar;
using links::Link;
using links::LinkPointer;
namespace asio = boost::asio;
using asio::ip::tcp;
using std::chrono::milliseconds;

struct Fixture {
  asio::io_context context;
  tcp::acceptor acceptor{this->context,
                         {asio::ip::make_address("127.0.0.1"), 0}};
  LinkPointer sender;
  LinkPointer receiver;
  std::vector<std::uint64_t> calls;  // ids in the order of arrival
  std::vector<std::size_t> body_sizes;
  bool has_failed = false;

  Fixture() {
    this->sender = std::make_shared<Link>(
        this->context,
        Link::Hooks{.on_frame = [](const LinkPointer&, mesh::Frame&) {},
                    .on_closed =
                        [this](const LinkPointer&, const std::string&) {
                          this->has_failed = true;
                        },
                    .on_connected = [](const LinkPointer&) {}});
    this->acceptor.async_accept(
        [this](const boost::system::error_code&, tcp::socket socket) {
          this->receiver = std::make_shared<Link>(
              std::move(socket),
              Link::Hooks{.on_frame =
                              [this](const LinkPointer&, mesh::Frame& frame) {
                                if (frame.has_call()) {
                                  this->calls.push_back(frame.call().call_id());
                                  this->body_sizes.push_back(
                                      frame.call().body().size());
                                }
                              },
                          .on_closed =
                              [this](const LinkPointer&, const std::string&) {
                                this->has_failed = true;
                              }});
        });
    this->sender->Connect(this->acceptor.local_endpoint());
    this->RunUntil(
        [this] { return this->receiver && this->sender->is_open(); });
  }

  template <typename Condition>
  bool RunUntil(Condition condition) {
    const auto end = std::chrono::steady_clock::now() + milliseconds(5000);
    while (!condition() && std::chrono::steady_clock::now() < end) {
      this->context.restart();
      this->context.run_for(milliseconds(2));
    }
    return condition();
  }
};

constexpr std::size_t kLargeBody = 6ULL * 1024 * 1024;

}  // namespace

TEST_CASE("Short calls pass large ones on a link", "[sidecar][link]") {
  Fixture fixture;
  // The receiver does not read yet.
  fixture.sender->Send(CallFrame(1, kLargeBody));
  fixture.sender->Send(CallFrame(2, kLargeBody));
  fixture.RunUntil(
      [&] { return fixture.sender->unsent_bytes() < 2 * kLargeBody; });
  fixture.receiver->Start();

  SECTION("a short call does not wait behind their bodies") {
    fixture.sender->Send(CallFrame(3, 10));
    REQUIRE(fixture.RunUntil([&] { return fixture.calls.size() == 3; }));
    CHECK(fixture.calls.front() == 3);
    CHECK(fixture.body_sizes ==
          std::vector<std::size_t>{10, kLargeBody, kLargeBody});
  }
  SECTION("a large call whose rest is withdrawn never looks complete") {
    mesh::Frame cancel;
    cancel.mutable_cancel()->set_call_id(1);
    fixture.sender->Send(cancel);
    fixture.sender->Send(CallFrame(3, 10));
    REQUIRE(fixture.RunUntil([&] { return fixture.calls.size() == 2; }));
    CHECK(fixture.calls == std::vector<std::uint64_t>{3, 2});
    CHECK_FALSE(fixture.has_failed);
  }
  SECTION("a connection that ends midway delivers no part of a call") {
    fixture.sender->Close();
    fixture.RunUntil([&] { return fixture.has_failed; });
    CHECK(fixture.calls.empty());
  }
}

// The peer does not read, as behind a link that has narrowed.
TEST_CASE("A call that has not left can be taken back", "[sidecar][link]") {
  Fixture fixture;
  std::uint64_t id = 0;
  while (fixture.sender->unsent_bytes() < 256 * 1024 && id < 100'000) {
    fixture.sender->Send(CallFrame(++id, 8'000));
    fixture.context.restart();
    fixture.context.poll();
  }
  REQUIRE(fixture.sender->oldest_unsent_since());
  const std::uint64_t last = id;

  SECTION("and then never arrives") {
    REQUIRE(fixture.sender->Withdraw(last));
    fixture.receiver->Start();
    fixture.RunUntil([&] { return fixture.sender->unsent_bytes() == 0; });
    REQUIRE(fixture.RunUntil([&] {
      return !fixture.calls.empty() && fixture.calls.back() >= last - 1;
    }));
    CHECK(fixture.calls.back() == last - 1);
  }
  SECTION("but one that has left in part cannot") {
    CHECK_FALSE(fixture.sender->Withdraw(1));
  }
  SECTION("calls that have waited for long are named") {
    CHECK(fixture.sender->CallsHeldSince(Now() - milliseconds(60'000)).empty());
    const auto held = fixture.sender->CallsHeldSince(Now());
    REQUIRE_FALSE(held.empty());
    CHECK(held.back() == last);
  }
}

TEST_CASE("A link knows the time on its peer's clock", "[sidecar][link]") {
  Fixture fixture;
  CHECK_FALSE(fixture.sender->PeerTime(Now()));
  const std::uint64_t ahead = 90'000'000;
  // Two messages: one took 400 ms, the other nothing.
  fixture.sender->RecordPeerClock(ClockMicroseconds() + ahead - 400'000);
  fixture.sender->RecordPeerClock(ClockMicroseconds() + ahead);
  fixture.sender->RecordPeerClock(ClockMicroseconds() + ahead - 250'000);
  const auto peer_time = fixture.sender->PeerTime(Now());
  REQUIRE(peer_time);
  CHECK(*peer_time <= ClockMicroseconds() + ahead + 1'000);
  CHECK(*peer_time + 20'000 >= ClockMicroseconds() + ahead);
}
