#include "lycheewell/core/overload/return_promises.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <map>
#include <random>
#include <string>
#include <vector>

namespace {
using lycheewell::core::Duration;
using lycheewell::core::Instant;
using namespace lycheewell::core::overload;
using std::chrono::milliseconds;

constexpr Instant kStart = Instant() + std::chrono::hours(1);

constexpr ReturnTerms kView{.target_left = milliseconds(1500),
                            .time_left = milliseconds(5000),
                            .answer_time = milliseconds(700)};

// An entry with room for 60% of the requests. Baseline: one fixed time to come
// back for all, and nobody goes first.
struct Entry {
  bool has_promises = false;
  std::mt19937_64 generator{3};
  ReturnPromises promises{};
  double room = 0;

  bool Admit(const std::string& request, Instant now) {
    const bool goes_first =
        this->has_promises && this->promises.TakeIfKept(request, now);
    if (this->room < (goes_first ? -5 : 1)) {
      return false;
    }
    this->room -= 1;
    this->promises.RecordAdmitted();
    return true;
  }

  Duration Refuse(const std::string& request, Instant now) {
    if (!this->has_promises) {
      return milliseconds(600);
    }
    const Duration wait =
        ReturnTime(kView, [this] { return this->generator(); });
    this->promises.Add(request, now + wait);
    return wait;
  }
};

// Served fractions of the requests that come back as told, once, and of those
// that come back at once, three times.
struct Served {
  double as_told = 0;
  double at_once = 0;
};

Served SimulateClients(bool has_promises) {
  struct Attempt {
    std::string request;
    bool waits = false;
    int left = 0;
  };
  constexpr int kRequests = 4000;
  constexpr auto kArrivalPeriod = milliseconds(5);
  Entry entry{.has_promises = has_promises};
  std::multimap<Instant, Attempt> attempts;
  for (int i = 0; i < kRequests; ++i) {
    const bool waits = i % 2 == 0;
    attempts.emplace(kStart + i * kArrivalPeriod,
                     Attempt{.request = std::to_string(i),
                             .waits = waits,
                             .left = waits ? 1 : 3});
  }
  Served served;
  Instant room_at = kStart;
  while (!attempts.empty()) {
    const auto [now, attempt] = *attempts.begin();
    attempts.erase(attempts.begin());
    for (; room_at <= now; room_at += kArrivalPeriod) {
      entry.room = std::min(3.0, entry.room + 0.6);
    }
    if (entry.Admit(attempt.request, now)) {
      (attempt.waits ? served.as_told : served.at_once) += 2.0 / kRequests;
      continue;
    }
    const Duration told = entry.Refuse(attempt.request, now);
    if (attempt.left > 0) {
      attempts.emplace(now + (attempt.waits ? told : milliseconds(9)),
                       Attempt{.request = attempt.request,
                               .waits = attempt.waits,
                               .left = attempt.left - 1});
    }
  }
  return served;
}

}  // namespace

TEST_CASE("A burst that was refused together does not return together",
          "[core][overload][load][turns]") {
  std::mt19937_64 generator(5);
  std::map<std::int64_t, int> by_slice;  // of 50 ms
  int largest = 0;
  for (int i = 0; i < 200; ++i) {
    const Duration wait = ReturnTime(kView, [&] { return generator(); });
    // The answer of one that returns then is still in time.
    CHECK(wait + kView.answer_time <= kView.target_left);
    CHECK(wait >= milliseconds(100));
    largest = std::max(largest, ++by_slice[wait / milliseconds(50)]);
  }
  // Baseline: one fixed time, all 200 in one slice.
  CHECK(largest < 200 / 4);
}

TEST_CASE("Requests that come back as told go before those that repeat at once",
          "[core][overload][load][turns]") {
  const Served before = SimulateClients(false);
  const Served after = SimulateClients(true);
  INFO("as told " << before.as_told << " -> " << after.as_told << ", at once "
                  << before.at_once << " -> " << after.at_once);
  CHECK(before.as_told < 1.05 * before.at_once);
  CHECK(after.as_told > 1.2 * after.at_once);
  // Nobody starves.
  CHECK(after.at_once > 0.45 * (after.as_told + after.at_once) / 2);
}

TEST_CASE("A promise is kept neither early nor late",
          "[core][overload][turns]") {
  ReturnPromises promises;
  promises.Add("r", kStart + milliseconds(500));
  for (int i = 0; i < 7; ++i) {
    promises.RecordAdmitted();
  }

  SECTION("as told, once") {
    CHECK(promises.TakeIfKept("r", kStart + milliseconds(520)));
    CHECK_FALSE(promises.TakeIfKept("r", kStart + milliseconds(530)));
  }
  SECTION("only while a part of the room is left") {
    for (int i = 0; i < 3; ++i) {
      promises.Add("r", kStart + milliseconds(500));
    }
    CHECK(promises.TakeIfKept("r", kStart + milliseconds(520)));
    CHECK(promises.TakeIfKept("r", kStart + milliseconds(520)));
    CHECK_FALSE(promises.TakeIfKept("r", kStart + milliseconds(520)));
  }
  SECTION("one that comes early loses its turn") {
    CHECK_FALSE(promises.TakeIfKept("r", kStart + milliseconds(400)));
    CHECK_FALSE(promises.TakeIfKept("r", kStart + milliseconds(500)));
  }
  SECTION("too late") {
    CHECK_FALSE(promises.TakeIfKept("r", kStart + milliseconds(1600)));
    CHECK(promises.size() == 0);
  }
  SECTION("another request") {
    CHECK_FALSE(promises.TakeIfKept("s", kStart + milliseconds(520)));
  }
  SECTION("the number of promises is bounded") {
    for (int i = 0; i < 10'000; ++i) {
      promises.Add(std::to_string(i), kStart + milliseconds(600));
    }
    CHECK(promises.size() == 4096);
    CHECK_FALSE(promises.TakeIfKept("r", kStart + milliseconds(520)));
  }
}

TEST_CASE("Returns fit what is left of the request's time",
          "[core][overload][turns]") {
  const auto earliest = [] { return std::uint64_t{1024}; };
  const auto latest = [] { return std::uint64_t{0}; };
  CHECK(ReturnTime(kView, latest) == milliseconds(660));
  CHECK(ReturnTime(kView, earliest) == milliseconds(330));
  // A request that takes longer than its target.
  CHECK(ReturnTime({.target_left = milliseconds(500),
                    .time_left = milliseconds(2500),
                    .answer_time = milliseconds(900)},
                   latest) == milliseconds(100));
  // The target has passed; a late answer is worth something, too.
  CHECK(ReturnTime(
            {.target_left = milliseconds(-500), .time_left = milliseconds(900)},
            latest) == milliseconds(300));
  // Clients wait for a third of their time at most.
  CHECK(ReturnTime({.target_left = milliseconds(4000),
                    .time_left = milliseconds(3000)},
                   latest) == milliseconds(1000));
}
