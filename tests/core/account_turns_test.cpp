#include "lycheewell/core/overload/account_turns.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <map>
#include <random>
#include <string>
#include <vector>

namespace {
using lycheewell::core::Instant;
using namespace lycheewell::core::overload;
using std::chrono::milliseconds;

constexpr Instant kStart = Instant() + std::chrono::hours(1);

struct Sender {
  double per_second = 0;
  double weight = 1;
  // Times that a refused request is sent again at once.
  int repeats = 0;
  int wanted = 0;
  int served = 0;
  double served_fraction() const {
    return static_cast<double>(this->served) / std::max(1, this->wanted);
  }
};

// A route of which `room` requests per second are admitted. The admitted
// fraction follows the offered requests, repeats included. The baseline admits
// that fraction of all requests as they come.
class Entry {
 public:
  Entry(bool new_is_fair, double new_room, std::vector<Sender> new_senders)
      : is_fair(new_is_fair), room(new_room), senders(std::move(new_senders)) {}

  // Every millisecond each sender sends with the probability of its rate.
  void Simulate(int seconds) {
    for (Sender& sender : this->senders) {
      sender.wanted = 0;
      sender.served = 0;
    }
    this->admitted = 0;
    for (int ms = 0; ms < seconds * 1000; ++ms) {
      this->now += milliseconds(1);
      if (ms % 500 == 0) {
        const double rate = 2.0 * this->offered;
        this->fraction = rate > this->room ? this->room / rate : 1;
        this->offered = 0;
      }
      for (std::size_t i = 0; i < this->senders.size(); ++i) {
        if (std::uniform_real_distribution(0.0, 1000.0)(this->generator) <
            this->senders[i].per_second) {
          this->Send(i);
        }
      }
    }
  }

  const Sender& sender(std::size_t i) const { return this->senders[i]; }
  double LowestFraction(std::size_t first, std::size_t last) const {
    double lowest = 1;
    for (std::size_t i = first; i <= last; ++i) {
      lowest = std::min(lowest, this->senders[i].served_fraction());
    }
    return lowest;
  }
  int admitted_requests() const { return this->admitted; }
  void SetRate(std::size_t i, double per_second) {
    this->senders[i].per_second = per_second;
  }

 private:
  void Send(std::size_t i) {
    Sender& sender = this->senders[i];
    ++sender.wanted;
    for (int attempt = 0; attempt <= sender.repeats; ++attempt) {
      ++this->offered;
      this->credit += this->fraction;
      const bool is_granted = this->credit >= 1;
      this->credit -= is_granted ? 1 : 0;
      const bool is_admitted =
          this->is_fair
              ? this->turns.Offer({.account = "account-" + std::to_string(i),
                                   .weight = sender.weight,
                                   .admitted_fraction = this->fraction,
                                   .is_granted = is_granted},
                                  this->now,
                                  [this] { return this->generator(); }) ==
                    AccountVerdict::kAdmit
              : is_granted;
      if (is_admitted) {
        ++this->admitted;
        ++sender.served;
        return;
      }
    }
  }

  bool is_fair;
  double room;
  std::vector<Sender> senders;
  std::mt19937_64 generator{7};
  AccountTurns turns;
  Instant now = kStart;
  double fraction = 1;
  double credit = 0;
  int offered = 0;
  int admitted = 0;
};

}  // namespace

// 20 accounts send 10 requests per second each; there is room for 220. One of
// them turns to 15 times its usual.
TEST_CASE("An account that sends many times its usual takes room from no other",
          "[core][overload][load][turns]") {
  const auto simulate = [](bool is_fair) {
    Entry entry(is_fair, 220, std::vector<Sender>(20, {.per_second = 10}));
    entry.Simulate(10);
    entry.SetRate(0, 150);
    entry.Simulate(20);
    return entry;
  };
  const Entry before = simulate(false);
  const Entry after = simulate(true);
  CHECK(before.LowestFraction(1, 19) < 0.75);
  CHECK(after.LowestFraction(1, 19) > 0.93);
  // The room that the others leave goes to the account that asks for more.
  CHECK(after.sender(0).served > 20 * 20);
  CHECK(after.admitted_requests() > 0.97 * before.admitted_requests());
  CHECK(after.admitted_requests() < 1.03 * before.admitted_requests());
}

// Room for 60% of the requests of 20 accounts. The clients of half of them
// repeat refused requests at once, three times.
TEST_CASE("Clients that repeat at once do not gain",
          "[core][overload][load][turns]") {
  const auto simulate = [](bool is_fair) {
    std::vector<Sender> senders(20, {.per_second = 10});
    for (std::size_t i = 0; i < 10; ++i) {
      senders[i].repeats = 3;
    }
    Entry entry(is_fair, 120, senders);
    entry.Simulate(5);
    entry.Simulate(30);
    return entry;
  };
  const auto mean = [](const Entry& entry, std::size_t first) {
    double sum = 0;
    for (std::size_t i = first; i < first + 10; ++i) {
      sum += entry.sender(i).served_fraction() / 10;
    }
    return sum;
  };
  const Entry before = simulate(false);
  const Entry after = simulate(true);
  CHECK(mean(before, 0) > 1.5 * mean(before, 10));
  CHECK(mean(after, 0) < 1.1 * mean(after, 10));
  CHECK(mean(after, 10) > 0.54);
}

TEST_CASE("Accounts share room by their rates, and absent ones hold none",
          "[core][overload][load][turns]") {
  std::vector<Sender> senders(4, {.per_second = 100, .weight = 10});
  senders[0].weight = 30;
  Entry entry(true, 120, senders);
  entry.Simulate(5);
  entry.Simulate(20);
  // 30 of 60 parts of 120 requests per second.
  CHECK(entry.sender(0).served_fraction() == Approx(0.6).epsilon(0.1));
  CHECK(entry.sender(1).served_fraction() == Approx(0.2).epsilon(0.1));

  SECTION("a granted request goes first whatever its account has had") {
    AccountTurns turns;
    for (int i = 0; i < 100; ++i) {
      CHECK(turns.Offer({.account = "a",
                         .admitted_fraction = 0.1,
                         .is_granted = true,
                         .goes_first = true},
                        kStart, [] { return 0; }) == AccountVerdict::kAdmit);
    }
  }
  SECTION("what an absent account leaves is divided at once") {
    entry.SetRate(0, 0);
    entry.Simulate(5);
    CHECK(entry.admitted_requests() > 0.95 * 120 * 5);
  }
}

TEST_CASE("The number of remembered accounts is bounded",
          "[core][overload][turns]") {
  AccountTurns turns;
  for (int i = 0; i < 5000; ++i) {
    CHECK(turns.Offer({.account = std::to_string(i)}, kStart,
                      [] { return 0; }) == AccountVerdict::kAdmit);
  }
  CHECK(turns.account_count() <= 1024);
  // They are forgotten when they send no more.
  turns.Offer({.account = "a", .admitted_fraction = 0.5},
              kStart + std::chrono::minutes(1), [] { return 0; });
  CHECK(turns.account_count() <= 1);
}
