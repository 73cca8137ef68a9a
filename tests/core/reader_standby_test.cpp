// Which daemons read the manifest when some of them are cut from the store.
#include "lycheewell/core/manifest/reader_standby.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <vector>

namespace {
using namespace lycheewell::core;
using manifest::ReaderStandby;
using std::chrono::milliseconds;
using std::chrono::seconds;

// A data centre of daemons in the order of their ranks. Each long-polls a fake
// store or stands by, in steps of one millisecond.
class DataCentre {
 public:
  static constexpr Duration kBound = seconds(2);
  static constexpr Duration kStep = milliseconds(1);
  // From a read or a push to its effect at another daemon.
  static constexpr Duration kTransit = milliseconds(20);
  // A call to a store that does not answer ends this long after its poll.
  static constexpr Duration kSilenceTimeout = seconds(1);

  explicit DataCentre(std::size_t size)
      : daemons(size, {.standby = ReaderStandby({.adoption_bound = kBound})}) {}

  void Publish() {
    ++this->newest;
    this->published_at = this->now;
  }

  void RunFor(Duration time) {
    for (const Instant end = this->now + time; this->now < end;
         this->now += kStep) {
      for (std::size_t rank = 0; rank < this->daemons.size(); ++rank) {
        this->Step(rank);
      }
    }
  }

  // The longest time after its publication for which a daemon that reaches the
  // store was without the newest version.
  Duration worst_delay{};
  int calls = 0;

  struct Daemon {
    ReaderStandby standby;
    bool is_cut = false;
    int version = 0;
    Instant proven_at{};
    std::optional<Instant> poll_begun_at;
    Instant retry_at{};
  };
  std::vector<Daemon> daemons;

 private:
  void Step(std::size_t rank) {
    Daemon& daemon = this->daemons[rank];
    if (daemon.version < this->newest && !daemon.is_cut) {
      this->worst_delay =
          std::max(this->worst_delay, this->now - this->published_at);
    }
    if (!daemon.poll_begun_at) {
      if (this->now >= daemon.retry_at &&
          daemon.standby.StandbyTime(rank, this->now - daemon.proven_at) ==
              Duration::zero()) {
        daemon.poll_begun_at = this->now;
        daemon.standby.BeginRead();
        ++this->calls;
      }
      return;
    }
    const Duration polled = this->now - *daemon.poll_begun_at;
    if (daemon.is_cut) {
      if (polled >= daemon.standby.poll_timeout() + kSilenceTimeout) {
        daemon.standby.EndRead(false);
        daemon.poll_begun_at.reset();
        daemon.retry_at = this->now + milliseconds(250);
      }
      return;
    }
    if (polled < kTransit || (daemon.version == this->newest &&
                              polled < daemon.standby.poll_timeout())) {
      return;
    }
    daemon.standby.EndRead(true);
    this->Learn(daemon, *daemon.poll_begun_at);
    const Instant proof = *daemon.poll_begun_at;
    daemon.poll_begun_at.reset();
    for (std::size_t other = 0; other < this->daemons.size(); ++other) {
      if (other != rank) {
        this->Learn(this->daemons[other], proof);
        if (other > rank) {
          this->daemons[other].standby.RecordReadOfBetter();
        }
      }
    }
  }

  void Learn(Daemon& daemon, Instant proof) const {
    daemon.version = this->newest;
    daemon.proven_at = std::max(daemon.proven_at, proof);
  }

  Instant now{std::chrono::hours(1)};
  Instant published_at{};
  int newest = 0;
};

}  // namespace

TEST_CASE("A new manifest is read in time whoever is cut from the store",
          "[manifest]") {
  const std::size_t size = GENERATE(1, 3, 19, 308);
  DataCentre centre(size);
  centre.RunFor(seconds(3));

  SECTION("one daemon reads while all reach it") {
    centre.calls = 0;
    centre.RunFor(seconds(10));
    CHECK(centre.calls <= 22);
    centre.Publish();
    centre.RunFor(seconds(1));
    CHECK(centre.worst_delay <= milliseconds(100));
  }
  SECTION("the first ones, or all but the last one, lose it") {
    const std::size_t cut = GENERATE(1, 2, 6, 307);
    for (std::size_t rank = 0; rank < std::min(cut, size - 1); ++rank) {
      centre.daemons[rank].is_cut = true;
    }
    // A version just after the cut, then others at all phases of the polls.
    for (int version = 0; version < 8; ++version) {
      centre.Publish();
      centre.RunFor(milliseconds(2130));
    }
    CHECK(centre.worst_delay < DataCentre::kBound - milliseconds(150));

    SECTION("and get it back") {
      for (auto& daemon : centre.daemons) {
        daemon.is_cut = false;
      }
      centre.RunFor(seconds(3));
      centre.calls = 0;
      centre.RunFor(seconds(10));
      CHECK(centre.calls <= 22);
    }
  }
}

TEST_CASE("A daemon stands by while its proof is young", "[manifest]") {
  ReaderStandby standby({.adoption_bound = seconds(2)});
  CHECK(standby.StandbyTime(0, milliseconds(0)) == Duration::zero());
  CHECK(standby.StandbyTime(1, std::nullopt) == Duration::zero());
  CHECK(standby.StandbyTime(1, milliseconds(300)) == milliseconds(1140));
  CHECK(standby.StandbyTime(1, seconds(9)) == Duration::zero());

  SECTION("the next ones take over before the later ones") {
    CHECK(standby.StandbyTime(2, seconds(1)) >
          standby.StandbyTime(1, seconds(1)));
    CHECK(standby.StandbyTime(3, seconds(1)) ==
          standby.StandbyTime(2, seconds(1)));
  }
  SECTION("after a read of its own it reads for the others") {
    standby.BeginRead();
    standby.EndRead(true);
    CHECK(standby.StandbyTime(1, milliseconds(0)) == Duration::zero());

    SECTION("until a better one has read") {
      standby.RecordReadOfBetter();
      CHECK_FALSE(standby.ReadsForOthers(1));
    }
    SECTION("or during a read of its own") {
      standby.BeginRead();
      standby.RecordReadOfBetter();
      standby.EndRead(true);
      CHECK_FALSE(standby.ReadsForOthers(1));
    }
    SECTION("or until its own read fails") {
      standby.EndRead(false);
      CHECK_FALSE(standby.ReadsForOthers(1));
    }
  }
}
