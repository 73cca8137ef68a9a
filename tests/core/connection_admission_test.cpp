// Clients that hold more connections than the daemon has file descriptors.
#include "lycheewell/core/overload/connection_admission.h"

#include <catch2/catch.hpp>

namespace {
using namespace lycheewell::core;
using namespace lycheewell::core::overload;
using std::chrono::milliseconds;
using std::chrono::seconds;

}  // namespace

// Guards against clients that take the descriptors of links, target and store.
TEST_CASE("Clients leave the daemon the descriptors that it needs",
          "[connections]") {
  const auto limit = GENERATE(as<std::size_t>{}, 64, 256, 1024, 4100, 20'000);
  const auto peers = GENERATE(as<std::size_t>{}, 0, 14, 307);
  const auto slots = GENERATE(as<std::size_t>{}, 4, 308);
  const DescriptorNeeds needs{
      .limit = limit, .peers = peers, .target_slots = slots};
  const ConnectionBounds bounds = ClientConnectionBounds(needs);
  CHECK(bounds.usual > 0);
  CHECK(bounds.usual < bounds.most);

  SECTION("links both ways, a connection a slot and 200 for files fit") {
    const std::size_t needed = 200 + 2 * peers + slots;
    if (limit >= 2 * needed) {
      CHECK(bounds.most + needed <= limit);
    }
  }
  SECTION("clients get a quarter however low the limit is") {
    CHECK(bounds.most >= limit / 4);
  }
}

TEST_CASE("A connection beyond the bound takes the place of one without work",
          "[connections]") {
  const ConnectionBounds bounds{.usual = 100, .most = 110};
  ConnectionUse use{.open = 100};

  SECTION("below the bound each one is taken") {
    use.open = 99;
    use.idle_for = seconds(9);
    CHECK(DecideConnection(bounds, use) == ConnectionDecision::kTake);
  }
  SECTION("the place of an idle one first") {
    use.idle_for = seconds(2);
    use.arriving_for = seconds(3);
    CHECK(DecideConnection(bounds, use) == ConnectionDecision::kReplaceIdle);

    SECTION("also far beyond the bound") {
      use.open = 500;
      CHECK(DecideConnection(bounds, use) == ConnectionDecision::kReplaceIdle);
    }
  }
  SECTION("then that of a request that does not arrive") {
    use.arriving_for = seconds(3);
    CHECK(DecideConnection(bounds, use) ==
          ConnectionDecision::kReplaceArriving);
  }
  SECTION("beside work its request is refused") {
    CHECK(DecideConnection(bounds, use) == ConnectionDecision::kTakeToRefuse);

    SECTION("and beside clients that have just connected") {
      use.idle_for = milliseconds(20);
      use.arriving_for = milliseconds(20);
      CHECK(DecideConnection(bounds, use) == ConnectionDecision::kTakeToRefuse);
    }
    SECTION("until the last bound") {
      use.open = 110;
      CHECK(DecideConnection(bounds, use) == ConnectionDecision::kWait);
    }
  }
}

// Baseline: a crowd takes every place, and others wait until it leaves.
TEST_CASE("A crowd behind one address leaves places to others",
          "[connections]") {
  const ConnectionBounds bounds{.usual = 80, .most = 90};
  ConnectionUse use{.open = 75, .of_address = 70};
  REQUIRE(AddressShare(bounds) == 70);

  SECTION("its next connection is refused, or replaces one of its own") {
    CHECK(DecideConnection(bounds, use) == ConnectionDecision::kTakeToRefuse);
    use.idle_for = seconds(2);
    CHECK(DecideConnection(bounds, use) == ConnectionDecision::kReplaceIdle);
  }
  SECTION("another address is taken") {
    use.of_address = 5;
    CHECK(DecideConnection(bounds, use) == ConnectionDecision::kTake);
  }
  SECTION("answers that nobody reads give way, but not at once") {
    use.open = 90;
    use.of_address = 1;
    use.unread_for = milliseconds(900);
    CHECK(DecideConnection(bounds, use) == ConnectionDecision::kWait);
    use.unread_for = seconds(1);
    CHECK(DecideConnection(bounds, use) == ConnectionDecision::kReplaceUnread);
  }
}

TEST_CASE("Memory bounds connections, too", "[connections]") {
  const ConnectionBounds bounds{.usual = 700, .most = 800};
  CHECK(LimitTo(bounds, 4000) == bounds);
  CHECK(LimitTo(bounds, 80) == ConnectionBounds{.usual = 70, .most = 80});
}
