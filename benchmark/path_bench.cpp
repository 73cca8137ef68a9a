// The request path on real processes: latency added by one daemon and by two
// over the direct call, requests a second for each core, memory. With --slopes:
// processor time, memory and messages of a daemon in fleets of 8, 32 and 96
// (--slopes 32: only that one).
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <cstdio>
#include <cstring>
#include <fstream>
#include <sstream>
#include <thread>
#include <vector>

#include "harness/caller.h"
#include "harness/fleet.h"

namespace {

using namespace lycheewell::harness;  // NOLINT
using Clock = std::chrono::steady_clock;

double Microseconds(Clock::duration time) {
  return std::chrono::duration<double, std::micro>(time).count();
}

// Seconds of processor time that a process has used.
double ProcessorSeconds(pid_t id) {
  std::ifstream file("/proc/" + std::to_string(id) + "/stat");
  std::string text((std::istreambuf_iterator<char>(file)), {});
  std::istringstream fields(text.substr(text.rfind(')') + 2));
  std::string skipped;
  constexpr int kFieldsBefore = 11;
  for (int field = 0; field < kFieldsBefore; ++field) {
    fields >> skipped;
  }
  double user = 0;
  double system = 0;
  fields >> user >> system;
  return (user + system) / static_cast<double>(sysconf(_SC_CLK_TCK));
}

double ResidentMegabytes(pid_t id) {
  std::ifstream file("/proc/" + std::to_string(id) + "/status");
  std::string word;
  while (file >> word) {
    if (word == "VmRSS:") {
      double kilobytes = 0;
      file >> kilobytes;
      return kilobytes / 1024;
    }
  }
  return 0;
}

struct Path {
  const char* name;
  std::string address;
  std::vector<double> latencies;  // microseconds
};

double Quantile(std::vector<double>& values, double part) {
  std::sort(values.begin(), values.end());
  return values[static_cast<std::size_t>(
      part * static_cast<double>(values.size() - 1))];
}

void MeasureLatency(std::vector<Path>& paths, const CallerRequest& request) {
  constexpr int kRounds = 20;
  constexpr int kCalls = 250;
  for (int round = 0; round < kRounds; ++round) {
    for (Path& path : paths) {
      Caller caller(path.address);
      caller.Send(request);
      for (int call = 0; call < kCalls; ++call) {
        const auto started = Clock::now();
        const CallerAnswer answer = caller.Send(request);
        if (answer.status != 200) {
          std::printf("%s: status %d %s\n", path.name, answer.status,
                      answer.body.c_str());
        }
        path.latencies.push_back(Microseconds(Clock::now() - started));
      }
    }
  }
  const double direct_p50 = Quantile(paths[0].latencies, 0.5);
  const double direct_p99 = Quantile(paths[0].latencies, 0.99);
  for (Path& path : paths) {
    const double p50 = Quantile(path.latencies, 0.5);
    const double p99 = Quantile(path.latencies, 0.99);
    std::printf(
        "%-12s p50 %7.0f us (added %5.0f, ratio %.2f)  p99 %7.0f us "
        "(added %5.0f, ratio %.2f)\n",
        path.name, p50, p50 - direct_p50, p50 / direct_p50, p99,
        p99 - direct_p99, p99 / direct_p99);
  }
}

void MeasureThroughput(const Node& entry, const Node& beside,
                       const CallerRequest& request) {
  constexpr int kCallers = 8;
  constexpr auto kTime = std::chrono::seconds(5);
  const double idle_entry = ResidentMegabytes(entry.daemon->pid());
  const double idle_beside = ResidentMegabytes(beside.daemon->pid());
  const double entry_before = ProcessorSeconds(entry.daemon->pid());
  const double beside_before = ProcessorSeconds(beside.daemon->pid());
  std::atomic<int> served = 0;
  std::vector<std::thread> callers;
  callers.reserve(kCallers);
  const auto end = Clock::now() + kTime;
  for (int index = 0; index < kCallers; ++index) {
    callers.emplace_back([&] {
      Caller caller(entry.callers_address);
      while (Clock::now() < end) {
        served += caller.Send(request).status == 200 ? 1 : 0;
      }
    });
  }
  for (std::thread& caller : callers) {
    caller.join();
  }
  const double entry_used =
      ProcessorSeconds(entry.daemon->pid()) - entry_before;
  const double beside_used =
      ProcessorSeconds(beside.daemon->pid()) - beside_before;
  std::printf(
      "two daemons: %.0f requests/s; for each core of processor time "
      "%.0f at the first daemon, %.0f at the target's\n",
      served / 5.0, served / entry_used, served / beside_used);
  std::printf(
      "resident memory: idle %.1f and %.1f MB, after the load %.1f and "
      "%.1f MB\n",
      idle_entry, idle_beside, ResidentMegabytes(entry.daemon->pid()),
      ResidentMegabytes(beside.daemon->pid()));
}

void MeasurePath() {
  Fleet fleet;
  Node& beside = fleet.Add({"one", "echo", 64});
  Node& entry = fleet.Add({"one", "", 0});
  fleet.WaitUntilSettled();
  const std::string key = fleet.AddAccount(entry, "load", 1e6, 1e5);
  fleet.WaitUntilSettled();
  const CallerRequest request{.target = "/echo/x", .key = key};
  std::vector<Path> paths = {{"direct", beside.target_address, {}},
                             {"one daemon", beside.callers_address, {}},
                             {"two daemons", entry.callers_address, {}}};
  MeasureLatency(paths, request);
  MeasureThroughput(entry, beside, request);
}

double PeerMessages(Fleet& fleet, const Node& node) {
  const auto status = fleet.Status(node);
  return status.at("metrics")
      .as_object()
      .at("peer_messages_total")
      .to_number<double>();
}

// Mean of one daemon over `seconds` in a fleet of `size`.
void MeasureSlope(std::size_t size, bool changing) {
  Fleet fleet;
  for (std::size_t index = 0; index < size; ++index) {
    fleet.Add({"c" + std::to_string(index % 3), "", 0});
  }
  fleet.WaitUntilSettled();
  fleet.AddAccount(fleet.node(0), "club", 100, 20);
  std::this_thread::sleep_for(std::chrono::seconds(2));
  constexpr int kSeconds = 8;
  constexpr std::size_t kSampled = 8;
  double processor = 0;
  double messages = 0;
  for (std::size_t index = 0; index < kSampled; ++index) {
    processor -= ProcessorSeconds(fleet.node(index).daemon->pid());
    messages -= PeerMessages(fleet, fleet.node(index));
  }
  double slowest_ms = 0;
  for (int second = 0; second < kSeconds; ++second) {
    const auto started = Clock::now();
    if (changing) {
      fleet.Change(fleet.node(0),
                   {"plan", "account", "club", "--rate",
                    std::to_string(100 + second), "--burst", "20"});
      slowest_ms =
          std::max(slowest_ms, Microseconds(Clock::now() - started) / 1000);
    }
    std::this_thread::sleep_until(started + std::chrono::seconds(1));
  }
  double memory = 0;
  for (std::size_t index = 0; index < kSampled; ++index) {
    processor += ProcessorSeconds(fleet.node(index).daemon->pid());
    messages += PeerMessages(fleet, fleet.node(index));
    memory += ResidentMegabytes(fleet.node(index).daemon->pid());
  }
  std::printf(
      "%3zu daemons, %-8s: %.2f%% of a core, %.1f MB, %.1f messages/s "
      "received",
      size, changing ? "changing" : "idle",
      100 * processor / kSampled / kSeconds, memory / kSampled,
      messages / kSampled / kSeconds);
  if (changing) {
    std::printf(", slowest plan and confirmation in force everywhere %.0f ms",
                slowest_ms);
  }
  std::printf("\n");
  std::fflush(stdout);
}

}  // namespace

int main(int argc, char** argv) {
  if (argc > 1 && std::strcmp(argv[1], "--slopes") == 0) {
    for (const std::size_t size : {8, 32, 96}) {
      if (argc > 2 && std::to_string(size) != argv[2]) {
        continue;
      }
      MeasureSlope(size, false);
      MeasureSlope(size, true);
    }
    return 0;
  }
  MeasurePath();
  return 0;
}
