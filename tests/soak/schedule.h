// The faults of one soak run. The same seed always gives the same schedule.
#ifndef LYCHEEWELL_TESTS_SOAK_SCHEDULE_H_
#define LYCHEEWELL_TESTS_SOAK_SCHEDULE_H_

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace lycheewell::soak {

enum class FaultKind {
  kKill,            // a daemon is killed and started again
  kPlannedStop,     // SIGTERM, and a start once the process has ended
  kPause,           // SIGSTOP, and SIGCONT after `length`
  kDelay,           // what goes to a daemon is late
  kResetLinks,      // connections to a daemon are reset
  kCutOneWay,       // what a daemon answers on its links is held up
  kSilence,         // nothing passes on the links to a daemon
  kNarrow,          // the links to a daemon carry few bytes
  kStoreDown,       // the store refuses all calls
  kStoreSilent,     // the store answers nothing
  kStoreSlow,       // the store answers late
  kStoreLost,       // the store executes calls whose answers are lost
  kWithdrawKey,     // a new manifest withdraws a key
  kNewManifest,     // a new manifest changes nothing for the clients
  kDrainTarget,     // a target leaves; another one comes in its place
  kCrashTarget,     // a target ends at once; another one comes in its place
  kLoseAnswers,     // a target runs requests and closes their connections
  kSecondAnswers,   // a target sends answers twice, the second time late
  kEndlessAnswers,  // a target sends bytes without end
  kSilentTarget,    // a target's announcements stop, its work goes on
  kLimitedTarget,   // a target names the request rate that it takes
  kEvacuate,        // a data centre is emptied and taken back
  kColdTarget,      // a target becomes cold
};

// Kinds that any fault of a schedule may have.
constexpr int kFaultKinds = 20;

struct Fault {
  FaultKind kind = FaultKind::kKill;
  std::chrono::milliseconds at{};
  std::chrono::milliseconds length{};
  int vm = 0;

  bool operator==(const Fault&) const = default;
};

struct ScheduleOptions {
  std::uint64_t seed = 1;
  std::chrono::milliseconds length{8'000};
  int vms = 5;
};

// Faults in the order of their times; some overlap, some come in series.
std::vector<Fault> MakeSchedule(const ScheduleOptions& options);

std::string Describe(const Fault& fault);

}  // namespace lycheewell::soak

#endif  // LYCHEEWELL_TESTS_SOAK_SCHEDULE_H_
