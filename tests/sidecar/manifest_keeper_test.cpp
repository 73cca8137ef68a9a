// The manifest's keeper against a store that the test plays.
#include "lycheewell/sidecar/manifest/manifest_keeper.h"

#include <boost/asio/io_context.hpp>
#include <catch2/catch.hpp>
#include <chrono>
#include <deque>
#include <thread>

namespace {
using namespace lycheewell;
using namespace lycheewell::sidecar;
using std::chrono::milliseconds;

// Documents are versions in decimal.
DialectHooks Dialect() {
  return {.decode_manifest = [](std::string_view document)
              -> std::variant<core::manifest::Manifest, Unusable> {
    return core::manifest::Manifest{.version =
                                        std::stoull(std::string(document))};
  }};
}

// Calls that wait for an answer of the test.
struct PlayedStore {
  std::deque<StoreCallback<StoredManifest>> reads;
  std::deque<StoreCallback<StoredManifest>> waits;

  StoreHooks Hooks() {
    return {.read_manifest =
                [this](StoreCallback<StoredManifest> done) {
                  this->reads.push_back(std::move(done));
                },
            .await_manifest =
                [this](std::uint64_t, core::Duration,
                       StoreCallback<StoredManifest> done) {
                  this->waits.push_back(std::move(done));
                }};
  }
};

template <typename Calls>
void Answer(Calls& calls, std::variant<StoredManifest, StoreError> answer) {
  REQUIRE_FALSE(calls.empty());
  const auto done = std::move(calls.front());
  calls.pop_front();
  done(std::move(answer));
}

}  // namespace

TEST_CASE("A daemon knows how fresh its manifest is", "[sidecar][manifest]") {
  constexpr auto kWait = milliseconds(100);
  boost::asio::io_context context;
  TimerQueue timers(context);
  DecisionLog log(context, timers);
  const DialectHooks dialect = Dialect();
  PlayedStore store;
  const StoreHooks hooks = store.Hooks();
  manifest::ManifestKeeper keeper(timers, dialect, hooks, log, kWait);
  bool is_reader = true;
  keeper.is_reader = [&is_reader] { return is_reader; };
  keeper.Start();

  SECTION("from a read that reached the end of the log") {
    Answer(store.reads, StoredManifest{.document = "7", .end = 1});
    CHECK(keeper.version() == 7);
    CHECK(keeper.proof_age());
    CHECK(store.waits.size() == 1);

    // The pattern of many changes while the store was away: what one answer
    // holds ends before the newest manifest.
    SECTION("and a read that ended before proves nothing") {
      std::this_thread::sleep_for(milliseconds(30));
      Answer(store.waits,
             StoredManifest{.document = "8", .end = 2, .is_caught_up = false});
      CHECK(keeper.version() == 8);
      CHECK(*keeper.proof_age() >= milliseconds(30));
    }
    SECTION("and an older manifest does not come back") {
      Answer(store.waits, StoredManifest{.document = "5", .end = 2});
      CHECK(keeper.version() == 7);
    }
  }
  SECTION("and leaves the store alone while others read for it") {
    is_reader = false;
    Answer(store.reads, StoredManifest{.document = "7", .end = 1});
    CHECK(store.waits.empty());
    context.run_for(milliseconds(150));
    CHECK(store.waits.empty());

    SECTION("as long as their proofs come") {
      keeper.LearnProof(7, milliseconds(0), manifest::TimeSinceBoot());
      context.run_for(milliseconds(220));
      CHECK(store.waits.empty());
    }
    SECTION("and asks the store itself when none came in time") {
      context.run_for(milliseconds(500));
      CHECK(store.waits.size() == 1);
    }
    SECTION("and reads when the duty falls to it") {
      is_reader = true;
      context.run_for(milliseconds(250));
      CHECK(store.waits.size() == 1);
    }
  }
  SECTION("and tries again when the store fails") {
    Answer(store.reads, StoreError{StoreErrorKind::kNotDone, "503"});
    CHECK_FALSE(keeper.proof_age());
    context.run_for(milliseconds(400));
    CHECK(store.reads.size() == 1);
  }
}
