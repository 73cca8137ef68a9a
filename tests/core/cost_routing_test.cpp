#include <algorithm>
#include <array>
#include <catch2/catch.hpp>
#include <map>
#include <random>
#include <string>
#include <string_view>

#include "lycheewell/core/overload/slot_gate.h"
#include "lycheewell/core/routing/target_selector.h"
#include "lycheewell/core/routing/target_speed.h"
#include "lycheewell/core/routing/work_model.h"

namespace {
using lycheewell::core::Duration;
using lycheewell::core::Instant;
using lycheewell::core::RandomSource;
using namespace lycheewell::core::overload;
using namespace lycheewell::core::routing;
using std::chrono::milliseconds;

constexpr Instant kStart = Instant() + std::chrono::hours(1);

Duration Scale(Duration duration, double factor) {
  return std::chrono::duration_cast<Duration>(duration * factor);
}

double Milliseconds(Duration duration) {
  return std::chrono::duration<double, std::milli>(duration).count();
}

// Four fifths of the requests are lookups, but entries need most of the slots.
struct Kind {
  std::string_view route;
  milliseconds work;
  milliseconds latency_target;
};
constexpr std::array<Kind, 2> kKinds = {
    Kind{"lookup", milliseconds(15), milliseconds(300)},
    Kind{"entry", milliseconds(320), milliseconds(1500)}};
constexpr double kLookupFraction = 0.8;
constexpr double kMeanWorkMs = 76;

enum class Policy {
  kMeanWork,           // the baseline: requests counted, one mean per target
  kLeastExpectedWork,  // the product's choice
  kTwoRandomTargets,   // the better of two, and the own target
  kSubsetOfTargets     // each sender uses one third of the targets
};

struct Result {
  double lookups_in_time = 0;  // fractions of those offered
  double entries_in_time = 0;
  double lookup_ms = 0;  // mean completion of those served
  double entry_ms = 0;
  double sent_far = 0;  // fraction sent to another data centre
};

// A fleet of two data centres with 12 targets of speeds 0.5, 1 and 1.5 and 40
// daemons, each with its own load reports of other daemons' targets: up to a
// second old. Requests arrive for 15 s; the first 5 s do not count.
class Fleet {
 public:
  Fleet(Policy new_policy, double new_utilization)
      : policy(new_policy), utilization(new_utilization) {
    for (int i = 0; i < kTargets; ++i) {
      Target& target = this->targets.at(i);
      target.gate.Resize({.slots = kSlots});
      if (this->is_by_cost()) {
        target.gate.WeighByWork();
      }
      target.slowness = std::array{2.0, 1.0, 1 / 1.5}.at(i / 2 % 3);
      this->capacity += kSlots / target.slowness;
      for (int sender = 0; sender < kSenders; ++sender) {
        const bool is_far = sender % 2 != i % 2;
        this->senders.at(sender).selector.Put(
            std::to_string(i),
            {.instance = std::to_string(i),
             .service = "s",
             .distance = sender == i ? Distance::kSameVm
                         : is_far    ? Distance::kOtherDataCentre
                                     : Distance::kSameDataCentre,
             .slots = kSlots},
            kStart);
      }
    }
  }

