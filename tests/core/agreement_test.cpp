// The configuration fold, plans, conflicts and snapshots.
#include <catch2/catch.hpp>
#include <random>

#include "fakes/seeds.h"
#include "lycheewell/core/configuration/commands/apply_record.h"
#include "lycheewell/core/configuration/queries/plan.h"
#include "lycheewell/core/configuration/queries/shares.h"
#include "lycheewell/core/configuration/queries/view.h"
#include "lycheewell/core/digest.h"

namespace {

using namespace lycheewell::core::configuration;  // NOLINT
using commands::ApplyOutcome;
using commands::ApplyRecord;
using lycheewell::core::Offset;
using queries::Intent;
using queries::MakePlan;
using queries::Plan;

ChangeRecord Confirmed(const State& state, const std::string& command_id,
                       const std::vector<Intent>& intents) {
  ChangeRecord record{.command_id = command_id,
                      .operator_name = "asha",
                      .reason = "because of " + command_id};
  const auto plan = std::get<Plan>(MakePlan(state, intents));
  for (const auto& entry : plan.entries) {
    record.changes.push_back(entry.change);
  }
  return record;
}

ApplyOutcome Append(State& state, const Record& record) {
  return ApplyRecord(state, state.next, record).outcome;
}

Intent Rate(const std::string& account, double rate) {
  return {AccountObject(account), Account{rate, 10}};
}

double RateOf(const State& state, const std::string& account) {
  return std::get<Account>(state.objects.at(AccountObject(account)).value)
      .rate_per_second;
}

TEST_CASE("operators change the configuration", "[agreement]") {
  State state;
  REQUIRE(Append(state, Confirmed(state, "one", {Rate("club", 50)})) ==
          ApplyOutcome::kApplied);

  SECTION("a repeated command is applied once") {
    const ChangeRecord change = Confirmed(state, "two", {Rate("club", 60)});
    CHECK(Append(state, change) == ApplyOutcome::kApplied);
    CHECK(Append(state, change) == ApplyOutcome::kIgnored);
    CHECK(RateOf(state, "club") == 60);
  }

  SECTION("of two that race for one object the first in the log wins") {
    const ChangeRecord first = Confirmed(state, "first", {Rate("club", 70)});
    const ChangeRecord second = Confirmed(state, "second", {Rate("club", 80)});
    CHECK(Append(state, first) == ApplyOutcome::kApplied);
    const auto result = ApplyRecord(state, state.next, Record(second));
    CHECK(result.outcome == ApplyOutcome::kRejected);
    CHECK(RateOf(state, "club") == 70);

    SECTION("and the loser is told of the winner") {
      CHECK(result.detail.find("asha") != std::string::npos);
      CHECK(result.detail.find("because of first") != std::string::npos);
    }
  }

  SECTION("two that change different objects both count") {
    const ChangeRecord first = Confirmed(state, "first", {Rate("club", 70)});
    const ChangeRecord second = Confirmed(state, "second", {Rate("other", 5)});
    CHECK(Append(state, first) == ApplyOutcome::kApplied);
    CHECK(Append(state, second) == ApplyOutcome::kApplied);
  }

  SECTION("a plan names what can interrupt traffic, and nothing else") {
    const auto lower = std::get<Plan>(MakePlan(state, {Rate("club", 5)}));
    const auto higher = std::get<Plan>(MakePlan(state, {Rate("club", 500)}));
    const auto same = std::get<Plan>(MakePlan(state, {Rate("club", 50)}));
    CHECK_FALSE(lower.entries.at(0).disruption.empty());
    CHECK(higher.entries.at(0).disruption.empty());
    CHECK(same.entries.empty());
  }

  SECTION("the way back is a plan too") {
    const Offset before = state.next;
    Append(state, Confirmed(state, "two", {Rate("club", 60)}));
    Append(state, Confirmed(state, "three", {Rate("new", 1)}));
    const auto intents = queries::MakeRollbackIntents(state, before);
    REQUIRE(intents);
    CHECK(Append(state, Confirmed(state, "undo", *intents)) ==
          ApplyOutcome::kApplied);
    CHECK(RateOf(state, "club") == 50);
    CHECK_FALSE(state.objects.contains(AccountObject("new")));
  }

  SECTION("a key needs its account, and all problems are told together") {
    const auto planned = MakePlan(
        state, {{KeyObject("a"), Key{.account = "nobody", .digest = "d"}},
                {KeyObject("b"), std::nullopt}});
    CHECK(std::get<queries::PlanError>(planned).problems.size() == 2);
  }
}

TEST_CASE("records that cannot be read do not stop the fold", "[agreement]") {
  State state;
  const std::string bad = GENERATE(
      "", "not json", "[]", "{}", R"({"format":1,"type":"change"})",
      R"({"format":99,"type":"change"})", R"({"format":1,"type":"new-thing"})",
      R"({"format":1,"type":"change","command_id":"c","operator":"o","reason":"r","time_ms":0,"changes":[7]})",
      R"({"format":1,"type":"change","command_id":"c","operator":"o","reason":"r","time_ms":0,"changes":[{"object":"account/a","based_on":0,"value":{"rate":-1,"burst":1}}]})");
  const auto result = ApplyRecord(state, 0, DecodeRecord(bad));
  CHECK(result.outcome == ApplyOutcome::kUnreadable);
  CHECK(state.next == 1);
  CHECK(Append(state, Confirmed(state, "after", {Rate("club", 5)})) ==
        ApplyOutcome::kApplied);
}

TEST_CASE("a snapshot takes the place of records that are gone",
          "[agreement]") {
  State writer;
  Append(writer, Confirmed(writer, "one", {Rate("club", 50)}));
  const std::string text = EncodeState(writer);
  const SnapshotWritten snapshot{
      .offset = writer.next,
      .content_hash = lycheewell::core::Sha256Hex(text),
      .state = text};
  CHECK(Append(writer, snapshot) == ApplyOutcome::kSnapshotMatches);
  State reader;

  SECTION("a new reader takes it over") {
    CHECK(ApplyRecord(reader, snapshot.offset, Record(snapshot)).outcome ==
          ApplyOutcome::kSnapshotAdopted);
    CHECK(EncodeState(reader) == EncodeState(writer));
  }

  SECTION("not when its hash does not match") {
    SnapshotWritten forged = snapshot;
    forged.state += " ";
    CHECK(ApplyRecord(reader, forged.offset, Record(forged)).outcome ==
          ApplyOutcome::kGap);
    CHECK(reader.next == 0);
  }

  SECTION("not when it is called newer than it is") {
    SnapshotWritten relabelled = snapshot;
    relabelled.offset = 9;
    CHECK(ApplyRecord(reader, 9, Record(relabelled)).outcome ==
          ApplyOutcome::kGap);
  }

  SECTION("a reader whose state differs keeps its own and says so") {
    Append(reader, Confirmed(reader, "one", {Rate("club", 51)}));
    CHECK(Append(reader, snapshot) == ApplyOutcome::kSnapshotMismatch);
    CHECK(RateOf(reader, "club") == 51);
  }
}

TEST_CASE("a withdrawn key is not taken for an unknown one", "[agreement]") {
  State state;
  Append(state, Confirmed(state, "one",
                          {Rate("club", 5),
                           {KeyObject("k"), Key{"club", "digest", false}}}));
  Append(state, Confirmed(state, "two",
                          {{KeyObject("k"), Key{"club", "digest", true}}}));
  const queries::View view(state);
  CHECK(view.FindKey("digest").standing == queries::KeyStanding::kWithdrawn);
  CHECK(view.FindKey("other").standing == queries::KeyStanding::kUnknown);
}

TEST_CASE("a share changes hands only when its holder has let go",
          "[agreement]") {
  State state;
  const lycheewell::core::DaemonRef a{"a", 1};
  const lycheewell::core::DaemonRef b{"b", 1};
  Append(state, Confirmed(state, "one", {Rate("club", 50)}));
  Append(state, MemberJoined{{.daemon = a}});
  Append(state, MemberJoined{{.daemon = b}});
  REQUIRE(Append(state, RosterWritten{"club", 0, {a, a, b}}) ==
          ApplyOutcome::kApplied);
  const RosterWritten taking{"club", 1, {b, a, b}};

  SECTION("not while it uses it") {
    CHECK(Append(state, taking) == ApplyOutcome::kRejected);
  }
  SECTION("after it was released") {
    Append(state, ShareReleased{"club", 1, a, 0, 5, 7});
    CHECK(Append(state, taking) == ApplyOutcome::kApplied);
    CHECK(state.rosters.at("club").shares.at(0).level == 5);
    CHECK(state.rosters.at("club").shares.at(0).lent == 7);
  }
  SECTION("after it restarted") {
    Append(state, MemberJoined{{.daemon = {"a", 2}}});
    CHECK(Append(state, taking) == ApplyOutcome::kApplied);
  }
  SECTION("after it was fenced, unless it objected") {
    Append(state, ShareFenced{"club", 1, a});
    SECTION("it was silent") {
      CHECK(Append(state, taking) == ApplyOutcome::kApplied);
    }
    SECTION("it objected") {
      Append(state, FenceObjected{"club", 1, a});
      CHECK(Append(state, taking) == ApplyOutcome::kRejected);
    }
  }
  SECTION("not by a record made on an older roster, nor of another size") {
    CHECK(Append(state, RosterWritten{"club", 0, {b, b, b}}) ==
          ApplyOutcome::kRejected);
    CHECK(Append(state, RosterWritten{"club", 1, {a, a}}) ==
          ApplyOutcome::kRejected);
  }
}

// One log, written by racing operators; readers get its records late, twice and
// out of order, some lose their beginning and start from a snapshot.
void RunAgreementSchedule(std::uint64_t seed) {
  std::mt19937_64 random(seed);
  std::vector<std::string> log;
  State writer;
  for (int step = 0; step < 30; ++step) {
    const State planned_on = writer;
    const std::size_t racers = 1 + random() % 3;
    for (std::size_t racer = 0; racer < racers; ++racer) {
      const std::string command =
          random() % 5 == 0 ? "repeated" : std::to_string(random());
      const std::string account = "a" + std::to_string(random() % 3);
      Record record =
          Confirmed(planned_on, command,
                    {Rate(account, static_cast<double>(1 + random() % 100))});
      if (random() % 10 == 0) {
        const std::string text = EncodeState(writer);
        record = SnapshotWritten{writer.next, lycheewell::core::Sha256Hex(text),
                                 text};
      }
      log.push_back(random() % 20 == 0 ? "garbage" : EncodeRecord(record));
      ApplyRecord(writer, writer.next, DecodeRecord(log.back()));
    }
  }
  for (int reader_number = 0; reader_number < 2; ++reader_number) {
    State reader;
    const std::size_t lost = reader_number == 1 ? random() % log.size() : 0;
    Offset highest = 0;
    for (int delivery = 0; delivery < 400; ++delivery) {
      const Offset near = highest + random() % 4;
      const Offset offset =
          random() % 4 == 0 ? lost + random() % (log.size() - lost) : near;
      if (offset < lost || offset >= log.size()) {
        continue;
      }
      ApplyRecord(reader, offset, DecodeRecord(log[offset]));
      REQUIRE(reader.next >= highest);
      highest = reader.next;
    }
    for (Offset offset = highest; offset < log.size() && highest > 0;
         ++offset) {
      ApplyRecord(reader, offset, DecodeRecord(log[offset]));
    }
    if (reader.next == log.size()) {
      REQUIRE(EncodeState(reader) == EncodeState(writer));
    }
  }
}

TEST_CASE("all readers agree, and none goes back", "[properties][agreement]") {
  for (const std::uint64_t seed : lycheewell::fakes::Seeds()) {
    INFO("replay with LYCHEEWELL_SEED=" << seed);
    RunAgreementSchedule(seed);
  }
}

}  // namespace
