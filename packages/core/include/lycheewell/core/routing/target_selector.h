// Chooses a target of a service from what the daemons beside the targets said
// last.
#ifndef LYCHEEWELL_CORE_ROUTING_TARGET_SELECTOR_H_
#define LYCHEEWELL_CORE_ROUTING_TARGET_SELECTOR_H_

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>

#include "lycheewell/core/types.h"

namespace lycheewell::core::routing {

// Where a target stands as seen from the choosing daemon.
enum class Distance { kSameVm, kSameDataCentre, kOtherDataCentre };

// A target's load as its own daemon counts it.
struct TargetLoad {
  int running = 0;
  int waiting = 0;
  Duration mean_work{};
  // Part of its runs that fail by its own fault.
  double failing_part = 0;

  bool operator==(const TargetLoad&) const = default;
};

struct TargetOptions {
  std::string instance;
  std::string service;
  Distance distance = Distance::kSameVm;
  int slots = 1;
  bool accepts_work = true;
  // Until then the target works slowly.
  Instant cold_until;

  bool operator==(const TargetOptions&) const = default;
};

// What a choice was based on, for the request's log line.
struct Choice {
  std::string member;
  std::string instance;
  Duration expected_wait{};
  std::size_t candidates = 0;

  bool operator==(const Choice&) const = default;
};

class TargetSelector {
 public:
  // Commands. `member` names the daemon beside the target.

  void Put(const std::string& member, const TargetOptions& target, Instant now);
  void Remove(const std::string& member);
  void Report(const std::string& member, const TargetLoad& load, Instant now);

  // No answers come from the member at present; its target is passed over.
  void SetReachable(const std::string& member, bool is_reachable);

  // A request was sent to the member's target and not yet answered.
  void RecordSent(const std::string& member);
  void RecordDone(const std::string& member);

  // The member refused a request: its target is full for others, too.
  void RecordRefusal(const std::string& member, Duration wait, Instant now);

  // Queries.

  // The target with the lowest expected cost among those not in `excluded`.
  std::optional<Choice> Choose(std::string_view service,
                               const std::set<std::string>& excluded,
                               Instant now, RandomSource& random) const;

  // Service of the member's target; empty when it is not known.
  std::string ServiceOf(const std::string& member) const;

  // Slots of all targets that can get work now, by service. Cold targets count
  // in full: that they are slow shows in how long slots are held.
  std::map<std::string, double, std::less<>> SlotsByService() const;

  // Targets of the service that accept work, reachable or not.
  std::size_t CountOf(std::string_view service) const;

 private:
  struct Entry {
    TargetOptions target;
    TargetLoad load;
    Instant reported_at;
    bool is_reachable = true;
    int outstanding = 0;  // sent from here, not yet answered
    int sent_since_report = 0;
    Instant refused_at;
    Duration refused_wait{};
  };

  struct Estimate {
    Duration wait{};
    double cost_ns = 0;
  };

  static double CapacityOf(const Entry& entry, Instant now);
  static Estimate EstimateOf(const Entry& entry, double fastest_ns,
                             Instant now);
  // The least mean work of the members' targets, or a huge one.
  double FastestWork(const std::set<std::string>& members) const;

  std::map<std::string, Entry> entries;
  std::map<std::string, std::set<std::string>, std::less<>> by_service;
};

}  // namespace lycheewell::core::routing

#endif  // LYCHEEWELL_CORE_ROUTING_TARGET_SELECTOR_H_
