// Reports of several starts of a target that arrive late or out of order.
#include "lycheewell/core/membership/target_starts.h"

#include <catch2/catch.hpp>

namespace {
using namespace lycheewell::core;
using namespace lycheewell::core::membership;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Instant kStart{std::chrono::hours(1)};
constexpr milliseconds kPeriod{1500};

}  // namespace

TEST_CASE("The current start of a target is the one that goes on reporting",
          "[membership]") {
  TargetStarts starts({.overdue_after = kPeriod * 3 / 2});
  CHECK(starts.Report({{"i", 100}, 7}, kStart) == ReportVerdict::kReplaced);
  CHECK(starts.Report({{"i", 200}, 1}, kStart) == ReportVerdict::kReplaced);
  const Instant late = kStart + seconds(3);

  SECTION("a late report of the same start says nothing new") {
    CHECK(starts.Report({{"i", 200}, 1}, late) == ReportVerdict::kKnown);
  }
  SECTION("one of an earlier start is not believed while the other reports") {
    CHECK(starts.Report({{"i", 50}, 9}, kStart + kPeriod) ==
          ReportVerdict::kOther);
  }
  SECTION("one that arrives while the current start is silent is corrected") {
    CHECK(starts.Report({{"i", 100}, 8}, late) == ReportVerdict::kReplaced);
    CHECK(starts.Report({{"i", 200}, 2}, late) == ReportVerdict::kReplaced);
    CHECK(starts.current() == TargetStart{"i", 200});
    CHECK(starts.Report({{"i", 100}, 8}, late) == ReportVerdict::kOther);

    SECTION("also by a departure") {
      CHECK(starts.Report({{"i", 50}, 3}, late + seconds(9)) ==
            ReportVerdict::kReplaced);
      CHECK(starts.Report({{"i", 200}, 3, true}, late + seconds(9)) ==
            ReportVerdict::kReplaced);
      CHECK(starts.is_retired(starts.current()));
      CHECK(starts.Report({{"i", 50}, 4}, late + seconds(20)) ==
            ReportVerdict::kOther);
    }
  }
  SECTION("a start whose clock was set back replaces one that is silent") {
    CHECK(starts.Report({{"i", 150}, 1}, late) == ReportVerdict::kReplaced);
    CHECK(starts.Report({{"i", 150}, 2}, late) == ReportVerdict::kCurrent);
  }
  SECTION("after a departure under the same name") {
    CHECK(starts.Report({{"i", 200}, 2, true}, kStart) ==
          ReportVerdict::kCurrent);
    CHECK(starts.is_retired(starts.current()));

    SECTION("a later start is believed at once") {
      CHECK(starts.Report({{"i", 300}, 1}, kStart) == ReportVerdict::kReplaced);
      CHECK_FALSE(starts.is_retired(starts.current()));
    }
    SECTION("late reports of earlier starts are not") {
      CHECK(starts.Report({{"i", 100}, 8}, late) == ReportVerdict::kOther);
      CHECK(starts.Report({{"i", 100}, 8}, late) == ReportVerdict::kOther);
      CHECK(starts.Report({{"i", 50}, 3}, late) == ReportVerdict::kOther);
    }
    SECTION("one that looks earlier is, when it goes on reporting") {
      CHECK(starts.Report({{"i", 150}, 1}, late) == ReportVerdict::kOther);
      CHECK(starts.Report({{"i", 150}, 2}, late) == ReportVerdict::kOther);
      CHECK(starts.Report({{"i", 150}, 3}, late) == ReportVerdict::kReplaced);
    }
    SECTION("one under another name is, when the other is silent") {
      CHECK(starts.Report({{"j", 150}, 1}, late) == ReportVerdict::kReplaced);
    }
  }
  SECTION("a departure of an earlier start retires only that one") {
    CHECK(starts.Report({{"i", 100}, 8, true}, kStart) ==
          ReportVerdict::kOther);
    CHECK(starts.is_retired({"i", 100}));
    CHECK_FALSE(starts.is_retired(starts.current()));
  }
}
