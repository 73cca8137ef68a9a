// Clients that make a server hold more for them than its VM has memory: crowds
// that send ahead and read nothing, slow readers of long answers.
#include "lycheewell/core/overload/held_memory.h"

#include <catch2/catch.hpp>

namespace {
using namespace lycheewell::core;
using namespace lycheewell::core::overload;
using std::chrono::milliseconds;
using std::chrono::seconds;
using Cuts = std::vector<std::size_t>;

constexpr std::size_t kLimit = 1600;

HeldMemory Holding(std::size_t bytes) {
  HeldMemory memory(kLimit);
  memory.Change(0, bytes);
  return memory;
}

}  // namespace

// Baseline: a bound for each connection alone grows with their number.
TEST_CASE("What is held for clients stays within one limit", "[held]") {
  SECTION("with room, all is taken") {
    const HeldMemory memory = Holding(0);
    CHECK(memory.may_read_ahead());
    CHECK(memory.may_take_request(false));
    CHECK_FALSE(memory.is_short());
  }
  SECTION("from half of it on, nothing is read ahead of an answer") {
    const HeldMemory memory = Holding(kLimit / 2);
    CHECK_FALSE(memory.may_read_ahead());
    CHECK(memory.may_take_request(false));
  }
  SECTION("shortly before the limit, clients' requests are refused") {
    const HeldMemory memory = Holding(kLimit / 16 * 15);
    CHECK_FALSE(memory.may_take_request(false));

    SECTION("while the platform's are still taken") {
      CHECK(memory.may_take_request(true));
    }
  }
  SECTION("what is given back can be used again") {
    HeldMemory memory = Holding(kLimit);
    memory.Change(kLimit, 100);
    CHECK(memory.used_bytes() == 100);
    CHECK(memory.may_read_ahead());
  }
  SECTION("connections without a request fit into half of it") {
    const HeldMemory memory(64 * 1024 * 1024);
    CHECK(memory.most_connections() * kConnectionBytes == 32 * 1024 * 1024);
  }
}

TEST_CASE("Connections are cut for what they hold and how long", "[held]") {
  const std::vector<HeldConnection> connections = {
      {.bytes = 400, .standing_still = milliseconds(10)},
      {.bytes = 300, .standing_still = seconds(2)},
      {.bytes = 100, .standing_still = seconds(9)},
      {.bytes = 200, .standing_still = seconds(2)}};

  SECTION("none while there is room") {
    CHECK(Holding(kLimit / 2).ChooseCuts(connections).empty());
  }
  SECTION("those that stand still, until half of the limit is free") {
    CHECK(Holding(1300).ChooseCuts(connections) == Cuts{2, 1, 3});
    CHECK(Holding(1201).ChooseCuts(connections) == Cuts{2, 1, 3});
  }
  SECTION("what they leave unread in the kernel counts") {
    auto more = connections;
    more[3].unread_bytes = 600;
    CHECK(Holding(1000).ChooseCuts(more) == Cuts{3});
    CHECK(Holding(1000).may_take_request(false));
  }
  SECTION("never one that moves while the limit holds") {
    CHECK(Holding(kLimit).ChooseCuts({connections[0]}).empty());
  }
  SECTION("beyond the limit, that one too") {
    CHECK(Holding(kLimit + 1).ChooseCuts({connections[0]}) == Cuts{0});
  }
}