  Result Play() {
    constexpr int kMilliseconds = 15'000;
    double due = 0;
    for (int ms = 0; ms < kMilliseconds; ++ms) {
      this->now = kStart + milliseconds(ms);
      while (!this->ends.empty() && this->ends.begin()->first <= this->now) {
        const std::uint64_t ticket = this->ends.begin()->second;
        this->ends.erase(this->ends.begin());
        this->Finish(ticket);
      }
      for (int sender = 0; sender < kSenders; ++sender) {
        for (int i = 0; i < kTargets; ++i) {
          if (ms % 1000 == (sender * 83 + i * 29) % 1000) {
            this->Report(sender, i);
          }
        }
      }
      due += this->utilization * this->capacity / kMeanWorkMs;
      for (; due >= 1; due -= 1) {
        const Run run{.kind = this->Uniform() < kLookupFraction ? 0U : 1U,
                      .sender = static_cast<int>(this->generator() % kSenders),
                      .arrived_at = this->now};
        ++this->counts.at(run.kind).offered;
        this->Send(run);
      }
      if (ms == kMilliseconds / 3) {
        this->counts = {};
      }
    }
    const auto fraction = [](double part, double whole) {
      return whole == 0 ? 0 : part / whole;
    };
    const Counts& lookups = this->counts[0];
    const Counts& entries = this->counts[1];
    return {.lookups_in_time = fraction(lookups.in_time, lookups.offered),
            .entries_in_time = fraction(entries.in_time, entries.offered),
            .lookup_ms = fraction(lookups.sum_ms, lookups.served),
            .entry_ms = fraction(entries.sum_ms, entries.served),
            .sent_far = fraction(lookups.far + entries.far,
                                 lookups.sent + entries.sent)};
  }

 private:
  static constexpr int kTargets = 12;
  static constexpr int kSenders = 40;
  static constexpr int kSlots = 20;
  struct Target {
    SlotGate gate;
    TargetSpeed speed;
    double slowness = 1;
  };
  struct Sender {
    TargetSelector selector;
    WorkModel model;
  };
  struct Run {
    std::size_t kind = 0;
    int sender = 0;
    int target = 0;
    Instant arrived_at;
    Instant started_at;
    Duration expected{};
    std::set<std::string> refused_by;
  };
  struct Counts {
    int offered = 0;
    int served = 0;
    int in_time = 0;
    int sent = 0;
    int far = 0;
    double sum_ms = 0;
  };

  bool is_by_cost() const { return this->policy != Policy::kMeanWork; }
  double Uniform() {
    return std::uniform_real_distribution<double>()(this->generator);
  }

  void Report(int sender, int i) {
    Target& target = this->targets.at(i);
    TargetLoad load{.running = target.gate.running(),
                    .waiting = static_cast<int>(target.gate.waiting()),
                    .mean_work = target.gate.mean_work()};
    if (this->is_by_cost()) {
      load.remaining_work = target.gate.RemainingWork(this->now);
      load.first_wait = target.gate.ExpectedWaitOfFirst(this->now);
      load.last_wait = target.gate.ExpectedWaitOfLast(this->now);
      load.slowness = target.speed.Slowness(this->now);
    }
    this->senders.at(sender).selector.RecordLoad(std::to_string(i), load,
                                                 this->now);
  }

  // Targets that the policy does not consider for a request of `sender`.
  std::set<std::string> PassedOver(int sender) {
    std::set<std::string> passed_over;
    if (this->policy == Policy::kSubsetOfTargets) {
      for (int i = 0; i < kTargets; ++i) {
        if (i != sender && (i + sender) % 12 >= 4) {
          passed_over.insert(std::to_string(i));
        }
      }
    } else if (this->policy == Policy::kTwoRandomTargets) {
      const auto first = static_cast<int>(this->generator() % kTargets);
      const auto second = static_cast<int>(this->generator() % kTargets);
      for (int i = 0; i < kTargets; ++i) {
        if (i != sender && i != first && i != second) {
          passed_over.insert(std::to_string(i));
        }
      }
    }
    return passed_over;
  }

