#include <catch2/catch.hpp>
#include <deque>
#include <random>
#include <vector>

#include "lycheewell/core/rate/fleet_tokens.h"
#include "lycheewell/core/retry/window_budget.h"

namespace {
using lycheewell::core::Instant;
using namespace lycheewell::core::rate;
using lycheewell::core::retry::WindowBudget;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Instant kStart = Instant() + std::chrono::hours(1);

// The largest number of entries of `times` within any five seconds.
std::size_t MaxInWindow(const std::vector<Instant>& times) {
  std::size_t max_count = 0;
  std::size_t first = 0;
  for (std::size_t last = 0; last < times.size(); ++last) {
    while (times[last] - times[first] >= seconds(5)) {
      ++first;
    }
    max_count = std::max(max_count, last - first + 1);
  }
  return max_count;
}

}  // namespace

// One account sends several times its rate through all daemons while some of
// them cannot reach the account's owner.
TEST_CASE("An account's rate limit holds across the whole fleet",
          "[core][rate][load]") {
  constexpr AccountRate kRate{.per_second = 63, .burst = 63};
  constexpr std::size_t kDaemons = 13;
  const std::size_t unreachable_daemons = GENERATE(0, 4, 12);
  AccountBuckets buckets(seconds(5));
  std::vector<LocalTokenPool> pools(kDaemons, LocalTokenPool(kStart));
  std::vector<Instant> admissions;
  const double reachable_fraction =
      static_cast<double>(kDaemons - unreachable_daemons) / kDaemons;
  for (int ms = 0; ms < 20'000; ++ms) {
    const Instant now = kStart + milliseconds(ms);
    LocalTokenPool& pool = pools[static_cast<std::size_t>(ms) % kDaemons];
    const bool is_unreachable =
        static_cast<std::size_t>(ms) % kDaemons < unreachable_daemons;
    bool is_admitted = pool.Take(now);
    if (!is_admitted && is_unreachable) {
      is_admitted = pool.TakeFallback(kRate, kDaemons, now);
    } else if (!is_admitted && !pool.IsExhausted(now)) {
      const int requested = 1 + pool.PrefetchAmount();
      pool.AddGrant(
          buckets.Grant("example", requested, kRate, reachable_fraction, now),
          requested, now, now);
      is_admitted = pool.Take(now);
    }
    if (is_admitted) {
      admissions.push_back(now);
    }
  }
  // The documented bound: (rate * window + burst) * 1.1 + 20.
  CHECK(MaxInWindow(admissions) <= (63 * 5 + 63) * 1.1 + 20);
  // At least 90% of the rate is granted.
  CHECK(admissions.size() > 20 * 63 * 0.9);
}

TEST_CASE("A new owner does not grant the burst again", "[core][rate]") {
  AccountBuckets buckets(seconds(5));
  constexpr AccountRate kRate{.per_second = 100, .burst = 100};
  CHECK(buckets.Grant("example", 1000, kRate, 1, kStart) <= 20);
  CHECK(buckets.Grant("example", 1000, kRate, 1, kStart + seconds(10)) == 100);

  SECTION("nor does an owner that was paused") {
    buckets.Clear();
    CHECK(buckets.Grant("example", 1000, kRate, 1, kStart + seconds(20)) <= 20);
  }
}

