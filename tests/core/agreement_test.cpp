// Tests of applying configuration records: plans, conflicts, share rosters and
// snapshots.
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

ChangeRecord MakeConfirmedChange(const State& state,
                                 const std::string& command_id,
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
  return ApplyRecord(state, state.next_offset, record).outcome;
}

Intent RateIntent(const std::string& account, double rate) {
  return {AccountObject(account), Account{rate, 10}};
}

double RateOf(const State& state, const std::string& account) {
  return std::get<Account>(state.objects.at(AccountObject(account)).value)
      .rate_per_second;
}

TEST_CASE("confirmed plans change the configuration", "[agreement]") {
  State state;
  REQUIRE(Append(state,
                 MakeConfirmedChange(state, "one", {RateIntent("club", 50)})) ==
          ApplyOutcome::kApplied);

  SECTION("a repeated command id is applied once") {
    const ChangeRecord change =
        MakeConfirmedChange(state, "two", {RateIntent("club", 60)});
    CHECK(Append(state, change) == ApplyOutcome::kApplied);
    CHECK(Append(state, change) == ApplyOutcome::kIgnored);
    CHECK(RateOf(state, "club") == 60);
  }

  SECTION("of two conflicting changes, the first in the log is accepted") {
    const ChangeRecord first =
        MakeConfirmedChange(state, "first", {RateIntent("club", 70)});
    const ChangeRecord second =
        MakeConfirmedChange(state, "second", {RateIntent("club", 80)});
    CHECK(Append(state, first) == ApplyOutcome::kApplied);
    const auto result = ApplyRecord(state, state.next_offset, Record(second));
    CHECK(result.outcome == ApplyOutcome::kRejected);
    CHECK(RateOf(state, "club") == 70);

    SECTION("and the rejection describes the accepted change") {
      CHECK(result.detail.find("asha") != std::string::npos);
      CHECK(result.detail.find("because of first") != std::string::npos);
    }
  }

  SECTION("concurrent changes of different objects are both accepted") {
    const ChangeRecord first =
        MakeConfirmedChange(state, "first", {RateIntent("club", 70)});
    const ChangeRecord second =
        MakeConfirmedChange(state, "second", {RateIntent("other", 5)});
    CHECK(Append(state, first) == ApplyOutcome::kApplied);
    CHECK(Append(state, second) == ApplyOutcome::kApplied);
  }

  SECTION(
      "a plan reports a disruption only for changes that can interrupt "
      "traffic") {
    const auto lower = std::get<Plan>(MakePlan(state, {RateIntent("club", 5)}));
    const auto higher =
        std::get<Plan>(MakePlan(state, {RateIntent("club", 500)}));
    const auto same = std::get<Plan>(MakePlan(state, {RateIntent("club", 50)}));
    CHECK_FALSE(lower.entries.at(0).disruption.empty());
    CHECK(higher.entries.at(0).disruption.empty());
    CHECK(same.entries.empty());
  }

  SECTION("a rollback restores changed objects and removes new ones") {
    const Offset before = state.next_offset;
    Append(state, MakeConfirmedChange(state, "two", {RateIntent("club", 60)}));
    Append(state, MakeConfirmedChange(state, "three", {RateIntent("new", 1)}));
    const auto intents = queries::MakeRollbackIntents(state, before);
    REQUIRE(intents);
    CHECK(Append(state, MakeConfirmedChange(state, "undo", *intents)) ==
          ApplyOutcome::kApplied);
    CHECK(RateOf(state, "club") == 50);
    CHECK_FALSE(state.objects.contains(AccountObject("new")));
  }

  SECTION(
      "a key needs an existing account; all problems are reported together") {
    const auto planned = MakePlan(
        state, {{KeyObject("a"), Key{.account = "nobody", .digest = "d"}},
                {KeyObject("b"), std::nullopt}});
    CHECK(std::get<queries::PlanError>(planned).problems.size() == 2);
  }
}