  void Send(Run run) {
    constexpr std::size_t kMaxRefusals = 3;
    const Kind& kind = kKinds.at(run.kind);
    Sender& sender = this->senders.at(run.sender);
    const WorkEstimate estimate =
        sender.model.Expect({.service = "s", .route = kind.route});
    ChoiceOptions options;
    if (this->is_by_cost()) {
      options.demand = RequestDemand{.work = estimate.mean,
                                     .latency_target = kind.latency_target};
    }
    std::set<std::string> excluded = this->PassedOver(run.sender);
    excluded.insert(run.refused_by.begin(), run.refused_by.end());
    const auto choice =
        sender.selector.Choose("s", excluded, this->now, this->random, options);
    const Instant soft_deadline = run.arrived_at + kind.latency_target;
    if (!choice || run.refused_by.size() >= kMaxRefusals ||
        this->now + choice->expected_wait > soft_deadline) {
      return;
    }
    run.target = std::stoi(choice->member);
    run.expected = estimate.mean;
    Counts& counted = this->counts.at(run.kind);
    ++counted.sent;
    counted.far += run.target % 2 != run.sender % 2 ? 1 : 0;
    Target& target = this->targets.at(run.target);
    const double slowness = target.speed.Slowness(this->now);
    // The baseline knows the mean work of a route at each target.
    const Duration work = this->is_by_cost()
                              ? Scale(estimate.mean, slowness)
                              : Scale(kind.work, target.slowness);
    sender.selector.RecordSent(choice->member, estimate.mean);
    const std::uint64_t ticket = ++this->last_ticket;
    this->runs.emplace(ticket, run);
    const Instant latest_start = soft_deadline - Scale(work, 1.2);
    const SlotDecision decision =
        target.gate.Offer({.ticket = ticket,
                           .rank = 1,
                           .arrived_at = this->now,
                           .latest_start = latest_start,
                           .expected_work = work,
                           .work_spread = Scale(estimate.spread, slowness)},
                          this->now);
    if (decision == SlotDecision::kRun) {
      this->Start(ticket);
    } else if (decision == SlotDecision::kRefuse) {
      sender.selector.RecordRefusal(
          choice->member, target.gate.ExpectedWait(1, latest_start, this->now),
          this->now);
      this->SendElsewhere(ticket);
    }
  }

  void SendElsewhere(std::uint64_t ticket) {
    Run run = this->runs.extract(ticket).mapped();
    const std::string member = std::to_string(run.target);
    this->senders.at(run.sender).selector.RecordDone(member);
    run.refused_by.insert(member);
    this->Send(run);
  }

  void Start(std::uint64_t ticket) {
    Run& run = this->runs.at(ticket);
    run.started_at = this->now;
    const double noise = 0.5 + this->Uniform();
    const double slowness = this->targets.at(run.target).slowness;
    this->ends.emplace(
        this->now + Scale(kKinds.at(run.kind).work, noise * slowness), ticket);
  }

  void Finish(std::uint64_t ticket) {
    const Run run = this->runs.extract(ticket).mapped();
    const Kind& kind = kKinds.at(run.kind);
    Target& target = this->targets.at(run.target);
    Sender& sender = this->senders.at(run.sender);
    const Duration work = this->now - run.started_at;
    target.gate.Finish(ticket, work, true);
    target.speed.Record(work, run.expected, this->now);
    const std::string member = std::to_string(run.target);
    sender.selector.RecordDone(member);
    sender.selector.RecordRun(member);
    sender.model.Record(
        {.service = "s", .route = kind.route},
        Scale(work, 1 / sender.selector.RelativeSlownessOf(member)));
    if (run.sender == run.target) {
      this->Report(run.sender, run.target);
    }
    Counts& counted = this->counts.at(run.kind);
    ++counted.served;
    counted.in_time +=
        this->now - run.arrived_at <= kind.latency_target ? 1 : 0;
    counted.sum_ms += Milliseconds(this->now - run.arrived_at);
    const DispatchResult dispatched = target.gate.Dispatch(this->now);
    for (const std::uint64_t started : dispatched.run) {
      this->Start(started);
    }
    for (const std::uint64_t refused : dispatched.refuse) {
      this->SendElsewhere(refused);
    }
  }

