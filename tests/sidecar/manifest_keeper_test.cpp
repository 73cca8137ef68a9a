// ManifestKeeper with a fake store whose responses the test supplies.
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

// A document is its version in decimal.
DialectHooks Dialect() {
  return {.decode_manifest = [](std::string_view document)
              -> std::variant<core::manifest::Manifest, Unusable> {
    return core::manifest::Manifest{.version =
                                        std::stoull(std::string(document))};
  }};
}

// Holds each call until the test responds to it.
struct FakeStore {
  std::deque<StoreCallback<StoredManifest>> reads;
  std::deque<StoreCallback<StoredManifest>> polls;

  StoreHooks Hooks() {
    return {.read_manifest =
                [this](StoreCallback<StoredManifest> done) {
                  this->reads.push_back(std::move(done));
                },
            .await_manifest =
                [this](std::uint64_t, core::Duration,
                       StoreCallback<StoredManifest> done) {
                  this->polls.push_back(std::move(done));
                }};
  }
};

template <typename Calls>
void Respond(Calls& calls, std::variant<StoredManifest, StoreError> response) {
  REQUIRE_FALSE(calls.empty());
  const auto done = std::move(calls.front());
  calls.pop_front();
  done(std::move(response));
}

}  // namespace

TEST_CASE("ManifestKeeper tracks when its manifest was last proven the newest",
          "[sidecar][manifest]") {
  constexpr core::manifest::ReaderStandby::Options kStandby{
      .adoption_bound = milliseconds(400)};
  boost::asio::io_context context;
  TimerQueue timers(context);
  DecisionLog log(context, timers);
  const DialectHooks dialect = Dialect();
  FakeStore store;
  const StoreHooks hooks = store.Hooks();
  manifest::ManifestKeeper keeper(timers, dialect, hooks, log, kStandby);
  bool is_reader = true;
  keeper.reader_rank = [&is_reader]() -> std::size_t {
    return is_reader ? 0 : 1;
  };
  int proofs = 0;
  keeper.on_proof = [&proofs] { ++proofs; };
  keeper.Start();

  SECTION("a read that reaches the end of the log is a proof") {
    Respond(store.reads, StoredManifest{.document = "7", .next_offset = 1});
    CHECK(keeper.version() == 7);
    CHECK(keeper.proof_age());
    CHECK(store.polls.size() == 1);
    CHECK(proofs == 1);

    // After many changes during a store outage, one response can end before the
    // newest manifest.
    SECTION("a read that stops before the end of the log is no proof") {
      std::this_thread::sleep_for(milliseconds(30));
      Respond(store.polls,
              StoredManifest{
                  .document = "8", .next_offset = 2, .is_caught_up = false});
      CHECK(keeper.version() == 8);
      CHECK(*keeper.proof_age() >= milliseconds(30));
    }
    SECTION("an older manifest does not replace a newer one") {
      Respond(store.polls, StoredManifest{.document = "5", .next_offset = 2});
      CHECK(keeper.version() == 7);
    }
  }
  SECTION("a daemon on standby does not call the store") {
    is_reader = false;
    Respond(store.reads, StoredManifest{.document = "7", .next_offset = 1});
    CHECK(store.polls.empty());
    context.run_for(milliseconds(150));
    CHECK(store.polls.empty());

    SECTION("while it receives proofs from peers") {
      keeper.RecordProof(7, milliseconds(0), manifest::TimeSinceBoot());
      context.run_for(milliseconds(220));
      CHECK(store.polls.empty());
    }
    SECTION("until its proof is too old") {
      context.run_for(milliseconds(500));
      CHECK(store.polls.size() == 1);

      SECTION("and it reads for the others from then on") {
        Respond(store.polls, StoredManifest{.next_offset = 1});
        CHECK(proofs == 1);
        CHECK(store.polls.size() == 1);
        keeper.OnReadOfBetter();
        Respond(store.polls, StoredManifest{.next_offset = 1});
        context.run_for(milliseconds(100));
      }
    }
    SECTION("until it becomes the reader") {
      is_reader = true;
      context.run_for(milliseconds(250));
      CHECK(store.polls.size() == 1);
    }
  }
  SECTION("a failed read is retried") {
    Respond(store.reads, StoreError{StoreErrorKind::kNotExecuted, "503"});
    CHECK_FALSE(keeper.proof_age());
    context.run_for(milliseconds(400));
    CHECK(store.reads.size() == 1);
  }
  // Guards against a manifest that comes in late after an outage of the store:
  // the last call of the outage ends up to its time limit after it.
  SECTION("also by a daemon on standby, however often it has failed") {
    is_reader = false;
    for (int i = 0; i < 4; ++i) {
      Respond(store.reads, StoreError{StoreErrorKind::kUnknown, "no response"});
      context.run_for(kStandby.adoption_bound / 2 + milliseconds(50));
      REQUIRE(store.reads.size() == 1);
    }
  }
}
