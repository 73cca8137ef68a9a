// The tables that a daemon's workers share.
//
// Lock order, first to last: configuration, the dispatcher's state, membership,
// limiters, attempts, running, crashes, loads. Code that holds one lock takes
// only later ones, and no lock is held while waiting for I/O.
#ifndef LYCHEEWELL_DAEMON_TABLES_TABLES_H_
#define LYCHEEWELL_DAEMON_TABLES_TABLES_H_

#include <map>
#include <memory>
#include <string>
#include <unordered_map>

#include "lycheewell/core/attempts/recorder.h"
#include "lycheewell/core/membership/failure_detector.h"
#include "lycheewell/core/overload/admission_level.h"
#include "lycheewell/core/quarantine/crash_marks.h"
#include "lycheewell/core/rate/account_limiter.h"
#include "lycheewell/core/retry/retry_policy.h"
#include "lycheewell/core/types.h"
#include "lycheewell/daemon/tables/configuration_table.h"
#include "lycheewell/daemon/tables/guarded.h"
#include "lycheewell/io/async/cancellation.h"
#include "lycheewell/io/async/waiter.h"

namespace lycheewell::daemon::tables {

// Wakes requests that wait for tokens of one account.
using TokenWaiter = io::async::Waiter<bool>;

struct LimiterEntry {
  explicit LimiterEntry(core::rate::AccountLimiter::Options options,
                        core::Instant now)
      : limiter(std::move(options), now) {}

  core::rate::AccountLimiter limiter;
  std::vector<std::shared_ptr<TokenWaiter>> waiters;
};

struct Limiters {
  core::rate::HeartbeatTable heartbeats;
  std::map<std::string, LimiterEntry, std::less<>> by_account;
};

// A request that the target beside this daemon is running. Its context handle
// lets the target make calls on the request's behalf.
struct RunningRequest {
  std::string request_id;
  std::string account;
  core::Importance importance = core::Importance::kNormal;
  int rank = 0;
  core::Instant deadline;
  core::retry::RetryCredit credit{0};
  // Highest admission level that refused one of the request's own calls.
  int refused_at_level = 0;
  io::async::CancellationPointer cancellation;
};

// By context handle.
using RunningRequests = std::unordered_map<std::string, RunningRequest>;

// What this daemon observed of one target.
struct ObservedTarget {
  int outstanding = 0;
  core::Duration recent_latency{};
  core::Instant avoided_until;  // after a failed attempt
};

struct Loads {
  std::map<core::DaemonRef, ObservedTarget> targets;
  std::map<std::string, core::overload::ReportedLevel> levels;  // by route key
  std::map<std::string, core::retry::RetryBudget> budgets;      // by service
};

struct Tables {
  Tables(const core::DaemonRef& self, core::RandomSource random)
      : membership(core::membership::FailureDetector::Options{
            .self = self, .random = std::move(random)}),
        attempts(self) {}

  ConfigurationTable configuration;
  Guarded<core::membership::FailureDetector> membership;
  Guarded<Limiters> limiters;
  Guarded<core::attempts::Recorder> attempts;
  Guarded<RunningRequests> running;
  Guarded<core::quarantine::CrashMarks> crashes;
  Guarded<Loads> loads;
};

}  // namespace lycheewell::daemon::tables

#endif  // LYCHEEWELL_DAEMON_TABLES_TABLES_H_
