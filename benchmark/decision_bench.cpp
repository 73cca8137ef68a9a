// Cost of single decisions, and their slopes over the size of the fleet.
#include <benchmark/benchmark.h>

#include <random>

#include "lycheewell/core/attempts/recorder.h"
#include "lycheewell/core/configuration/commands/apply_record.h"
#include "lycheewell/core/configuration/queries/view.h"
#include "lycheewell/core/digest.h"
#include "lycheewell/core/membership/failure_detector.h"
#include "lycheewell/core/rate/account_limiter.h"
#include "lycheewell/core/routing/target_choice.h"

namespace {

using namespace lycheewell::core;  // NOLINT

constexpr Instant kStart{};

configuration::State MakeState(std::int64_t members, std::int64_t accounts) {
  configuration::State state;
  for (std::int64_t index = 0; index < members; ++index) {
    const std::string id = "10.0.0." + std::to_string(index) + ":7400";
    state.members[id] = {.daemon = {id, 1},
                         .data_centre = "c" + std::to_string(index % 39),
                         .service = "s" + std::to_string(index % 1900),
                         .callers_address = id,
                         .operators_address = id};
  }
  for (std::int64_t index = 0; index < accounts; ++index) {
    const std::string name = "a" + std::to_string(index);
    state.objects[configuration::AccountObject(name)] = {
        configuration::Account{100, 20}, {}};
    state.objects[configuration::KeyObject(name)] = {
        configuration::Key{name, Sha256Hex(name), false}, {}};
  }
  return state;
}

void TokenAtHand(benchmark::State& bench) {
  std::mt19937_64 generator(1);
  rate::AccountLimiter limiter(
      {.account = "a", .self = {"d", 1}, .random = [&] { return generator(); }},
      kStart);
  rate::HeartbeatTable heartbeats;
  limiter.Configure({1e9, 1e6}, {.epoch = 1, .shares = {{.holder = {"d", 1}}}},
                    kStart);
  Instant now = kStart;
  for (auto _ : bench) {
    now += std::chrono::microseconds(1);
    heartbeats.RecordLogRead(now);
    benchmark::DoNotOptimize(limiter.TryAdmit(heartbeats, now));
  }
}
BENCHMARK(TokenAtHand);

void KeyLookup(benchmark::State& bench) {
  const configuration::queries::View view(MakeState(10, bench.range(0)));
  const std::string digest = Sha256Hex("a1");
  for (auto _ : bench) {
    benchmark::DoNotOptimize(view.FindKey(digest));
  }
}
BENCHMARK(KeyLookup)->Arg(8)->Arg(1000)->Arg(20000);

void ChooseTargetOf(benchmark::State& bench) {
  std::mt19937_64 generator(1);
  std::vector<routing::ObservedTargetLoad> targets(
      static_cast<std::size_t>(bench.range(0)));
  for (auto _ : bench) {
    benchmark::DoNotOptimize(
        routing::ChooseTarget(targets, [&] { return generator(); }));
  }
}
BENCHMARK(ChooseTargetOf)->Arg(6)->Arg(100);

void DetectorTick(benchmark::State& bench) {
  std::mt19937_64 generator(1);
  membership::FailureDetector detector(
      {.self = {"self", 1}, .random = [&] { return generator(); }});
  std::vector<DaemonRef> members;
  for (std::int64_t index = 0; index < bench.range(0); ++index) {
    members.push_back({"d" + std::to_string(index), 1});
  }
  detector.SetMembers(members);
  Instant now = kStart;
  for (auto _ : bench) {
    now += std::chrono::milliseconds(10);
    for (const auto& order : detector.Tick(now)) {
      detector.RecordAnswer(order.to);
    }
  }
}
BENCHMARK(DetectorTick)->Arg(13)->Arg(1000)->Arg(12000);

// One folded member record and the view that is published after it.
void FoldAndPublish(benchmark::State& bench) {
  configuration::State state = MakeState(bench.range(0), bench.range(0) / 4);
  std::uint64_t incarnation = 2;
  for (auto _ : bench) {
    const configuration::Record record = configuration::MemberJoined{
        {.daemon = {"10.0.0.1:7400", incarnation++}}};
    configuration::commands::ApplyRecord(state, state.next_offset, record);
    benchmark::DoNotOptimize(configuration::queries::View(state));
  }
}
BENCHMARK(FoldAndPublish)
    ->Arg(13)
    ->Arg(1000)
    ->Arg(12000)
    ->Unit(benchmark::kMicrosecond);

// The attempt groups after one member changed.
void RecorderMembers(benchmark::State& bench) {
  configuration::State state = MakeState(bench.range(0), 0);
  attempts::Recorder recorder({"10.0.0.1:7400", 1});
  std::uint64_t incarnation = 2;
  for (auto _ : bench) {
    state.members["10.0.0.2:7400"].daemon.incarnation = incarnation++;
    recorder.ApplyMembers(state, kStart);
  }
}
BENCHMARK(RecorderMembers)
    ->Arg(13)
    ->Arg(1000)
    ->Arg(12000)
    ->Unit(benchmark::kMicrosecond);

// Bytes of the whole state, as a snapshot carries it.
void StateBytes(benchmark::State& bench) {
  const configuration::State state =
      MakeState(bench.range(0), bench.range(0) / 4);
  std::size_t bytes = 0;
  for (auto _ : bench) {
    bytes = configuration::EncodeState(state).size();
  }
  bench.counters["bytes"] = static_cast<double>(bytes);
}
BENCHMARK(StateBytes)
    ->Arg(13)
    ->Arg(1000)
    ->Arg(12000)
    ->Unit(benchmark::kMicrosecond);

}  // namespace

BENCHMARK_MAIN();
