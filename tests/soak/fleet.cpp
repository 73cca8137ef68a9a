#include "soak/fleet.h"

#include <signal.h>

#include <algorithm>
#include <filesystem>
#include <fstream>

#include "soak/http_call.h"

namespace lycheewell::soak {
namespace {
using harness::LoopbackAddress;
using harness::StoreFault;
using std::chrono::milliseconds;

// Ports of a VM, from its first one on.
enum PortOffset {
  kClients = 0,
  kAnnouncements = 1,
  kReadiness = 2,
  kTarget = 3,
  kLinks = 4,
  kMetrics = 5,
  kLinksProxy = 6,
  kStoreProxy = 7
};

constexpr milliseconds kAnnouncementPeriod{400};
constexpr milliseconds kRestartDelay{300};
constexpr milliseconds kMaxPlannedStop{7'000};
constexpr milliseconds kPollPeriod{20};
// A leaving target serves on for this long after the acknowledgement.
constexpr milliseconds kServeAfterLeaving{2'500};
constexpr int kLinkDelayMs = 150;
constexpr int kNarrowBytesPerSecond = 20'000;
constexpr int kKeys = 6;
constexpr int kLimitPerSecond = 3;
constexpr milliseconds kEvacuationBound{3'000};
constexpr int kDataCentres = 2;
constexpr int kEvacuatedDataCentre = 1;
constexpr int kColdPerSecond = 2;

void Sleep(milliseconds time) { std::this_thread::sleep_for(time); }

std::string AccountOf(const std::string& key) {
  return "club-" + key.substr(1, 1);
}

}  // namespace

Fleet::Fleet(const FleetOptions& new_options, Observations& new_observations)
    : options(new_options),
      observations(new_observations),
      store(this->options.first_port),
      proxy_work(this->proxy_context.get_executor()) {
  for (int i = 0; i < kKeys; ++i) {
    // Two keys an account.
    this->live_keys.push_back("k" + std::to_string(i / 2) + "-" +
                              std::to_string(i % 2));
  }
  this->PutManifest("");
  for (int i = 0; i < this->options.vms; ++i) {
    auto vm = std::make_unique<Vm>();
    vm->target =
        std::make_unique<Target>(this->BasePort(i) + kTarget, observations);
    vm->links = std::make_unique<Proxy>(this->proxy_context,
                                        this->BasePort(i) + kLinksProxy,
                                        this->BasePort(i) + kLinks);
    vm->store = std::make_unique<Proxy>(this->proxy_context,
                                        this->BasePort(i) + kStoreProxy,
                                        this->options.first_port);
    this->NewInstance(*vm, i);
    this->fleet.push_back(std::move(vm));
    this->StartDaemon(i);
  }
  this->proxy_thread = std::thread([this] { this->proxy_context.run(); });
  this->announcer = std::thread([this] { this->AnnounceAll(); });
}

Fleet::~Fleet() {
  this->runs = false;
  this->announcer.join();
  for (const auto& vm : this->fleet) {
    vm->process->Kill();
  }
  this->proxy_context.stop();
  this->proxy_thread.join();
}

void Fleet::NewInstance(Vm& vm, int number) {
  vm.instance =
      "i-" + std::to_string(number) + "-" + std::to_string(++vm.starts);
  vm.born_ms = vm.starts;
  vm.sequence = 0;
  vm.is_leaving = false;
  vm.target->SetInstance(vm.instance);
}

void Fleet::StartDaemon(int number) {
  const std::string name = "vm-" + std::to_string(number);
  const int base = this->BasePort(number);
  std::filesystem::create_directories(this->options.folder);
  const std::string path = this->options.folder + "/" + name + ".json";
  std::ofstream(path)
      << R"({"sidecar":{"name":")" << name << R"(","data_centre":"z)"
      << number % kDataCentres
      << R"(","address":"127.0.0.1","clients_address":")"
      << LoopbackAddress(base + kClients) << R"(","announcements_address":")"
      << LoopbackAddress(base + kAnnouncements) << R"(","readiness_address":")"
      << LoopbackAddress(base + kReadiness) << R"(","target":{"address":")"
      << LoopbackAddress(base + kTarget) << R"(","service":"s"},"links_port":)"
      << base + kLinks << R"(,"advertised_links_port":)" << base + kLinksProxy
      << R"(,"metrics_port":)" << base + kMetrics << R"(,"store":{"address":")"
      << LoopbackAddress(base + kStoreProxy)
      << R"("},"admission":{"patient_calls":true,)"
      << R"("account_turns":true,"fast_entry":true,"returns":true},)"
      << R"("bounds":{"evacuation":")" << kEvacuationBound.count()
      << R"(ms"}}})";
  this->fleet.at(static_cast<std::size_t>(number))->process =
      std::make_unique<harness::Process>(
          std::vector<std::string>{this->options.daemon, "--settings", path},
          this->options.folder + "/" + name + ".log");
}

