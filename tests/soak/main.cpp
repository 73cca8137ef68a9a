// Plays seeded faults on a fleet of real daemons and checks the promises.
#include <signal.h>
#include <tclap/CmdLine.h>
#include <unistd.h>

#include <atomic>
#include <deque>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <random>
#include <sstream>
#include <thread>

#include "soak/fleet.h"
#include "soak/http_call.h"

namespace {
using namespace lycheewell::soak;
using std::chrono::milliseconds;

struct RunOptions {
  std::uint64_t seed = 1;
  milliseconds length{8'000};
  int vms = 5;
  int clients = 8;
  int first_port = 24'000;
  std::string logs;
  std::string daemon = FleetOptions().daemon;
};

constexpr milliseconds kReadyLimit{10'000};
// From the last fault's end until the fleet must serve again.
constexpr milliseconds kRecovery{8'000};
constexpr milliseconds kMeasured{1'500};
constexpr double kMinServedAfterwards = 0.8;
constexpr milliseconds kPause{5};

// Sends requests one after another, on connections that it keeps.
void SendRequests(const RunOptions& options, int number, Fleet& fleet,
                  Observations& observations, const std::atomic<bool>& runs) {
  std::mt19937_64 random(options.seed * 1'000 +
                         static_cast<std::uint64_t>(number));
  std::deque<HttpConnection> connections;
  for (int vm = 0; vm < fleet.vms(); ++vm) {
    connections.emplace_back(fleet.clients_port(vm));
  }
  std::vector<std::string> keys = fleet.keys();
  for (int i = 0; runs; ++i) {
    if (random() % 50 == 0) {
      // Some clients learn late that their key was withdrawn.
      keys = random() % 2 == 0 ? fleet.keys() : keys;
    }
    Request request;
    request.id = "s" + std::to_string(options.seed) + "-c" +
                 std::to_string(number) + "-" + std::to_string(i);
    request.key = keys.at(random() % keys.size());
    request.account = "club-" + request.key.substr(1, 1);
    request.is_idempotent = random() % 2 == 0;
    request.vm =
        static_cast<int>(random() % static_cast<std::uint64_t>(fleet.vms()));
    request.sent_at = Clock::now();
    const HttpAnswer answer =
        connections.at(static_cast<std::size_t>(request.vm))
            .Send({.method = request.is_idempotent ? "GET" : "POST",
                   .target = request.is_idempotent ? "/look/1" : "/pay/1",
                   .id = request.id,
                   .key = request.key,
                   .limit = milliseconds(1'000 + random() % 2'500)});
    request.ended_at = Clock::now();
    request.status = answer.status;
    request.answered_id = answer.body;
    observations.AddRequest(request);
    std::this_thread::sleep_for(answer.status == 200 ? kPause : 4 * kPause);
  }
}

// Spans of planned stops that no other fault overlaps.
void RecordPlannedStops(const std::vector<Fault>& faults,
                        Clock::time_point begin, Observations& observations) {
  constexpr milliseconds kStop{7'000};
  constexpr milliseconds kMargin{5'000};
  for (const Fault& stop : faults) {
    if (stop.kind != FaultKind::kPlannedStop) {
      continue;
    }
    const bool is_alone =
        std::none_of(faults.begin(), faults.end(), [&](const Fault& other) {
          const bool is_planned = other.kind == FaultKind::kPlannedStop ||
                                  other.kind == FaultKind::kNewManifest ||
                                  other.kind == FaultKind::kWithdrawKey;
          return !is_planned && other.at < stop.at + kStop &&
                 other.at + other.length + kMargin > stop.at;
        });
    if (is_alone) {
      observations.AddPlannedStop(
          stop.vm, {.begin = begin + stop.at, .end = begin + stop.at + kStop});
    }
  }
}

// Returns the broken promises; none if the run is clean.
std::vector<std::string> Run(const RunOptions& options) {
  Observations observations;
  std::vector<std::string> broken;
  const std::vector<Fault> faults = MakeSchedule(
      {.seed = options.seed, .length = options.length, .vms = options.vms});
  Fleet fleet({.first_port = options.first_port,
               .vms = options.vms,
               .folder = options.logs,
               .has_cold_rate = std::any_of(faults.begin(), faults.end(),
                                            [](const Fault& fault) {
                                              return fault.kind ==
                                                     FaultKind::kColdTarget;
                                            }),
               .daemon = options.daemon},
              observations);
  if (!fleet.AwaitReady(kReadyLimit)) {
    return {"the daemons were not ready in time"};
  }
  std::this_thread::sleep_for(milliseconds(1'000));
  std::atomic<bool> runs = true;
  std::vector<std::thread> clients;
  clients.reserve(static_cast<std::size_t>(options.clients));
  for (int i = 0; i < options.clients; ++i) {
    clients.emplace_back(
        [&, i] { SendRequests(options, i, fleet, observations, runs); });
  }
  const auto begin = Clock::now();
  RecordPlannedStops(faults, begin, observations);
  std::vector<std::thread> players;
  players.reserve(faults.size());
  for (const Fault& fault : faults) {
    std::this_thread::sleep_until(begin + fault.at);
    players.emplace_back([&fleet, fault] { fleet.Play(fault); });
  }
  for (std::thread& player : players) {
    player.join();
  }
  std::this_thread::sleep_for(kRecovery);
  const Span measured{.begin = Clock::now(), .end = Clock::now() + kMeasured};
  std::this_thread::sleep_for(kMeasured);
  runs = false;
  for (std::thread& client : clients) {
    client.join();
  }
  broken = observations.BrokenPromises({});
  const double served = observations.ServedFraction(measured, {});
  if (served < kMinServedAfterwards) {
    broken.push_back("only " + std::to_string(served) +
                     " of the requests were served after the last fault");
  }
  for (const std::string& name : fleet.ended_processes()) {
    broken.push_back(name + " ended by itself");
  }
  std::cout << "seed " << options.seed << ": " << observations.request_count()
            << " requests, " << faults.size() << " faults, " << broken.size()
            << " broken promises" << std::endl;
  return broken;
}

int RunSeeds(RunOptions options, std::uint64_t seeds, bool keeps_logs) {
  const std::string folder = options.logs;
  int failed = 0;
  for (std::uint64_t i = 0; i < seeds; ++i) {
    options.logs = folder + "/seed-" + std::to_string(options.seed);
    const std::vector<std::string> broken = Run(options);
    for (const std::string& line : broken) {
      std::cout << "  " << line << "\n";
    }
    if (broken.empty() && !keeps_logs) {
      std::filesystem::remove_all(options.logs);
    } else if (!broken.empty()) {
      ++failed;
      for (const Fault& fault : MakeSchedule({.seed = options.seed,
                                .length = options.length,
                                .vms = options.vms})) {
        std::cout << "  " << Describe(fault) << "\n";
      }
      std::cout << "  logs: " << options.logs << std::endl;
    }
    ++options.seed;
  }
  std::cout << "soak: " << seeds << " seeds, " << failed << " failed"
            << std::endl;
  return failed == 0 ? 0 : 1;
}

}  // namespace

int main(int argc, char** argv) {
  signal(SIGPIPE, SIG_IGN);
  try {
    TCLAP::CmdLine line("Plays seeded faults on a fleet of daemons", ' ', "1");
    TCLAP::ValueArg<std::uint64_t> seed("", "seed", "first seed", false, 1,
                                        "NUMBER", line);
    TCLAP::ValueArg<std::uint64_t> seeds("", "seeds", "number of seeds", false,
                                         1, "NUMBER", line);
    TCLAP::ValueArg<int> seconds("", "seconds", "time for faults in each run",
                                 false, 8, "SECONDS", line);
    TCLAP::ValueArg<int> vms("", "vms", "daemons", false, 5, "NUMBER", line);
    TCLAP::ValueArg<int> clients("", "clients", "concurrent clients", false, 8,
                                 "NUMBER", line);
    TCLAP::ValueArg<int> port("", "port", "first port", false, 24'000, "PORT",
                              line);
    TCLAP::ValueArg<std::string> daemon("", "daemon", "program to play", false,
                                        RunOptions().daemon, "PATH", line);
    TCLAP::SwitchArg keep("", "keep", "keep the logs of clean runs", line);
    line.parse(argc, argv);
    const RunOptions options{
        .seed = seed.getValue(),
        .length = std::chrono::seconds(seconds.getValue()),
        .vms = vms.getValue(),
        .clients = clients.getValue(),
        .first_port = port.getValue(),
        .logs = (std::filesystem::temp_directory_path() /
                 ("lycheewell-soak-" + std::to_string(getpid())))
                    .string(),
        .daemon = daemon.getValue()};
    return RunSeeds(options, seeds.getValue(), keep.getValue());
  } catch (const TCLAP::ArgException& error) {
    std::cerr << error.error() << " for " << error.argId() << "\n";
    return 2;
  }
}
