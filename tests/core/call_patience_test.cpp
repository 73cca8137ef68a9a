#include "lycheewell/core/overload/call_patience.h"

#include <catch2/catch.hpp>
#include <cstdint>
#include <map>
#include <vector>

#include "lycheewell/core/overload/slot_gate.h"

namespace {
using lycheewell::core::Duration;
using lycheewell::core::Instant;
using namespace lycheewell::core::overload;
using std::chrono::milliseconds;

constexpr Instant kStart = Instant() + std::chrono::hours(1);
constexpr int kTargets = 6;
constexpr int kSlots = 20;
constexpr auto kWork = milliseconds(62);
constexpr int kLookupsPerView = 8;
constexpr auto kViewAim = milliseconds(1500);
constexpr auto kViewTimeLimit = milliseconds(5000);

enum class Order { kToday, kOldestFirst, kUnknownAge };

// A lookup at the deepest service, four calls down: eight lookups a view, one
// after the other, at several targets with equal slots. Each lookup is sent to
// the target with the fewest requests.
class DeepestService {
 public:
  struct Result {
    int offered = 0;
    int served = 0;   // views whose lookups all ended
    int in_time = 0;  // those of them within the aim of a view
    int wasted_lookups = 0;
  };

  explicit DeepestService(Order new_order) : order(new_order), gates(kTargets) {
    for (SlotGate& gate : this->gates) {
      gate.Resize({.slots = kSlots});
      gate.Offer({.latest_start = kStart}, kStart);
      gate.Finish(0, kWork, true);
    }
  }

  Result Simulate(double load, milliseconds duration) {
    const double views_per_ms =
        load * kTargets * kSlots / kWork.count() / kLookupsPerView;
    double due = 0;
    for (milliseconds at{}; at < duration; at += milliseconds(1)) {
      this->now += milliseconds(1);
      while (!this->running.empty() &&
             this->running.begin()->first <= this->now) {
        this->EndLookup();
      }
      for (SlotGate& gate : this->gates) {
        this->Dispatch(gate);
      }
      for (due += views_per_ms; due >= 1; due -= 1) {
        ++this->result.offered;
        this->views.push_back({.arrived_at = this->now});
        this->StartLookup(this->views.size() - 1);
      }
    }
    return this->result;
  }

 private:
  struct View {
    Instant arrived_at;
    int lookups = 0;
  };

  std::size_t Load(std::size_t gate) const {
    return static_cast<std::size_t>(this->gates[gate].running()) +
           this->gates[gate].waiting();
  }

  std::size_t LeastLoaded(const std::vector<bool>& excluded) const {
    std::size_t best = excluded.size();
    for (std::size_t i = 0; i < this->gates.size(); ++i) {
      if (!excluded[i] &&
          (best == excluded.size() || this->Load(i) < this->Load(best))) {
        best = i;
      }
    }
    return best;
  }

  // Baseline: a lookup waits until its own aim of 300 ms, and is offered to
  // three targets. Patient: it waits until its caller gives up after 700 ms.
  void StartLookup(std::size_t view) {
    if (this->now - this->views[view].arrived_at > kViewTimeLimit) {
      return;
    }
    const CallTimes times{.offered_at = this->now,
                          .deadline = this->now + milliseconds(700),
                          .soft_deadline = this->now + milliseconds(300),
                          .root_arrived_at = this->order == Order::kOldestFirst
                                                 ? this->views[view].arrived_at
                                                 : this->now,
                          .is_root_known = this->order == Order::kOldestFirst};
    std::vector<bool> excluded(this->gates.size());
    Duration refused_wait{};
    for (int tries = 0; tries < 3; ++tries) {
      const std::size_t target = this->LeastLoaded(excluded);
      SlotGate& gate = this->gates[target];
      const Duration wait = gate.ExpectedWait(0, Instant::max(), this->now);
      if (tries > 0 && this->is_patient() &&
          !IsWorthAnotherTry({.answer_by = times.deadline,
                              .refused_wait = refused_wait,
                              .other_wait = wait},
                             this->now)) {
        break;
      }
      const CallPatience patience =
          PatienceOf(times, gate.queue_age(this->now));
      const Instant answer_by =
          this->is_patient() ? patience.answer_by : times.soft_deadline;
      const std::uint64_t ticket = ++this->last_ticket;
      const SlotDecision decision =
          gate.Offer({.ticket = ticket,
                      .latest_start = answer_by - kWork * 6 / 5,
                      .turn = this->is_patient() ? patience.turn : Instant()},
                     this->now);
      if (decision != SlotDecision::kRefuse) {
        this->view_of[ticket] = view;
        this->target_of[ticket] = target;
        if (decision == SlotDecision::kRun) {
          this->running.emplace(this->now + kWork, ticket);
        }
        return;
      }
      refused_wait = wait;
      excluded[target] = true;
    }
    this->result.wasted_lookups += this->views[view].lookups;
  }