bool Fleet::AwaitReady(milliseconds limit) {
  const auto end = Clock::now() + limit;
  for (int i = 0; i < this->options.vms; ++i) {
    while (HttpConnection(this->BasePort(i) + kReadiness)
               .Send({.target = "/v1/readiness", .id = "ready"})
               .status != 200) {
      if (Clock::now() > end) {
        return false;
      }
      Sleep(kPollPeriod);
    }
  }
  return true;
}

bool Fleet::Announce(int number, const std::string& state) {
  Vm& vm = *this->fleet.at(static_cast<std::size_t>(number));
  std::string body;
  std::string path;
  const milliseconds cold_left = vm.target->cold_left();
  {
    const std::lock_guard lock(vm.mutex);
    path = "/v1/instances/" + vm.instance + "/heartbeat";
    body = R"({"born":)" + std::to_string(vm.born_ms) +
           R"(,"address":"127.0.0.1:1","info":{"service":"s","version":"v1",)"
           R"("zone":"z","slots":8},"status":{"state":")" +
           state + R"(","seq":)" + std::to_string(++vm.sequence) +
           R"(,"cold_time":")" + std::to_string(cold_left.count()) + R"(ms"}})";
  }
  const bool is_acknowledged =
      HttpConnection(this->BasePort(number) + kAnnouncements)
          .Send({.method = "POST", .target = path, .id = "beat", .body = body})
          .status == 200;
  const std::lock_guard lock(vm.mutex);
  if (is_acknowledged && cold_left > milliseconds(0) && !vm.cold_since) {
    vm.cold_since = Clock::now();
  }
  return is_acknowledged;
}

void Fleet::AnnounceAll() {
  while (this->runs) {
    for (int i = 0; i < this->options.vms; ++i) {
      Vm& vm = *this->fleet.at(static_cast<std::size_t>(i));
      bool announces_now = false;
      std::string state;
      {
        const std::lock_guard lock(vm.mutex);
        announces_now = !vm.is_silent && this->announces;
        state = vm.is_leaving ? "draining" : "ready";
        if (!vm.is_stopped_on_purpose && !vm.process->IsRunning()) {
          vm.has_ended = true;
        }
      }
      if (announces_now) {
        this->Announce(i, state);
      }
    }
    Sleep(kAnnouncementPeriod);
  }
}

std::vector<std::string> Fleet::ended_processes() {
  std::vector<std::string> names;
  for (std::size_t i = 0; i < this->fleet.size(); ++i) {
    const std::lock_guard lock(this->fleet[i]->mutex);
    if (this->fleet[i]->has_ended) {
      names.push_back("vm-" + std::to_string(i));
    }
  }
  return names;
}

std::vector<std::string> Fleet::keys() {
  const std::lock_guard lock(this->manifest_mutex);
  return this->live_keys;
}

void Fleet::PutManifest(const std::string& withdrawn_key) {
  const std::lock_guard lock(this->manifest_mutex);
  std::erase(this->live_keys, withdrawn_key);
  std::string accounts;
  for (int account = 0; account < kKeys / 2; ++account) {
    const std::string name = "club-" + std::to_string(account);
    std::string keys;
    for (const std::string& key : this->live_keys) {
      if (AccountOf(key) == name) {
        keys.append(keys.empty() ? "\"" : ",\"").append(key).append("\"");
      }
    }
    accounts.append(accounts.empty() ? "[\"" : ",[\"")
        .append(name)
        .append("\",[")
        .append(keys)
        .append("],40,40]");
  }
  this->store.PutManifest(
      R"({"version":"r)" + std::to_string(++this->manifest_version) +
      R"(","routes":{"columns":["name","host","pathPrefix","kind","timeout","targetLatency",)"
      R"("priority","attempts","public","service"],"rows":[)"
      R"(["pay","a.example","/pay/","unsafe","3000ms","2000ms",0,2,false,"s"],)"
      R"(["look","a.example","/look/","safe","3000ms","2000ms",2,2,false,"s"]]},)"
      R"("services":{"columns":["name","healthPath","maxConnections","cold","coldPerS"],)"
      R"("rows":[["s","/h",99,"3s",)" +
      std::to_string(this->options.has_cold_rate ? kColdPerSecond : 0) +
      R"(]]},)"
      R"("tenants":{"columns":["name","apiKeys","ratePerS","burst"],"rows":[)" +
      accounts + "]}}");
  if (!withdrawn_key.empty()) {
    this->observations.AddWithdrawnKey(withdrawn_key, Clock::now());
  }
}

