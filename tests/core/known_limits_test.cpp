#include "lycheewell/core/overload/known_limits.h"

#include <catch2/catch.hpp>

namespace {
using lycheewell::core::DaemonRef;
using lycheewell::core::overload::KnownLimits;

const DaemonRef kFirst{.id = "i", .incarnation = 1};
const DaemonRef kSecond{.id = "i", .incarnation = 2};
}  // namespace

TEST_CASE("Peers remember the limit of a target for its daemon",
          "[core][limit]") {
  KnownLimits known;
  known.RecordStart("vm-1", kFirst);
  known.RecordLimit("vm-1", 12.5);
  REQUIRE(known.LimitBeside("vm-1") ==
          KnownLimits::StartLimit{.start = kFirst, .per_second = 12.5});

  SECTION("however often the start is reported") {
    known.RecordStart("vm-1", kFirst);
    CHECK(known.LimitBeside("vm-1"));
  }
  SECTION("until the target names none") {
    known.RecordLimit("vm-1", std::nullopt);
    CHECK_FALSE(known.LimitBeside("vm-1"));
  }
  SECTION("but not for another start under the same name") {
    known.RecordStart("vm-1", kSecond);
    CHECK_FALSE(known.LimitBeside("vm-1"));
  }
  SECTION("nor for another daemon") {
    CHECK_FALSE(known.LimitBeside("vm-2"));
    known.RecordLimit("vm-2", 1.0);
    CHECK_FALSE(known.LimitBeside("vm-2"));
  }
  SECTION("for a bounded number of daemons") {
    for (std::size_t vm = 0; vm < 2 * KnownLimits::kMaxDaemons; ++vm) {
      known.RecordStart("other-" + std::to_string(vm), kFirst);
    }
    CHECK(known.daemon_count() == KnownLimits::kMaxDaemons);
  }
}
