#include "lycheewell/core/overload/known_limits.h"

#include <catch2/catch.hpp>

namespace {
using lycheewell::core::DaemonRef;
using lycheewell::core::overload::KnownLimits;

DaemonRef Start(std::uint64_t born) { return {.id = "i", .incarnation = born}; }
}  // namespace

TEST_CASE("Peers remember the limit of a target for its daemon",
          "[core][limit]") {
  KnownLimits known;
  known.RecordStart("vm-1", Start(1));
  known.RecordLimit("vm-1", 12.5);
  REQUIRE(known.LimitBeside("vm-1") ==
          KnownLimits::StartLimit{.start = Start(1), .per_second = 12.5});

  SECTION("however often the start is reported") {
    known.RecordStart("vm-1", Start(1));
    CHECK(known.LimitBeside("vm-1"));
  }
  SECTION("until the target names none") {
    known.RecordLimit("vm-1", std::nullopt);
    CHECK_FALSE(known.LimitBeside("vm-1"));
  }
  SECTION("but not for another start under the same name") {
    known.RecordStart("vm-1", Start(2));
    CHECK_FALSE(known.LimitBeside("vm-1"));
  }
  SECTION("nor for another daemon") {
    CHECK_FALSE(known.LimitBeside("vm-2"));
    known.RecordLimit("vm-2", 1.0);
    CHECK_FALSE(known.LimitBeside("vm-2"));
  }
  SECTION("for a bounded number of daemons") {
    for (std::size_t vm = 0; vm < 2 * KnownLimits::kMaxDaemons; ++vm) {
      known.RecordStart("other-" + std::to_string(vm), Start(1));
    }
    CHECK(known.daemon_count() == KnownLimits::kMaxDaemons);
  }
}
