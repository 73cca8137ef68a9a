// Daemons as separate processes with stand-ins around them, and the faults that
// are put on them from outside.
#ifndef LYCHEEWELL_TESTS_SOAK_FLEET_H_
#define LYCHEEWELL_TESTS_SOAK_FLEET_H_

#include <atomic>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "harness/process.h"
#include "harness/store.h"
#include "soak/promises.h"
#include "soak/proxy.h"
#include "soak/schedule.h"
#include "soak/target.h"

namespace lycheewell::soak {

struct FleetOptions {
  int first_port = 24'000;
  int vms = 5;
  std::string folder;          // settings and logs
  bool has_cold_rate = false;  // stated in the manifest
  std::string daemon = std::string(LYCHEEWELL_BIN_DIR) + "/lycheewelld";
};

class Fleet {
 public:
  Fleet(const FleetOptions& options, Observations& observations);
  ~Fleet();
  Fleet(const Fleet&) = delete;
  Fleet& operator=(const Fleet&) = delete;

  // Commands.

  // Returns whether all daemons are ready within `limit`.
  bool AwaitReady(std::chrono::milliseconds limit);
  // Puts the fault on the fleet and returns once it has been taken away.
  void Play(const Fault& fault);
  void StopAnnouncements() { this->announces = false; }

  // Queries.

  int clients_port(int vm) const { return this->BasePort(vm); }
  int vms() const { return this->options.vms; }
  // Keys that are in force at the moment.
  std::vector<std::string> keys();
  // Names of processes that ended by themselves.
  std::vector<std::string> ended_processes();

 private:
  struct Vm {
    std::unique_ptr<Target> target;
    std::unique_ptr<Proxy> links;  // to the daemon's links port
    std::unique_ptr<Proxy> store;  // from the daemon to the store
    std::unique_ptr<harness::Process> process;
    std::mutex mutex;  // guards `process` and the members below
    std::string instance;
    std::int64_t born_ms = 0;
    int starts = 0;
    std::uint64_t sequence = 0;
    bool is_leaving = false;
    bool is_silent = false;
    // Since when its daemon knows that it is cold.
    std::optional<Clock::time_point> cold_since;
    bool is_stopped_on_purpose = false;
    bool has_ended = false;  // by itself
  };

  int BasePort(int vm) const {
    return this->options.first_port + 20 * (vm + 1);
  }
  void StartDaemon(int vm);
  void NewInstance(Vm& vm, int number);
  // Announces the target to its daemon; returns whether that was acknowledged.
  bool Announce(int vm, const std::string& state);
  void AnnounceAll();
  void PutManifest(const std::string& withdrawn_key);
  void PlayOnDaemon(const Fault& fault);
  void PlayOnLinks(const Fault& fault);
  void PlayOnStore(const Fault& fault);
  void PlayOnTarget(const Fault& fault);
  void LimitTarget(const Fault& fault);
  void Evacuate(const Fault& fault);
  void CoolTarget(const Fault& fault);
  void PlayOnManifest(const Fault& fault);

  FleetOptions options;
  Observations& observations;
  harness::Store store;
  boost::asio::io_context proxy_context;
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type>
      proxy_work;
  std::vector<std::unique_ptr<Vm>> fleet;
  std::thread proxy_thread;
  std::thread announcer;
  std::atomic<bool> announces = true;
  std::atomic<bool> runs = true;
  std::mutex manifest_mutex;
  int manifest_version = 0;
  std::vector<std::string> live_keys;
};

}  // namespace lycheewell::soak

#endif  // LYCHEEWELL_TESTS_SOAK_FLEET_H_
