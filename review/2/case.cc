// In each round, the three machines (one in each zone) that read the manifest
// for the others are cut from the platform's store for some seconds; it serves
// all other machines and the operator. Meanwhile new manifests take keys away,
// the first one at once.
//
// CONFIG: a request sent later than `config` after the confirmation of a
// version is handled as only an older version allows (run with a dropped key),
// by machines in touch.
#include <algorithm>
#include <atomic>
#include <map>
#include <mutex>
#include <set>
#include <string>
#include <thread>
#include <vector>

#include "standins/stage.h"

namespace {

using review::Call;
using review::Deployment;
using review::HasTrouble;
using review::Note;
using review::Now;
using review::Run;
using review::Sent;

constexpr double kConfig = 2;
constexpr double kCut = 9;
constexpr double kBetweenVersions = 2;
constexpr int kVersionsPerRound = 2;
constexpr int kRounds = 4;
constexpr double kBetweenRounds = 6;
constexpr double kPerSecond = 120;
constexpr int kDeadlineMs = 1'500;
constexpr std::size_t kMachines = 9;

std::string KeyOf(int number) { return "key-" + std::to_string(number); }

// Version `number` has the keys from that number on.
std::string Manifest(int number) {
  std::string keys;
  for (int i = number; i <= kRounds * kVersionsPerRound + 1; ++i) {
    keys += (keys.empty() ? "\"" : ",\"") + KeyOf(i) + "\"";
  }
  return R"({"version":"r)" + std::to_string(number) + R"(",
"routes":{"columns":["name","host","pathPrefix","kind","timeout",
"targetLatency","priority","weightedClusters","attempts","public","service"],
"rows":[
["r-view","shop.example","/orders/","safe","1500ms","500ms",1,null,2,false,"orders"]]},
"services":{"columns":["name","healthPath","maxConnections","protocol","tls"],
"rows":[["orders","/health",1000,"h1",false]]},
"limits":{"maxHeaderBytes":16384,"maxBodyBytes":67108864,"headerTimeout":"3000ms","idleTimeout":"15000ms"},
"tenants":{"columns":["name","apiKeys","priority","ratePerS","burst"],
"rows":[["acme",[)" +
         keys + R"(],1,0,0]]}})";
}

struct Keyed {
  Sent sent;
  int key = 0;
  bool was_cut = false;  // the machine, in this round
};

std::mutex sent_mutex;
std::vector<Keyed> all_sent;
std::set<std::size_t> cut_machines;  // in this round
std::atomic<int> current_key = 1;
std::atomic<bool> has_stopped = false;

// Clients that use the key that goes next.
void SendRequests(const Deployment &deployment) {
  const double began = Now();
  for (int i = 0; !has_stopped; ++i) {
    const auto machine = static_cast<std::size_t>(i) % kMachines;
    std::thread([&deployment, machine, i, key = current_key.load()] {
      Call call;
      call.path = "/orders/" + std::to_string(i);
      call.headers["Host"] = "shop.example";
      call.headers["Work-Ms"] = "5";
      Keyed keyed;
      keyed.key = key;
      keyed.sent =
          SendRequest(deployment, machine, call, KeyOf(key), kDeadlineMs);
      const std::lock_guard lock(sent_mutex);
      keyed.was_cut = cut_machines.contains(machine);
      all_sent.push_back(keyed);
    }).detach();
    review::SleepUntil(began + (i + 1) / kPerSecond);
  }
}

}  // namespace

int main() {
  const char *const zones[] = {"zone-a", "zone-b", "zone-c"};
  std::vector<review::MachineSpec> specs;
  for (std::size_t i = 0; i < kMachines; ++i) {
    specs.push_back({zones[i % 3], "orders"});
  }
  Deployment deployment(specs);
  deployment.Start(Manifest(1));
  std::thread clients([&] { SendRequests(deployment); });
  std::map<int, double> confirmed_at;  // the version without the key, by key
  for (int round = 0; round < kRounds; ++round) {
    review::SleepFor(kBetweenRounds);
    // At most one machine in each zone is cut: a third of all.
    std::set<std::size_t> readers;
    std::set<std::string> zones_cut;
    for (const std::size_t machine : deployment.store->Readers(1)) {
      if (zones_cut.insert(specs[machine].zone).second) {
        readers.insert(machine);
      }
    }
    std::string names;
    for (const std::size_t machine : readers) {
      names += " " + deployment.daemons[machine]->machine().name;
    }
    Note("machines that read the manifest from the store:" + names);
    if (readers.empty()) {
      review::Finish(2, "no machine reads the manifest");
    }
    const double began = Now();
    {
      const std::lock_guard lock(sent_mutex);
      cut_machines = readers;
    }
    if (HasTrouble()) {
      Note("they are cut from the store");
      deployment.store->SetCut(readers);
    }
    for (int i = 0; i < kVersionsPerRound; ++i) {
      review::SleepUntil(began + 0.02 + i * kBetweenVersions);
      const int key = current_key;
      deployment.store->PutManifest(Manifest(key + 1));
      confirmed_at[key] = Now();
      Note("a manifest without " + KeyOf(key) + " is confirmed");
      // The clients turn to the next key just before it goes.
      review::SleepUntil(i + 1 < kVersionsPerRound
                             ? began + (i + 1) * kBetweenVersions - 0.2
                             : began + kCut);
      current_key = key + 1;
    }
    review::SleepUntil(began + kCut);
    deployment.store->SetCut({});
    Note("the cut has healed");
  }
  has_stopped = true;
  clients.join();
  review::SleepFor(kDeadlineMs / 1000.0 + 0.5);

  std::set<std::string> has_run;
  for (const Run &run : review::Runs()) {
    has_run.insert(run.request);
  }
  const std::lock_guard lock(sent_mutex);
  int early = 0;
  int late = 0;
  double last = 0;
  std::set<int> keys;
  for (const Keyed &keyed : all_sent) {
    const auto confirmed = confirmed_at.find(keyed.key);
    if (!has_run.contains(keyed.sent.id) || confirmed == confirmed_at.end()) {
      continue;
    }
    const double after = keyed.sent.sent_at - confirmed->second;
    early += after < 0 ? 1 : 0;
    if (after > kConfig && !keyed.was_cut) {
      ++late;
      keys.insert(keyed.key);
      last = std::max(last, after);
    }
  }
  if (early == 0) {
    review::Finish(2, "no request ran before its key was taken away");
  }
  review::Finish(late > 0 ? 1 : 0,
                 std::to_string(late) +
                     " requests were sent later than 2 s after the "
                     "confirmation that their "
                     "key is dropped, and ran, at machines in touch; " +
                     std::to_string(keys.size()) + " of " +
                     std::to_string(confirmed_at.size()) +
                     " keys, the last one " + std::to_string(last) +
                     " s after it");
}