  Policy policy;
  double utilization;
  double capacity = 0;
  Instant now = kStart;
  std::mt19937_64 generator{1};
  RandomSource random = [this] { return this->generator(); };
  std::array<Target, kTargets> targets;
  std::array<Sender, kSenders> senders;
  std::map<std::uint64_t, Run> runs;
  std::multimap<Instant, std::uint64_t> ends;
  std::uint64_t last_ticket = 0;
  std::array<Counts, kKinds.size()> counts;
};

}  // namespace

TEST_CASE("The work of a request is learned from runs",
          "[core][routing][cost]") {
  WorkModel model;
  const WorkFeatures lookup{.service = "s", .route = "lookup", .payer = "a"};
  const auto learn = [&](const WorkFeatures& features, int work_ms, int runs) {
    for (int i = 0; i < runs; ++i) {
      model.Record(features, milliseconds(work_ms));
    }
  };
  const auto expected_ms = [&](const WorkFeatures& features) {
    return Milliseconds(model.Expect(features).mean);
  };
  CHECK(expected_ms(lookup) == 0);
  learn(lookup, 15, 30);
  learn({.service = "s", .route = "entry"}, 320, 30);

  SECTION("by route") {
    CHECK(expected_ms(lookup) == Approx(15));
    CHECK(expected_ms({.service = "s", .route = "entry"}) == Approx(320));
  }
  SECTION("an unknown route has the mean work of its service") {
    CHECK(expected_ms({.service = "s", .route = "new"}) > 100);
    CHECK(expected_ms({.service = "other", .route = "new"}) == 0);
  }
  SECTION("a client account counts where its requests differ") {
    const WorkFeatures large{.service = "s", .route = "lookup", .payer = "b"};
    learn(large, 60, 30);
    CHECK(expected_ms(large) == Approx(60));
    CHECK(expected_ms(lookup) == Approx(15));
  }
  SECTION("and so does the size of the body") {
    const WorkFeatures upload{
        .service = "s", .route = "lookup", .payer = "a", .body_bytes = 100'000};
    learn(upload, 90, 30);
    CHECK(expected_ms(upload) == Approx(90));
  }
  SECTION("a change is learned within a few runs") {
    learn(lookup, 150, 10);
    CHECK(expected_ms(lookup) == Approx(150).epsilon(0.1));
  }
  SECTION("the state is bounded") {
    for (int i = 0; i < 20'000; ++i) {
      const std::string name = std::to_string(i);
      learn({.service = "s", .route = name, .payer = name}, 15, 1);
    }
    CHECK(model.average_count() <= 2 * WorkModel::kMaxAverages);
  }
}

TEST_CASE("The speed of a target is learned apart from its requests",
          "[core][routing][cost]") {
  TargetSpeed speed;
  CHECK(speed.Slowness(kStart) == 1);
  for (int i = 0; i < 200; ++i) {
    const auto work = milliseconds(i % 5 == 0 ? 320 : 15);
    speed.Record(work * 2, work, kStart);
  }
  CHECK(speed.Slowness(kStart) == Approx(2).epsilon(0.05));

  SECTION("a new start of the target has none") {
    speed.Reset();
    CHECK(speed.Slowness(kStart) == 1);
  }
  SECTION("without runs it fades, so that the target is tried again") {
    CHECK(speed.Slowness(kStart + std::chrono::seconds(30)) < 1.1);
  }
}

// Guards against expectations that drift away together with the speeds that
// are measured against them, where most targets of a service are idle.
TEST_CASE("A wrong scale of work and speed heals", "[core][routing][cost]") {
  constexpr int kTargets = 10;
  constexpr milliseconds kWork{300};
  const WorkFeatures features{.service = "s", .route = "r"};
  TargetSelector selector;
  WorkModel model;
  TargetSpeed speed;
  Instant now = kStart;
  for (int i = 0; i < kTargets; ++i) {
    const std::string member = std::to_string(i);
    selector.Put(member, {.instance = member, .service = "s"}, now);
    selector.RecordLoad(member, {.slowness = 1}, now);
  }
  model.Record(features, kWork * 12);
  for (int run = 0; run < 400; ++run) {
    now += milliseconds(20);
    speed.Record(kWork, model.Expect(features).mean, now);
    selector.RecordLoad("0", {.slowness = speed.Slowness(now)}, now);
    selector.RecordRun("0");
    model.Record(features, Scale(kWork, 1 / selector.RelativeSlownessOf("0")));
  }
  CHECK(model.Expect(features).mean < kWork * 1.2);
  CHECK(model.Expect(features).mean > kWork * 0.8);
  CHECK(speed.Slowness(now) == Approx(1).epsilon(0.2));
}

TEST_CASE("Running requests have work left by their age",
          "[core][overload][cost]") {
  OutstandingWork work;
  work.Start(1, milliseconds(320), milliseconds(32), kStart);
  work.Start(2, milliseconds(15), milliseconds(3), kStart);
  const auto remaining_ms = [&](int age_ms) {
    return Milliseconds(work.Remaining(kStart + milliseconds(age_ms)));
  };
  CHECK(remaining_ms(0) == Approx(335));
  CHECK(remaining_ms(10) == Approx(315));

  SECTION("more the longer they exceed what was expected") {
    work.End(2);
    CHECK(remaining_ms(310) == Approx(32));
    CHECK(remaining_ms(3200) == Approx(320));
  }
  SECTION("and none once they have ended") {
    work.End(1);
    work.End(2);
    work.End(2);
    CHECK(remaining_ms(0) == 0);
  }
}

// Entries hold most slots of a target, and lookups pass in between. The mean
// over all requests says little about either.
TEST_CASE("A gate expects waits by the work ahead", "[core][overload][cost]") {
  SlotGate counting;
  SlotGate weighing;
  weighing.WeighByWork();
  const auto offer = [](SlotGate& gate, std::uint64_t ticket, int work_ms,
                        int latest_start_ms) {
    return gate.Offer({.ticket = ticket,
                       .rank = 1,
                       .arrived_at = kStart,
                       .latest_start = kStart + milliseconds(latest_start_ms),
                       .expected_work = milliseconds(work_ms)},
                      kStart);
  };
  for (SlotGate* gate : {&counting, &weighing}) {
    gate->Resize({.slots = 4});
    for (std::uint64_t ticket = 100; ticket < 200; ++ticket) {
      offer(*gate, ticket, 15, 1000);
      gate->Finish(ticket, milliseconds(15), true);
    }
    for (std::uint64_t ticket = 1; ticket <= 8; ++ticket) {
      offer(*gate, ticket, 320, 2000);
    }
    REQUIRE(gate->waiting() == 4);
  }

  SECTION("eight entries on four slots keep the next one for longer than one") {
    const Instant late = kStart + std::chrono::seconds(10);
    CHECK(weighing.ExpectedWait(1, late, kStart) >= milliseconds(320));
    CHECK(counting.ExpectedWait(1, late, kStart) < milliseconds(40));

    SECTION("so that a request without that time is refused at once") {
      CHECK(offer(weighing, 9, 15, 50) == SlotDecision::kRefuse);
      CHECK(offer(counting, 9, 15, 50) == SlotDecision::kWait);
    }
  }
  SECTION("a lookup that is urgent goes before entries that can wait") {
    REQUIRE(offer(weighing, 9, 15, 200) == SlotDecision::kWait);
    weighing.Finish(1, milliseconds(320), true);
    CHECK(weighing.Dispatch(kStart).run == std::vector<std::uint64_t>{9});
  }
}

TEST_CASE("A request goes where its caller notices the difference",
          "[core][routing][cost]") {
  TargetSelector selector;
  RandomSource random = [generator = std::mt19937_64(1)]() mutable {
    return generator();
  };
  const auto put = [&](const std::string& member, Distance distance,
                       const TargetLoad& load) {
    selector.Put(
        member,
        {.instance = member, .service = "s", .distance = distance, .slots = 10},
        kStart);
    selector.RecordLoad(member, load, kStart);
  };
  const auto share_of = [&](const std::string& member, int latency_target_ms) {
    int chosen = 0;
    for (int i = 0; i < 1000; ++i) {
      const auto choice = selector.Choose(
          "s", {}, kStart, random,
          {.demand = RequestDemand{
               .work = milliseconds(100),
               .latency_target = milliseconds(latency_target_ms)}});
      chosen += choice->member == member ? 1 : 0;
    }
    return chosen / 1000.0;
  };
  put("far", Distance::kOtherDataCentre, {.running = 2, .slowness = 1});

  SECTION("to another data centre only for a wait that counts") {
    put("near", Distance::kSameDataCentre,
        {.running = 10,
         .remaining_work = milliseconds(500),
         .first_wait = milliseconds(30),
         .last_wait = milliseconds(30),
         .slowness = 1});
    CHECK(share_of("near", 1500) > 0.95);
    CHECK(share_of("far", 250) > 0.95);
  }
  SECTION("to a faster target only where speed counts") {
    put("near", Distance::kSameDataCentre, {.running = 2, .slowness = 2});
    CHECK(share_of("near", 4000) > 0.95);
    CHECK(share_of("far", 250) > 0.95);
  }
  SECTION("and requests count where a target's daemon does not weigh them") {
    put("near", Distance::kSameDataCentre,
        {.running = 10, .waiting = 90, .mean_work = milliseconds(100)});
    CHECK(share_of("far", 1500) > 0.95);
  }
}

// Lookups of 15 ms beside entries of 320 ms, on targets whose speeds differ 3:1
// and whose loads are known a second late.
TEST_CASE("Requests are served in time where they are weighed by their work",
          "[core][routing][cost][load]") {
  const auto play = [](Policy policy, double utilization) {
    return Fleet(policy, utilization).Play();
  };

  SECTION("with room, hardly any goes to another data centre") {
    const Result mean_work = play(Policy::kMeanWork, 0.5);
    const Result chosen = play(Policy::kLeastExpectedWork, 0.5);
    CHECK(chosen.lookups_in_time > 0.99);
    CHECK(chosen.entries_in_time > 0.99);
    CHECK(chosen.sent_far < mean_work.sent_far / 4);
  }
  SECTION("at full use, lookups are not late behind entries") {
    const Result mean_work = play(Policy::kMeanWork, 1.0);
    const Result chosen = play(Policy::kLeastExpectedWork, 1.0);
    CHECK(chosen.lookups_in_time > mean_work.lookups_in_time + 0.05);
    CHECK(chosen.entries_in_time > 0.95);
    CHECK(chosen.sent_far < mean_work.sent_far);
  }
  SECTION("beyond it, neither kind starves") {
    const Result mean_work = play(Policy::kMeanWork, 1.2);
    const Result chosen = play(Policy::kLeastExpectedWork, 1.2);
    CHECK(chosen.lookups_in_time > 2 * mean_work.lookups_in_time);
    CHECK(std::min(chosen.lookups_in_time, chosen.entries_in_time) > 0.5);
  }
  SECTION("the better of two random targets serves as well from further away") {
    const Result two = play(Policy::kTwoRandomTargets, 0.8);
    const Result chosen = play(Policy::kLeastExpectedWork, 0.8);
    CHECK(chosen.lookups_in_time > two.lookups_in_time - 0.01);
    CHECK(chosen.entries_in_time > two.entries_in_time - 0.01);
    CHECK(chosen.sent_far < two.sent_far / 2);
  }
  SECTION("fixed subsets of the targets serve worse") {
    const Result subset = play(Policy::kSubsetOfTargets, 0.8);
    const Result chosen = play(Policy::kLeastExpectedWork, 0.8);
    CHECK(chosen.entry_ms < subset.entry_ms);
    CHECK(chosen.sent_far < subset.sent_far / 2);
  }
}
