#include "lycheewell/core/membership/retired_starts.h"

#include <catch2/catch.hpp>

namespace {
using lycheewell::core::membership::RetiredStarts;
}  // namespace

// A year of replacements in a fleet of thousands: each daemon that restarts
// must still learn which start of its target has left.
TEST_CASE("Starts that have left are remembered by the daemon beside them",
          "[core][membership]") {
  RetiredStarts retired;
  for (int round = 0; round < 10; ++round) {
    for (int vm = 0; vm < 2'000; ++vm) {
      retired.Record("vm-" + std::to_string(vm),
                     "i-" + std::to_string(round) + "@1");
    }
  }

  SECTION("also after many others have left") {
    const auto starts = retired.StartsBeside("vm-0");
    REQUIRE_FALSE(starts.empty());
    CHECK(starts.back() == "i-9@1");
    CHECK(starts.size() <= RetiredStarts::kMaxStartsPerDaemon);
  }
  SECTION("and only that daemon is told") {
    CHECK(retired.StartsBeside("vm-2000").empty());
  }
  SECTION("a repeated report changes nothing") {
    retired.Record("vm-0", "i-9@1");
    CHECK(retired.StartsBeside("vm-0").back() == "i-9@1");
    CHECK(retired.StartsBeside("vm-0").size() ==
          RetiredStarts::kMaxStartsPerDaemon);
  }
  SECTION("the number of daemons is bounded") {
    for (std::size_t vm = 0; vm < 2 * RetiredStarts::kMaxDaemons; ++vm) {
      retired.Record("other-" + std::to_string(vm), "i@1");
    }
    CHECK(retired.daemon_count() == RetiredStarts::kMaxDaemons);
    CHECK_FALSE(
        retired
            .StartsBeside("other-" +
                          std::to_string(2 * RetiredStarts::kMaxDaemons - 1))
            .empty());
  }
}
