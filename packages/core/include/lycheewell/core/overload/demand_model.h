// Admission control at the entry of the call graph, based on the capacity that
// each route's requests use at every downstream service.
#ifndef LYCHEEWELL_CORE_OVERLOAD_DEMAND_MODEL_H_
#define LYCHEEWELL_CORE_OVERLOAD_DEMAND_MODEL_H_

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "lycheewell/core/types.h"

namespace lycheewell::core::overload {

// Counters of one daemon for one route since the daemon started.
struct RouteDemand {
  // Client requests that arrived at this daemon, and those that it admitted.
  std::uint64_t offered = 0;
  std::uint64_t entered = 0;
  // Time for which the route's requests, and the calls that result from them,
  // held slots of the target beside the daemon.
  Duration work{};
  // Time for which they would have held slots that were not available.
  Duration unmet{};
  // Client requests that finished at that target, and those of them that failed
  // because one of their calls got no slot.
  std::uint64_t ended = 0;
  std::uint64_t starved = 0;

  RouteDemand& operator+=(const RouteDemand& other);
  bool operator==(const RouteDemand&) const = default;
};

// What a source has counted since `previous`. Lower counts than before mean
// that it has restarted and counts from 0.
RouteDemand IncreaseSince(const RouteDemand& previous,
                          const RouteDemand& current);

// The route of work that cannot be attributed to a client request.
inline constexpr std::string_view kUnknownRoute;

// Estimates the slot demand of each route from the counters of all daemons and
// computes the fraction of its requests to admit. Every daemon receives the
// same counters, so all arrive at about the same fractions. A request that is
// admitted and then fails downstream wastes the work already done for it;
// rejecting it at the entry leaves that capacity to other requests.
class DemandModel {
 public:
  explicit DemandModel(Instant now) : updated_at(now) {}

  // Commands.

  // Records the counters by route of `source`, a daemon beside a target of
  // `service`. Routes whose counters have not changed may be omitted. The first
  // report of a source is its baseline and adds no demand.
  void Report(const std::string& source, const std::string& service,
              const std::map<std::string, RouteDemand>& counts);

  // Sets the slots of all targets that accept work, by service.
  void SetSlots(const std::map<std::string, double, std::less<>>& by_service) {
    for (auto& [name, service] : this->services) {
      service.slots = 0;
    }
    for (const auto& [name, slots] : by_service) {
      this->services[name].slots = slots;
    }
  }

  // Whether Update() is due. Call SetSlots() before Update().
  bool IsUpdateDue(Instant now) const;

  // Recomputes the admitted fractions from the counters of the last period.
  void Update(Instant now);

  // Whether FollowQueues() is due.
  bool IsFollowDue(Instant now) const;

  // Recomputes the admitted fractions from the waits at the services, by
  // service; see entry_brake.h. The demand is that of the last update.
  void FollowQueues(const std::map<std::string, Duration, std::less<>>& waits,
                    Instant now);

  // Whether to admit a request of `route`. Lower values of `priority` are more
  // important. A request that `goes_first` is admitted ahead of its time, and
  // later ones make up for it.
  bool Admit(const std::string& route, int priority, bool goes_first = false);

  // Queries.

  // A route's admitted fraction and the estimates behind it, for the log.
  struct Decision {
    std::string route;
    double admitted_fraction = 1;
    double offered_rate = 0;  // requests per second of all daemons
    double entered_rate = 0;
    // The service with the highest utilization among those the route uses.
    std::string bottleneck_service;
    // Slots that the offered requests of all routes need there, as a fraction
    // of its slots.
    double bottleneck_utilization = 0;
    // Slots that one request per second of the route occupies there.
    double bottleneck_demand = 0;

    bool operator==(const Decision&) const = default;
  };
  std::vector<Decision> Decisions() const;

  // The fraction of the route's requests that is admitted.
  double admitted_fraction(std::string_view route) const;

  // Slots of `service` that one request per second of `route` occupies.
  double SlotDemandOf(std::string_view route, std::string_view service) const;

  // Lowest fraction of a service's throughput that is planned because its
  // queues are long; 1 if none is.
  double lowest_brake_factor() const;

 private:
  struct Route {
    // Counted since the last update.
    std::uint64_t offered = 0;
    std::uint64_t entered = 0;
    std::uint64_t ended = 0;
    std::uint64_t starved = 0;
    std::map<std::string, Duration, std::less<>> work;   // by service
    std::map<std::string, Duration, std::less<>> unmet;  // by service
    // Moving averages, per second.
    double offered_rate = 0;
    double entered_rate = 0;
    double ended_rate = 0;
    double starved_rate = 0;
    std::map<std::string, double, std::less<>> slots_wanted;  // by service
    // Slots that one request per second occupies, by service.
    std::map<std::string, double, std::less<>> slot_demand;
    int updates = 0;
    double admitted_fraction = 1;
    // Grows by `admitted_fraction` with each request; admitting one takes 1.
    double credit = 0;
    int priority = 0;
  };

  // Slots that are still to be allocated, by service.
  using Capacity = std::map<std::string, double, std::less<>>;

  struct Service {
    double slots = 0;
    double planned_utilization = 0;
    double unmet_fraction = 0;   // of the wanted work, in the last period
    bool is_overloaded = false;  // the offered demand exceeds its capacity
    double brake_factor = 1;     // because of its queues; see entry_brake.h
    // Slots that the admitted requests need.
    double slots_entered = 0;
  };

  void UpdateAverages(double seconds);
  void UpdateSlotDemand(Route& route, const std::string& service) const;
  void AdjustPlannedUtilization();
  Capacity CapacityForRoutes() const;
  void FindOverloadedServices(const Capacity& capacity);
  // Recomputes the admitted fractions for the present averages.
  void PlanRoutes(const Capacity& capacity);
  // Fractions of the routes in `order`, and the lower bound that holds for all
  // of them.
  struct Plan {
    double min_fraction = 0;
    std::vector<double> fractions;
  };
  static Plan PlanFractions(const std::vector<Route*>& order,
                            const Capacity& capacity);
  // Returns the fraction of the requests of `route`, at most `max_fraction`,
  // that `capacity` can serve, and subtracts the slots that it uses.
  static double Allocate(const Route& route, double max_fraction,
                         Capacity& capacity);

  std::map<std::string, Route, std::less<>> routes;
  // The last reported counters, by source and route.
  std::map<std::string, std::map<std::string, RouteDemand>> last_counts;
  std::map<std::string, Service, std::less<>> services;
  Instant updated_at;
  Instant followed_at;
};

}  // namespace lycheewell::core::overload

#endif  // LYCHEEWELL_CORE_OVERLOAD_DEMAND_MODEL_H_
