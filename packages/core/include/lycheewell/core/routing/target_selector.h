// Chooses a target of a service by expected cost. The cost follows from the
// load that the targets' daemons last reported and from this daemon's own
// requests.
#ifndef LYCHEEWELL_CORE_ROUTING_TARGET_SELECTOR_H_
#define LYCHEEWELL_CORE_ROUTING_TARGET_SELECTOR_H_

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <string_view>

#include "lycheewell/core/routing/evacuation_shift.h"
#include "lycheewell/core/routing/limit_throttle.h"
#include "lycheewell/core/routing/send_pace.h"
#include "lycheewell/core/types.h"

namespace lycheewell::core::routing {

// Location of a target relative to the daemon that chooses.
enum class Distance { kSameVm, kSameDataCentre, kOtherDataCentre };

// A target's load as reported by its own daemon.
struct TargetLoad {
  int running = 0;
  int waiting = 0;
  Duration mean_work{};  // mean time that a request holds a slot
  // Moving average of the fraction of runs that fail by the target's own fault.
  double failed_fraction = 0;
  // Requests per second that the target takes from all daemons together.
  std::optional<double> limit_per_second;
  // Requests per second that one daemon should send at most.
  std::optional<double> share_per_second;
  // Expected work of all requests that run and wait, less what is done.
  Duration remaining_work{};
  // Expected waits of a request ahead of all that wait now, and behind them.
  Duration first_wait{};
  Duration last_wait{};
  // Measured work relative to what senders expected; zero: not known.
  double slowness = 0;

  bool operator==(const TargetLoad&) const = default;
};

struct TargetOptions {
  std::string instance;
  std::string service;
  Distance distance = Distance::kSameVm;
  int slots = 1;
  bool accepts_work = true;
  // End of the target's cold start; it is slow until then.
  Instant cold_until;
  std::string data_centre;
  std::string region;  // of the data centre; empty: not known

  bool operator==(const TargetOptions&) const = default;
};

// The chosen target and the estimate behind it, as logged with the request.
struct Choice {
  std::string member;
  std::string instance;
  Duration expected_wait{};
  std::size_t candidates = 0;

  bool operator==(const Choice&) const = default;
};

// What the caller of a request and its target have to expect.
struct RequestDemand {
  Duration work{};            // at a target of mean speed; zero: not known
  Duration latency_target{};  // of the caller; zero: none

  bool operator==(const RequestDemand&) const = default;
};

// What matters for the choice besides the service.
struct ChoiceOptions {
  int rank = 0;  // lower ranks are more important
  std::size_t body_bytes = 0;
  // A target without a limit goes before all others: one with a limit has
  // refused the request.
  bool prefers_unlimited = false;
  // Regions where the request may go, by its route and by its client account;
  // both bind, an empty list allows all.
  std::span<const std::string> route_homes = {};
  std::span<const std::string> account_homes = {};
  // The choice goes by the expected completion of this request. Without it, all
  // requests of a target count as equally long.
  std::optional<RequestDemand> demand;
};

class TargetSelector {
 public:
  // Commands. `member` names the daemon beside the target.

  void Put(const std::string& member, const TargetOptions& target, Instant now);
  void Remove(const std::string& member);
  void RecordLoad(const std::string& member, const TargetLoad& load,
                  Instant now);

  // The target of an unreachable member is not chosen.
  void SetReachable(const std::string& member, bool is_reachable);

  // Time that a request and its answer currently lose on the way to the member
  // and back; zero when it is negligible.
  void SetPathDelay(const std::string& member, Duration delay);

  // From now on, and until the next call, the targets that have left evacuated
  // data centres by `now` are not chosen.
  void ApplyEvacuations(const EvacuationShift& shift, Instant now);

  // A request sent to the member's target counts as outstanding until
  // RecordDone. `work` is what it needs at a target of mean speed.
  void RecordSent(const std::string& member, Duration work = {});
  void RecordDone(const std::string& member);
  // The member's target has answered a request of this daemon.
  void RecordRun(const std::string& member);

  // The member refused a request and named the expected wait. The wait holds
  // for later requests, too.
  void RecordRefusal(const std::string& member, Duration wait, Instant now);