void Fleet::Play(const Fault& fault) {
  switch (fault.kind) {
    case FaultKind::kKill:
    case FaultKind::kPlannedStop:
    case FaultKind::kPause:
      this->PlayOnDaemon(fault);
      break;
    case FaultKind::kDelay:
    case FaultKind::kResetLinks:
    case FaultKind::kCutOneWay:
    case FaultKind::kSilence:
    case FaultKind::kNarrow:
      this->PlayOnLinks(fault);
      break;
    case FaultKind::kStoreDown:
    case FaultKind::kStoreSilent:
    case FaultKind::kStoreSlow:
    case FaultKind::kStoreLost:
      this->PlayOnStore(fault);
      break;
    case FaultKind::kWithdrawKey:
    case FaultKind::kNewManifest:
      this->PlayOnManifest(fault);
      break;
    case FaultKind::kDrainTarget:
    case FaultKind::kCrashTarget:
    case FaultKind::kLoseAnswers:
    case FaultKind::kSecondAnswers:
    case FaultKind::kEndlessAnswers:
    case FaultKind::kSilentTarget:
      this->PlayOnTarget(fault);
      break;
    case FaultKind::kLimitedTarget:
      this->LimitTarget(fault);
      break;
    case FaultKind::kEvacuate:
      this->Evacuate(fault);
      break;
    case FaultKind::kColdTarget:
      this->CoolTarget(fault);
      break;
  }
}

void Fleet::PlayOnDaemon(const Fault& fault) {
  Vm& vm = *this->fleet.at(static_cast<std::size_t>(fault.vm));
  {
    const std::lock_guard lock(vm.mutex);
    if (vm.is_stopped_on_purpose) {
      return;  // another fault has this daemon
    }
    vm.is_stopped_on_purpose = true;
    if (fault.kind == FaultKind::kKill) {
      vm.process->Kill();
    } else {
      vm.process->Signal(fault.kind == FaultKind::kPause ? SIGSTOP : SIGTERM);
    }
  }
  if (fault.kind == FaultKind::kPause) {
    Sleep(fault.length);
    const std::lock_guard lock(vm.mutex);
    vm.process->Signal(SIGCONT);
    vm.is_stopped_on_purpose = false;
    return;
  }
  const auto end = Clock::now() + kMaxPlannedStop;
  const auto is_running = [&] {
    const std::lock_guard lock(vm.mutex);
    return vm.process->IsRunning();
  };
  while (is_running() && Clock::now() < end) {
    Sleep(kPollPeriod);
  }
  Sleep(kRestartDelay);
  const std::lock_guard lock(vm.mutex);
  vm.process->Kill();
  this->StartDaemon(fault.vm);
  vm.is_stopped_on_purpose = false;
}

void Fleet::PlayOnLinks(const Fault& fault) {
  Proxy& links = *this->fleet.at(static_cast<std::size_t>(fault.vm))->links;
  if (fault.kind == FaultKind::kResetLinks) {
    links.ResetAll();
    return;
  }
  if (fault.kind == FaultKind::kDelay) {
    links.SetDelay(kLinkDelayMs);
  } else if (fault.kind == FaultKind::kNarrow) {
    links.SetBytesPerSecond(kNarrowBytesPerSecond);
  } else {
    links.Hold(fault.kind == FaultKind::kSilence, true);
  }
  Sleep(fault.length);
  links.SetDelay(0);
  links.SetBytesPerSecond(0);
  links.Hold(false, false);
}

