#include "soak/schedule.h"

#include <algorithm>
#include <array>
#include <random>
#include <string_view>

namespace lycheewell::soak {
namespace {
using std::chrono::milliseconds;

constexpr std::array<std::string_view, kFaultKinds + 3> kNames = {
    "kill",           "planned-stop",   "pause",           "delay",
    "reset-links",    "cut-one-way",    "silence",         "narrow",
    "store-down",     "store-silent",   "store-slow",      "store-lost",
    "withdraw-key",   "new-manifest",   "drain-target",    "crash-target",
    "lose-answers",   "second-answers", "endless-answers", "silent-target",
    "limited-target", "evacuate",       "cold-target"};

constexpr int kMinFaults = 4;
constexpr int kMaxFaults = 9;
constexpr milliseconds kMinLength{300};
constexpr milliseconds kMaxLength{4'000};
constexpr int kSeriesPercent = 30;
constexpr milliseconds kSeriesGap{700};

// Outages of the store outlast the time in which a withdrawn key must stop
// working; during every other one a key is withdrawn.
constexpr milliseconds kExtraStoreTime{6'000};
constexpr milliseconds kWithdrawalDelay{500};

// Half of the schedules have a target that names a limit. It is drawn apart, so
// that the other faults of a seed stay the same.
constexpr std::uint64_t kLimitStream = 0x6c696d6974;
constexpr milliseconds kLimitLength{9'000};

// A schedule has an evacuation if it holds none of the faults that keep daemons
// from learning of it in time. It takes longer than the bound of the settings.
constexpr std::uint64_t kEvacuationStream = 0x65766163;
constexpr milliseconds kEvacuationLength{8'000};

bool ExcusesLateness(const Fault& fault) {
  return fault.kind == FaultKind::kPause ||
         (fault.kind >= FaultKind::kStoreDown &&
          fault.kind <= FaultKind::kStoreLost);
}

// Half of the schedules have a target that becomes cold, also drawn apart.
constexpr std::uint64_t kColdStream = 0x636f6c64;
constexpr milliseconds kColdLength{6'000};

bool IsStoreFault(FaultKind kind) {
  return kind == FaultKind::kStoreDown || kind == FaultKind::kStoreSilent;
}

}  // namespace

std::vector<Fault> MakeSchedule(const ScheduleOptions& options) {
  std::mt19937_64 random(options.seed);
  const auto below = [&](std::int64_t end) {
    return static_cast<std::int64_t>(random() %
                                     static_cast<std::uint64_t>(end));
  };
  std::vector<Fault> faults;
  const auto count = kMinFaults + below(kMaxFaults - kMinFaults + 1);
  for (std::int64_t i = 0; i < count; ++i) {
    Fault fault{
        .kind = static_cast<FaultKind>(below(kFaultKinds)),
        .at = milliseconds(below(options.length.count())),
        .length =
            kMinLength + milliseconds(below((kMaxLength - kMinLength).count())),
        .vm = static_cast<int>(below(options.vms))};
    if (IsStoreFault(fault.kind)) {
      if (fault.length.count() % 2 == 0) {
        faults.push_back({.kind = FaultKind::kWithdrawKey,
                          .at = fault.at + kWithdrawalDelay,
                          .vm = fault.vm});
      }
      fault.length += kExtraStoreTime;
    }
    faults.push_back(fault);
    if (below(100) < kSeriesPercent) {
      // The same on other VMs, one after the other.
      for (int other = 1; other < options.vms; ++other) {
        fault.at += kSeriesGap;
        fault.vm = (fault.vm + 1) % options.vms;
        if (fault.at < options.length) {
          faults.push_back(fault);
        }
      }
    }
  }
  std::mt19937_64 limits(options.seed ^ kLimitStream);
  if (limits() % 2 == 0) {
    faults.push_back({.kind = FaultKind::kLimitedTarget,
                      .at = milliseconds(limits() % 2'000),
                      .length = kLimitLength,
                      .vm = static_cast<int>(
                          limits() % static_cast<std::uint64_t>(options.vms))});
  }
  if (std::none_of(faults.begin(), faults.end(), ExcusesLateness)) {
    std::mt19937_64 evacuations(options.seed ^ kEvacuationStream);
    faults.push_back({.kind = FaultKind::kEvacuate,
                      .at = milliseconds(evacuations() % 2'000),
                      .length = kEvacuationLength});
  }

  std::mt19937_64 cold(options.seed ^ kColdStream);
  if (cold() % 2 == 0) {
    faults.push_back({.kind = FaultKind::kColdTarget,
                      .at = milliseconds(cold() % 4'000),
                      .length = kColdLength,
                      .vm = static_cast<int>(
                          cold() % static_cast<std::uint64_t>(options.vms))});
  }
  std::stable_sort(
      faults.begin(), faults.end(),
      [](const Fault& left, const Fault& right) { return left.at < right.at; });
  return faults;
}

std::string Describe(const Fault& fault) {
  return std::to_string(fault.at.count()) + " ms: " +
         std::string(kNames.at(static_cast<std::size_t>(fault.kind))) +
         " on vm-" + std::to_string(fault.vm) + " for " +
         std::to_string(fault.length.count()) + " ms";
}

}  // namespace lycheewell::soak