TEST_CASE("unreadable records do not block later records", "[agreement]") {
  State state;
  const std::string bad = GENERATE(
      "", "not json", "[]", "{}", R"({"format":1,"type":"change"})",
      R"({"format":99,"type":"change"})", R"({"format":1,"type":"new-thing"})",
      R"({"format":1,"type":"change","command_id":"c","operator":"o","reason":"r","time_ms":0,"changes":[7]})",
      R"({"format":1,"type":"change","command_id":"c","operator":"o","reason":"r","time_ms":0,"changes":[{"object":"account/a","based_on":0,"value":{"rate":-1,"burst":1}}]})");
  const auto result = ApplyRecord(state, 0, DecodeRecord(bad));
  CHECK(result.outcome == ApplyOutcome::kUnreadable);
  CHECK(state.next_offset == 1);
  CHECK(Append(state,
               MakeConfirmedChange(state, "after", {RateIntent("club", 5)})) ==
        ApplyOutcome::kApplied);
}

TEST_CASE("a snapshot replaces records that are no longer available",
          "[agreement]") {
  State writer;
  Append(writer, MakeConfirmedChange(writer, "one", {RateIntent("club", 50)}));
  const std::string text = EncodeState(writer);
  const SnapshotWritten snapshot{
      .offset = writer.next_offset,
      .content_hash = lycheewell::core::Sha256Hex(text),
      .state = text};
  CHECK(Append(writer, snapshot) == ApplyOutcome::kSnapshotMatches);
  State reader;

  SECTION("a new reader adopts it") {
    CHECK(ApplyRecord(reader, snapshot.offset, Record(snapshot)).outcome ==
          ApplyOutcome::kSnapshotAdopted);
    CHECK(EncodeState(reader) == EncodeState(writer));
  }

  SECTION("a snapshot with a wrong hash is not adopted") {
    SnapshotWritten forged = snapshot;
    forged.state += " ";
    CHECK(ApplyRecord(reader, forged.offset, Record(forged)).outcome ==
          ApplyOutcome::kGap);
    CHECK(reader.next_offset == 0);
  }

  SECTION("a snapshot whose offset differs from its state's is not adopted") {
    SnapshotWritten relabelled = snapshot;
    relabelled.offset = 9;
    CHECK(ApplyRecord(reader, 9, Record(relabelled)).outcome ==
          ApplyOutcome::kGap);
  }

  SECTION(
      "a reader whose state differs reports a mismatch and keeps its state") {
    Append(reader,
           MakeConfirmedChange(reader, "one", {RateIntent("club", 51)}));
    CHECK(Append(reader, snapshot) == ApplyOutcome::kSnapshotMismatch);
    CHECK(RateOf(reader, "club") == 51);
  }
}

TEST_CASE("lookups distinguish withdrawn keys from unknown keys",
          "[agreement]") {
  State state;
  Append(state,
         MakeConfirmedChange(state, "one",
                             {RateIntent("club", 5),
                              {KeyObject("k"), Key{"club", "digest", false}}}));
  Append(state,
         MakeConfirmedChange(state, "two",
                             {{KeyObject("k"), Key{"club", "digest", true}}}));
  const queries::View view(state);
  CHECK(view.FindKey("digest").status == queries::KeyStatus::kWithdrawn);
  CHECK(view.FindKey("other").status == queries::KeyStatus::kUnknown);
}