void Fleet::PlayOnStore(const Fault& fault) {
  switch (fault.kind) {
    case FaultKind::kStoreSilent:
      this->store.fault = StoreFault::kSilent;
      break;
    case FaultKind::kStoreSlow:
      this->store.fault = StoreFault::kSlow;
      break;
    case FaultKind::kStoreLost:
      this->store.fault = StoreFault::kLostAnswers;
      break;
    default:
      this->store.fault = StoreFault::kDown;
      break;
  }
  Sleep(fault.length);
  this->store.fault = StoreFault::kNone;
}

void Fleet::PlayOnManifest(const Fault& fault) {
  std::string key;
  if (fault.kind == FaultKind::kWithdrawKey) {
    const std::lock_guard lock(this->manifest_mutex);
    // Each account keeps one key.
    const auto found = std::find_if(
        this->live_keys.begin(), this->live_keys.end(),
        [](const std::string& name) { return name.ends_with("-1"); });
    key = found == this->live_keys.end() ? "" : *found;
  }
  this->PutManifest(key);
}

void Fleet::LimitTarget(const Fault& fault) {
  Vm& vm = *this->fleet.at(static_cast<std::size_t>(fault.vm));
  Limit limit{.vm = fault.vm, .per_second = kLimitPerSecond};
  {
    const std::lock_guard lock(vm.mutex);
    limit.instance = vm.instance;
  }
  vm.target->SetLimit(kLimitPerSecond);
  Sleep(fault.length);
  limit.span.end = Clock::now();
  const auto named_at = vm.target->named_at();
  vm.target->SetLimit(0);
  if (named_at) {
    limit.span.begin = *named_at;
    this->observations.AddLimit(limit);
  }
}

void Fleet::Evacuate(const Fault& fault) {
  const std::string name = "z" + std::to_string(kEvacuatedDataCentre);
  this->store.Evacuate(name);
  Evacuation evacuation{.span = {.begin = Clock::now() + kEvacuationBound}};
  Sleep(fault.length);
  evacuation.span.end = Clock::now();
  this->store.TakeBack(name);
  for (int vm = kEvacuatedDataCentre; vm < this->options.vms;
       vm += kDataCentres) {
    evacuation.instances.push_back("i-" + std::to_string(vm) + "-");
  }
  this->observations.AddEvacuation(evacuation);
}

void Fleet::CoolTarget(const Fault& fault) {
  Vm& vm = *this->fleet.at(static_cast<std::size_t>(fault.vm));
  ColdTime cold{.per_second = kColdPerSecond};
  {
    const std::lock_guard lock(vm.mutex);
    cold.instance = vm.instance;
    vm.cold_since.reset();
  }
  cold.span.end = Clock::now() + fault.length;
  vm.target->SetColdUntil(cold.span.end);
  Sleep(fault.length);
  const std::lock_guard lock(vm.mutex);
  if (vm.cold_since) {
    cold.span.begin = *vm.cold_since;
    this->observations.AddColdTime(cold);
  }
}

void Fleet::PlayOnTarget(const Fault& fault) {
  Vm& vm = *this->fleet.at(static_cast<std::size_t>(fault.vm));
  if (fault.kind == FaultKind::kLoseAnswers ||
      fault.kind == FaultKind::kSecondAnswers ||
      fault.kind == FaultKind::kEndlessAnswers) {
    vm.target->SetFault(fault.kind == FaultKind::kLoseAnswers
                            ? TargetFault::kLoseAnswers
                        : fault.kind == FaultKind::kSecondAnswers
                            ? TargetFault::kSecondAnswers
                            : TargetFault::kEndlessAnswers);
    Sleep(fault.length);
    vm.target->SetFault(TargetFault::kNone);
    return;
  }
  if (fault.kind == FaultKind::kSilentTarget) {
    {
      const std::lock_guard lock(vm.mutex);
      vm.is_silent = true;
    }
    Sleep(fault.length);
    const std::lock_guard lock(vm.mutex);
    vm.is_silent = false;
    return;
  }
  std::string instance;
  {
    const std::lock_guard lock(vm.mutex);
    if (vm.is_leaving) {
      return;  // another fault has this target
    }
    vm.is_leaving = true;
    instance = vm.instance;
  }
  if (fault.kind == FaultKind::kDrainTarget) {
    if (this->Announce(fault.vm, "draining")) {
      this->observations.AddLeaving(instance, Clock::now());
    }
    Sleep(kServeAfterLeaving);
  }
  vm.target->DropConnections();
  const std::lock_guard lock(vm.mutex);
  this->NewInstance(vm, fault.vm);
}

}  // namespace lycheewell::soak
