#include "lycheewell/core/membership/unconfirmed_cancels.h"

#include <catch2/catch.hpp>

namespace {
using namespace lycheewell::core;
using membership::UnconfirmedCancels;
using std::chrono::milliseconds;
using std::chrono::seconds;
using Calls = std::vector<std::uint64_t>;

constexpr Instant kStart{seconds(100)};
}  // namespace

TEST_CASE("A cancel is kept until its peer has received it",
          "[core][membership]") {
  UnconfirmedCancels cancels;
  cancels.Record("vm-1", 1, kStart);
  cancels.Record("vm-1", 2, kStart + milliseconds(500));
  const Instant later = kStart + seconds(3);

  SECTION("and sent again on the next link") {
    CHECK(cancels.SendAgain("vm-1", later) == Calls{1, 2});
    CHECK(cancels.SendAgain("vm-2", later).empty());

    SECTION("which may be lost, too") {
      CHECK(cancels.SendAgain("vm-1", later + seconds(3)) == Calls{1, 2});
    }
    SECTION("until an answer to a later message comes") {
      // A message of the time between went to the earlier link.
      cancels.Confirm("vm-1", kStart + seconds(1));
      CHECK(cancels.SendAgain("vm-1", later) == Calls{1, 2});
      cancels.Confirm("vm-1", later + milliseconds(1));
      CHECK(cancels.SendAgain("vm-1", later + seconds(1)).empty());
    }
  }
  SECTION("an answer confirms what was sent before its question") {
    cancels.Confirm("vm-1", kStart + milliseconds(200));
    CHECK(cancels.SendAgain("vm-1", later) == Calls{2});
  }
  SECTION("but not for longer than calls last") {
    CHECK(cancels.SendAgain("vm-1", kStart + seconds(30)) == Calls{1, 2});
    CHECK(cancels.SendAgain("vm-1", kStart + milliseconds(30'100)) == Calls{2});
  }
  SECTION("and the peer is forgotten with its cancels") {
    cancels.Forget("vm-1");
    CHECK(cancels.SendAgain("vm-1", later).empty());
  }
  SECTION("and a peer that never answers costs bounded memory") {
    for (std::uint64_t id = 3; id < 20'000; ++id) {
      cancels.Record("vm-1", id, later);
    }
    const Calls kept = cancels.SendAgain("vm-1", later);
    CHECK(kept.size() == UnconfirmedCancels::kMaxPerPeer);
    CHECK(kept.back() == 19'999);
  }
}