TEST_CASE("a share is reassigned only when its holder no longer uses it",
          "[agreement]") {
  State state;
  const lycheewell::core::DaemonRef a{"a", 1};
  const lycheewell::core::DaemonRef b{"b", 1};
  Append(state, MakeConfirmedChange(state, "one", {RateIntent("club", 50)}));
  Append(state, MemberJoined{{.daemon = a}});
  Append(state, MemberJoined{{.daemon = b}});
  REQUIRE(Append(state, RosterWritten{"club", 0, {a, a, b}}) ==
          ApplyOutcome::kApplied);
  const RosterWritten reassignment{"club", 1, {b, a, b}};

  SECTION("not while the holder uses it") {
    CHECK(Append(state, reassignment) == ApplyOutcome::kRejected);
  }
  SECTION("after the holder released it") {
    Append(state, ShareReleased{"club", 1, a, 0, 5, 7});
    CHECK(Append(state, reassignment) == ApplyOutcome::kApplied);
    CHECK(state.rosters.at("club").shares.at(0).remaining_micro_tokens == 5);
    CHECK(state.rosters.at("club").shares.at(0).lent_micro_tokens == 7);
  }
  SECTION("after the holder restarted") {
    Append(state, MemberJoined{{.daemon = {"a", 2}}});
    CHECK(Append(state, reassignment) == ApplyOutcome::kApplied);
  }
  SECTION("after the holder was fenced, unless it objected") {
    Append(state, ShareFenced{"club", 1, a});
    SECTION("the holder did not object") {
      CHECK(Append(state, reassignment) == ApplyOutcome::kApplied);
    }
    SECTION("the holder objected") {
      Append(state, FenceObjected{"club", 1, a});
      CHECK(Append(state, reassignment) == ApplyOutcome::kRejected);
    }
  }
  SECTION(
      "not by a record with an outdated epoch or another number of shares") {
    CHECK(Append(state, RosterWritten{"club", 0, {b, b, b}}) ==
          ApplyOutcome::kRejected);
    CHECK(Append(state, RosterWritten{"club", 1, {a, a}}) ==
          ApplyOutcome::kRejected);
  }
}

// Operators write conflicting changes to one log. Readers receive its records
// late, more than once and out of order; some miss the first records and start
// from a snapshot.
void RunAgreementSchedule(std::uint64_t seed) {
  std::mt19937_64 random(seed);
  std::vector<std::string> log;
  State writer;
  for (int step = 0; step < 30; ++step) {
    const State planned_on = writer;
    const std::size_t operator_count = 1 + random() % 3;
    for (std::size_t operator_index = 0; operator_index < operator_count;
         ++operator_index) {
      const std::string command =
          random() % 5 == 0 ? "repeated" : std::to_string(random());
      const std::string account = "a" + std::to_string(random() % 3);
      Record record = MakeConfirmedChange(
          planned_on, command,
          {RateIntent(account, static_cast<double>(1 + random() % 100))});
      if (random() % 10 == 0) {
        const std::string text = EncodeState(writer);
        record = SnapshotWritten{writer.next_offset,
                                 lycheewell::core::Sha256Hex(text), text};
      }
      log.push_back(random() % 20 == 0 ? "garbage" : EncodeRecord(record));
      ApplyRecord(writer, writer.next_offset, DecodeRecord(log.back()));
    }
  }
  for (int reader_index = 0; reader_index < 2; ++reader_index) {
    State reader;
    const std::size_t first_available =
        reader_index == 1 ? random() % log.size() : 0;
    Offset highest = 0;
    for (int delivery = 0; delivery < 400; ++delivery) {
      const Offset near_offset = highest + random() % 4;
      const Offset offset =
          random() % 4 == 0
              ? first_available + random() % (log.size() - first_available)
              : near_offset;
      if (offset < first_available || offset >= log.size()) {
        continue;
      }
      ApplyRecord(reader, offset, DecodeRecord(log[offset]));
      REQUIRE(reader.next_offset >= highest);
      highest = reader.next_offset;
    }
    for (Offset offset = highest; offset < log.size() && highest > 0;
         ++offset) {
      ApplyRecord(reader, offset, DecodeRecord(log[offset]));
    }
    if (reader.next_offset == log.size()) {
      REQUIRE(EncodeState(reader) == EncodeState(writer));
    }
  }
}

TEST_CASE("readers agree on the state and their offsets never decrease",
          "[properties][agreement]") {
  for (const std::uint64_t seed : lycheewell::fakes::Seeds()) {
    INFO("replay with LYCHEEWELL_SEED=" << seed);
    RunAgreementSchedule(seed);
  }
}

}  // namespace
