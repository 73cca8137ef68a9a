// Marks of crashed targets: which request is to blame, and for how long.
#include <catch2/catch.hpp>
#include <string>
#include <vector>

#include "lycheewell/core/quarantine/crash_detector.h"
#include "lycheewell/core/quarantine/crash_marks.h"

namespace {
using namespace lycheewell::core;
using namespace lycheewell::core::quarantine;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Instant kStart{std::chrono::hours(1)};

DaemonRef Start(const std::string& instance) {
  return {.id = instance, .incarnation = 1};
}

// Adds the marks of a crash and returns them.
std::vector<CrashMark> Crash(CrashMarks& marks, const std::string& instance,
                             const std::vector<RunningRequest>& running,
                             Instant now) {
  auto left = MarksOfCrash(Start(instance), running, marks, now);
  for (const CrashMark& mark : left) {
    marks.Add(mark, now);
  }
  return left;
}

}  // namespace

TEST_CASE("Crashes of several targets point at one request", "[quarantine]") {
  CrashMarks marks;
  Crash(marks, "a", {{"poison"}, {"beside"}}, kStart);
  CHECK(marks.StatusOf("poison", kStart) == QuarantineStatus::kSuspect);
  CHECK(marks.StatusOf("beside", kStart) == QuarantineStatus::kSuspect);

  SECTION("the suspect that a second target had admitted is quarantined") {
    Crash(marks, "b", {{"poison", true}, {"fresh"}}, kStart);
    CHECK(marks.StatusOf("poison", kStart) == QuarantineStatus::kQuarantined);

    SECTION("and a request that was new there becomes a suspect") {
      CHECK(marks.StatusOf("fresh", kStart) == QuarantineStatus::kSuspect);
    }
    SECTION("and the one that ran beside the first crash stays a suspect") {
      CHECK(marks.StatusOf("beside", kStart) == QuarantineStatus::kSuspect);
    }
    SECTION("until the quarantine lapses; it is then a suspect again") {
      const Instant later = kStart + kMarkLifetime;
      CHECK(marks.StatusOf("poison", later - seconds(1)) ==
            QuarantineStatus::kQuarantined);
      CHECK(marks.StatusOf("poison", later) == QuarantineStatus::kSuspect);

      SECTION("and one more crash renews it for twice as long") {
        Crash(marks, "c", {{"poison", true}}, later);
        CHECK(marks.StatusOf("poison", later + kMarkLifetime) ==
              QuarantineStatus::kQuarantined);
        CHECK(marks.StatusOf("poison", later + 2 * kMarkLifetime) ==
              QuarantineStatus::kSuspect);
      }
    }
  }
  SECTION("a popular request at two targets that crash at once is not") {
    // Copies of the poisonous request crash two targets before either knows of
    // the other's crash.
    Crash(marks, "b", {{"poison"}, {"beside"}}, kStart);
    CHECK(marks.StatusOf("beside", kStart) == QuarantineStatus::kSuspect);
    CHECK(marks.StatusOf("poison", kStart) == QuarantineStatus::kSuspect);
    Crash(marks, "c", {{"poison", true}, {"beside"}}, kStart);
    CHECK(marks.StatusOf("beside", kStart) == QuarantineStatus::kSuspect);
    CHECK(marks.StatusOf("poison", kStart) == QuarantineStatus::kQuarantined);
  }
  SECTION("one that was running at three crashes at once is") {
    Crash(marks, "b", {{"poison"}, {"one"}}, kStart);
    Crash(marks, "c", {{"poison"}, {"two"}}, kStart);
    CHECK(marks.StatusOf("poison", kStart) == QuarantineStatus::kQuarantined);
    CHECK(marks.StatusOf("beside", kStart) == QuarantineStatus::kSuspect);

    SECTION("unless a target answers it") {
      marks.Withdraw("poison", kStart);
      CHECK(marks.StatusOf("poison", kStart) == QuarantineStatus::kClear);
    }
  }
  SECTION("a request that ran alone at both is") {
    CrashMarks alone;
    Crash(alone, "a", {{"poison"}}, kStart);
    CHECK(alone.StatusOf("poison", kStart) == QuarantineStatus::kSuspect);
    Crash(alone, "b", {{"poison"}}, kStart);
    CHECK(alone.StatusOf("poison", kStart) == QuarantineStatus::kQuarantined);
  }
  SECTION("one crash that is reported by several daemons counts once") {
    Crash(marks, "a", {{"poison", true}}, kStart);
    CHECK(marks.StatusOf("poison", kStart) == QuarantineStatus::kSuspect);
  }
  SECTION("two starts of one target count twice") {
    marks.Add(
        {.fingerprint = "poison", .target = {.id = "a", .incarnation = 2}},
        kStart);
    CHECK(marks.StatusOf("poison", kStart) == QuarantineStatus::kQuarantined);
  }
  SECTION("calls without a fingerprint are not taken for one request") {
    CHECK(MarksOfCrash(Start("b"), {{""}, {""}}, marks, kStart).empty());
  }
  SECTION("two poisonous requests are both found") {
    Crash(marks, "b", {{"other"}}, kStart);
    Crash(marks, "c", {{"beside", true}, {"other"}}, kStart);
    Crash(marks, "d", {{"poison", true}}, kStart);
    Crash(marks, "e", {{"other", true}}, kStart);
    CHECK(marks.StatusOf("poison", kStart) == QuarantineStatus::kQuarantined);
    CHECK(marks.StatusOf("other", kStart) == QuarantineStatus::kQuarantined);
  }
}