  // The member's daemon has admitted a request of `rank` to its target, or has
  // refused it for the target's limit and wants no other one for `backoff`. No
  // effect while the target has no limit.
  void RecordAdmitted(const std::string& member, int rank, Instant now);
  void RecordOverLimit(const std::string& member, int rank, Duration backoff,
                       Instant now);

  // The target with the lowest expected cost among those not in `excluded`. A
  // target whose limit leaves no room for the rank, or whose share is used up,
  // is not chosen.
  std::optional<Choice> Choose(std::string_view service,
                               const std::set<std::string>& excluded,
                               Instant now, RandomSource& random,
                               const ChoiceOptions& options = {});

  // Queries.

  // Whether a target of the service that could be chosen has a limit.
  bool HasLimitedTarget(std::string_view service) const;

  // Service of the member's target; empty when the member is unknown.
  std::string ServiceOf(const std::string& member) const;

  // Slowness of the member's target relative to the mean of those of its
  // service that answered this daemon lately; 1 if it is not known.
  double RelativeSlownessOf(const std::string& member) const;

  // Slots of all reachable targets that accept work, by service. Cold targets
  // count in full because their slowness shows in the time that slots are held.
  // A target with a limit counts with the slots that its requests occupy at
  // that rate.
  std::map<std::string, double, std::less<>> SlotsByService() const;

  // Counts the targets that evacuations keep from being chosen.
  std::size_t CountEvacuatedTargets() const;

  // Time in which the targets of a service work off the requests that wait for
  // them, by service, as last reported.
  std::map<std::string, Duration, std::less<>> WaitByService() const;

  // Counts the targets of the service that accept work, reachable or not.
  std::size_t CountAcceptingTargets(std::string_view service) const;

 private:
  struct Entry {
    TargetOptions target;
    TargetLoad load;
    Instant reported_at;
    bool is_reachable = true;
    int outstanding = 0;  // requests from this daemon without an answer yet
    int sent_since_report = 0;
    double sent_work_ns = 0;  // of the requests sent since the report
    Instant refused_at;
    Duration refused_wait{};
    Duration path_delay{};
    LimitThrottle throttle;
    SendPace pace;  // while the target names a share
    bool is_evacuated = false;
  };

  // Whether the target takes work, apart from its limit.
  static bool IsEligible(const Entry& entry) {
    return entry.target.accepts_work && entry.is_reachable &&
           !entry.is_evacuated;
  }
  // Whether the target's limit and share leave room for a request.
  static bool HasRoom(Entry& entry, int rank, Instant now,
                      RandomSource& random);
  // Slots that count as capacity of the service.
  static double PlannedSlots(const Entry& entry);

  struct Estimate {
    Duration wait{};
    double cost_ns = 0;
  };

  // Slots, reduced while the target is cold.
  static double CapacityOf(const Entry& entry, Instant now);
  // Requests that run and wait at the target, as far as they are known here.
  static int RequestsAt(const Entry& entry);
  static double MeanWorkNs(const Entry& entry);
  static double FailureCostNs(const Entry& entry);
  static Duration WithKnownDelays(double wait_ns, const Entry& entry,
                                  Instant now);
  static Estimate EstimateOf(const Entry& entry, double lowest_mean_work_ns,
                             Instant now);
  // Expected wait of a request that can wait for `slack_ns`.
  static double WaitByDemandNs(const Entry& entry, double capacity,
                               double slowness, double slack_ns);
  static Estimate EstimateByDemand(const Entry& entry,
                                   const RequestDemand& demand,
                                   double mean_slowness, Instant now);
  // Lowest mean work among the members' targets that accept work;
  // Duration::max() when none of them has reported any.
  double LowestMeanWorkNs(const std::set<std::string>& members) const;
  // Mean slowness of the service's targets, each by its recent runs for this
  // daemon. A mean over all targets would let the scale of the learned work
  // drift, since idle targets report none.
  double RunSlownessOf(std::string_view service) const;

  std::map<std::string, Entry> entries;
  struct MeanOfRuns {
    double value = 0;
    int runs = 0;
  };

  std::map<std::string, std::set<std::string>, std::less<>> members_by_service;
  std::map<std::string, MeanOfRuns, std::less<>> run_slowness;  // by service
  EvacuationShift evacuations;
};

}  // namespace lycheewell::core::routing

#endif  // LYCHEEWELL_CORE_ROUTING_TARGET_SELECTOR_H_