// Accounts send 1.5 times their rate for many seconds. Operators measure the
// bound rate * window + burst in every window.
TEST_CASE("Steady demand above the rate is granted the burst in every window",
          "[core][rate][load]") {
  constexpr AccountRate kRate{.per_second = 40, .burst = 40};
  SlidingWindowBucket bucket(kRate, seconds(5), kStart);
  std::vector<Instant> granted;
  const auto send_load = [&](int from_ms, int to_ms, double per_second) {
    double due = 0;
    int count = 0;
    for (int ms = from_ms; ms < to_ms; ms += 5) {
      due += per_second * 0.005;
      while (due > 1 - 1e-6) {
        due -= 1;
        if (bucket.Take(1, kRate, kStart + milliseconds(ms)) == 1) {
          granted.push_back(kStart + milliseconds(ms));
          ++count;
        }
      }
    }
    return count;
  };

  SECTION("and never exceeds the bound") {
    send_load(0, 30'000, 60);
    CHECK(MaxInWindow(granted) <= 240);
    // The bound allows 1.2 times the rate, less one slice of the window.
    CHECK(granted.size() > 30 * 40 * 1.1);
  }
  SECTION("also right after a period of low demand") {
    CHECK(send_load(0, 10'000, 20) == 200);
    send_load(10'000, 20'000, 200);
    CHECK(MaxInWindow(granted) <= 240);
  }
  SECTION("and at most rate and burst in the first window") {
    CHECK(send_load(0, 5'000, 100) <= 5 * 40 + 40);
  }
  SECTION("and a lower rate applies at once without stopping all grants") {
    send_load(0, 10'000, 60);
    constexpr AccountRate kLower{.per_second = 10, .burst = 10};
    int count = 0;
    for (int ms = 10'000; ms < 15'000; ms += 10) {
      count += bucket.Take(1, kLower, kStart + milliseconds(ms));
    }
    CHECK(count <= 60);
    CHECK(count >= 40);
  }
}

TEST_CASE("The token of a request that did not run is reused", "[core][rate]") {
  LocalTokenPool pool(kStart);
  pool.AddGrant(1, 1, kStart, kStart);
  CHECK(pool.Take(kStart));
  CHECK_FALSE(pool.Take(kStart));
  pool.Return(kStart + milliseconds(10));
  CHECK(pool.Take(kStart + milliseconds(20)));
  CHECK_FALSE(pool.Take(kStart + milliseconds(20)));

  SECTION("but not after its lifetime") {
    pool.Return(kStart + milliseconds(30));
    CHECK_FALSE(pool.Take(kStart + milliseconds(600)));
  }
}

// A daemon asks for tokens, is paused for seconds and then gets requests. The
// window for which the owner granted the tokens has passed.
TEST_CASE("Granted tokens are not spent long after they were asked for",
          "[core][rate]") {
  LocalTokenPool pool(kStart);
  pool.AddGrant(20, 20, kStart, kStart);
  CHECK(pool.Take(kStart + milliseconds(100)));

  SECTION("after a pause") {
    CHECK_FALSE(pool.Take(kStart + seconds(3)));
    CHECK(pool.PrefetchAmount() >= 0);
  }
  SECTION("also when the answer itself was read late") {
    pool.AddGrant(20, 20, kStart + milliseconds(100), kStart + seconds(3));
    CHECK_FALSE(pool.Take(kStart + seconds(3)));
  }
  SECTION("and a later grant does not renew an earlier one") {
    pool.AddGrant(1, 1, kStart + milliseconds(400), kStart + milliseconds(400));
    CHECK(pool.Take(kStart + milliseconds(600)));
    CHECK_FALSE(pool.Take(kStart + milliseconds(600)));
  }
}

TEST_CASE("Retries stay within the fleet's retry budget",
          "[core][retry][load]") {
  constexpr double kRatio = 0.2;
  constexpr double kBase = 48;
  constexpr std::size_t kDaemons = 13;
  std::vector<WindowBudget> budgets(
      kDaemons,
      WindowBudget({.ratio = kRatio, .base = kBase, .window = seconds(10)}));
  std::deque<Instant> requests;
  std::deque<Instant> retries;
  std::mt19937_64 generator(3);
  double max_excess = 0;
  // All targets of a service fail, so every daemon tries to retry each request.
  for (int ms = 0; ms < 40'000; ms += 5) {
    const Instant now = kStart + milliseconds(ms);
    WindowBudget& budget = budgets[generator() % kDaemons];
    budget.RecordRequest(now);
    requests.push_back(now);
    if (budget.Spend(kDaemons, now)) {
      retries.push_back(now);
    }
    while (now - requests.front() >= seconds(10)) {
      requests.pop_front();
    }
    while (!retries.empty() && now - retries.front() >= seconds(10)) {
      retries.pop_front();
    }
    max_excess = std::max(
        max_excess, static_cast<double>(retries.size()) -
                        kRatio * static_cast<double>(requests.size()) - kBase);
  }
  CHECK(max_excess <= 0);
  CHECK_FALSE(retries.empty());
}