TEST_CASE("A request that completes is cleared", "[quarantine]") {
  CrashMarks marks;
  const auto left = Crash(marks, "a", {{"one"}, {"two"}}, kStart);
  CHECK(marks.Withdraw("one", kStart).size() == 1);
  CHECK(marks.StatusOf("one", kStart) == QuarantineStatus::kClear);
  CHECK(marks.StatusOf("two", kStart) == QuarantineStatus::kSuspect);

  SECTION("also where the mark arrives after its withdrawal") {
    marks.Add(left.front(), kStart);
    CHECK(marks.StatusOf("one", kStart) == QuarantineStatus::kClear);
  }
  SECTION("but a later crash marks it again") {
    Crash(marks, "b", {{"one"}, {"three"}}, kStart);
    CHECK(marks.StatusOf("one", kStart) == QuarantineStatus::kSuspect);
  }
  SECTION("in a quarantine, too: it ran while the evidence came in") {
    Crash(marks, "b", {{"two", true}}, kStart);
    REQUIRE(marks.StatusOf("two", kStart) == QuarantineStatus::kQuarantined);
    CHECK(marks.Withdraw("two", kStart).size() == 2);
    CHECK(marks.StatusOf("two", kStart) == QuarantineStatus::kClear);
  }
  SECTION("nothing is kept for ever") {
    marks.Expire(kStart + kMarkLifetime);
    CHECK(marks.empty());
  }
}

TEST_CASE("Marks are handed to a daemon that starts", "[quarantine]") {
  CrashMarks marks;
  Crash(marks, "a", {{"old"}}, kStart);
  Crash(marks, "b", {{"new"}}, kStart + seconds(1));
  const auto newest = marks.Newest(1, kStart + seconds(2));
  REQUIRE(newest.size() == 1);
  CHECK(newest.front().mark.fingerprint == "new");
  CHECK(newest.front().at == kStart + seconds(1));
  CHECK(marks.Newest(9, kStart + kMarkLifetime).size() == 1);
}

TEST_CASE("A fingerprint tells requests apart", "[quarantine]") {
  const std::string one = FingerprintOf("club", "GET", "h", "/a", "");
  CHECK(one == FingerprintOf("club", "GET", "h", "/a", ""));
  CHECK(one.size() == 15);
  CHECK(one != FingerprintOf("other", "GET", "h", "/a", ""));
  CHECK(one != FingerprintOf("club", "PUT", "h", "/a", ""));
  CHECK(one != FingerprintOf("club", "GET", "h", "/a?b", ""));
  CHECK(one != FingerprintOf("club", "GET", "h", "/", "a"));
}

TEST_CASE("Broken connections become a crash when the target is gone",
          "[quarantine]") {
  CrashDetector detector;
  detector.RecordBreak({"answer broken off"}, kStart);
  detector.RecordBreak({"one"}, kStart + seconds(1));
  detector.RecordBreak({"two", true}, kStart + seconds(1) + milliseconds(5));

  SECTION("of those that broke together") {
    const auto running = detector.TakeCrash({{"three"}}, kStart + seconds(2));
    CHECK(running ==
          std::vector<RunningRequest>{{"one"}, {"two", true}, {"three"}});

    SECTION("and only once") {
      CHECK(detector.TakeCrash({}, kStart + seconds(2)).empty());
    }
  }
  SECTION("unless it was long ago") {
    CHECK(detector.TakeCrash({{"three"}}, kStart + 2 * kCrashWindow).empty());
  }
  SECTION("unless the target had announced that it leaves") {
    detector.Reset();
    CHECK(detector.TakeCrash({}, kStart + seconds(2)).empty());
  }
}