  void EndLookup() {
    const std::uint64_t ticket = this->running.begin()->second;
    this->running.erase(this->running.begin());
    this->gates[this->target_of[ticket]].Finish(ticket, kWork, true);
    const std::size_t index = this->view_of[ticket];
    View& view = this->views[index];
    if (++view.lookups < kLookupsPerView) {
      this->StartLookup(index);
      return;
    }
    if (this->now - view.arrived_at > kViewTimeLimit) {
      return;
    }
    ++this->result.served;
    this->result.in_time += this->now - view.arrived_at <= kViewAim ? 1 : 0;
  }

  void Dispatch(SlotGate& gate) {
    const DispatchResult dispatched = gate.Dispatch(this->now);
    for (const std::uint64_t ticket : dispatched.run) {
      this->running.emplace(this->now + kWork, ticket);
    }
    for (const std::uint64_t ticket : dispatched.refuse) {
      this->result.wasted_lookups += this->views[this->view_of[ticket]].lookups;
    }
  }

  bool is_patient() const { return this->order != Order::kToday; }

  Order order;
  std::vector<SlotGate> gates;
  std::vector<View> views;
  std::multimap<Instant, std::uint64_t> running;
  std::map<std::uint64_t, std::size_t> view_of;
  std::map<std::uint64_t, std::size_t> target_of;
  Instant now = kStart;
  std::uint64_t last_ticket = 0;
  Result result;
};

}  // namespace

TEST_CASE("Patient lookups at 110% load end the views that have begun",
          "[core][overload][load][turns]") {
  DeepestService today(Order::kToday);
  DeepestService patient(Order::kOldestFirst);
  const auto before = today.Simulate(1.1, std::chrono::seconds(20));
  const auto after = patient.Simulate(1.1, std::chrono::seconds(20));
  INFO("today " << before.served << " (" << before.in_time << " in time, "
                << before.wasted_lookups << " lookups wasted), patient "
                << after.served << " (" << after.in_time << ", "
                << after.wasted_lookups << ") of " << after.offered);
  // There are slots for 1 / 1.1 of the views.
  CHECK(after.in_time > 0.95 * after.offered / 1.1);
  CHECK(after.in_time > before.in_time * 2);
  CHECK(after.wasted_lookups < before.wasted_lookups / 4);
}

// Without the requests' age, lookups that wait longer would only make all views
// late.
TEST_CASE("Where the age is not known, a standing overload is as before",
          "[core][overload][load][turns]") {
  const auto before =
      DeepestService(Order::kToday).Simulate(1.1, std::chrono::seconds(20));
  const auto after = DeepestService(Order::kUnknownAge)
                         .Simulate(1.1, std::chrono::seconds(20));
  INFO("served today " << before.served << ", " << before.in_time
                       << " in time; patient " << after.served << ", "
                       << after.in_time << " of " << after.offered);
  CHECK(after.served > 0.97 * before.served);
  CHECK(after.in_time > 0.97 * before.in_time);
}

TEST_CASE("A short burst at the deepest service costs fewer views",
          "[core][overload][load][turns]") {
  const auto simulate = [](Order order) {
    DeepestService service(order);
    service.Simulate(3, milliseconds(1000));
    return service.Simulate(0, std::chrono::seconds(6));
  };
  const auto before = simulate(Order::kToday);
  for (const Order order : {Order::kOldestFirst, Order::kUnknownAge}) {
    const auto after = simulate(order);
    INFO("today " << before.served << " (" << before.in_time
                  << " in time), patient " << after.served << " ("
                  << after.in_time << ") of " << after.offered);
    CHECK(after.served > 1.15 * before.served);
    // A late view is worth about half of one in time.
    CHECK(after.served + after.in_time > before.served + before.in_time);
  }
}

TEST_CASE("A refused call is tried where it waits less", "[core][overload]") {
  const RefusedCall refused{.answer_by = kStart + milliseconds(500),
                            .refused_wait = milliseconds(600),
                            .other_wait = milliseconds(200)};
  CHECK(IsWorthAnotherTry(refused, kStart));

  SECTION("not where the wait is the same") {
    RefusedCall same = refused;
    same.other_wait = same.refused_wait;
    CHECK_FALSE(IsWorthAnotherTry(same, kStart));
  }
  SECTION("not where its caller gives up before") {
    CHECK_FALSE(IsWorthAnotherTry(refused, kStart + milliseconds(400)));
  }
}

TEST_CASE("A call whose request is not known waits out bursts only",
          "[core][overload][turns]") {
  const CallTimes call{.offered_at = kStart,
                       .deadline = kStart + milliseconds(700),
                       .soft_deadline = kStart + milliseconds(300),
                       .root_arrived_at = kStart};
  CHECK(PatienceOf(call, milliseconds(2000)).answer_by == call.deadline);
  CHECK(PatienceOf(call, milliseconds(2100)).answer_by == call.soft_deadline);
}
