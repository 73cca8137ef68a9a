// Learns what the requests of a route need at every service downstream and
// admits, at the entry of the call graph, as much as the services can carry.
#ifndef LYCHEEWELL_CORE_OVERLOAD_DEMAND_MODEL_H_
#define LYCHEEWELL_CORE_OVERLOAD_DEMAND_MODEL_H_

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "lycheewell/core/types.h"

namespace lycheewell::core::overload {

// What one daemon has counted for one route since its start.
struct RouteDemand {
  // Requests of clients that came to this daemon, and those it let enter.
  std::uint64_t offered = 0;
  std::uint64_t entered = 0;
  // Time that requests of the route, and the calls that follow from them, have
  // held slots of the target beside the daemon, and would have held had there
  // been a slot for them.
  Duration work{};
  Duration unmet{};
  // Runs of clients' requests that ended at that target, and those of them that
  // failed because a call had found no slot.
  std::uint64_t ended = 0;
  std::uint64_t starved = 0;

  bool operator==(const RouteDemand&) const = default;
};

// Work whose client request is not known is reported under this route.
inline constexpr std::string_view kUnknownRoute;

// All daemons get the counts of all others, so that they settle at about the
// same parts. A request that enters and then fails for lack of room deep in
// the graph has cost everything that was done for it: refusing it at the entry
// leaves that room to another one.
class DemandModel {
 public:
  explicit DemandModel(Instant now) : judged_at(now) {}

  // Commands.

  // The counts by route that `source`, beside a target of `service`, has now;
  // routes whose counts have not changed may be left out. What a source had
  // counted before its first report does not count.
  void Report(const std::string& source, const std::string& service,
              const std::map<std::string, RouteDemand>& counts);

  // The slots of all targets that take work, by service.
  void SetSlots(const std::map<std::string, double, std::less<>>& by_service) {
    for (auto& [name, service] : this->services) {
      service.slots = 0;
    }
    for (const auto& [name, slots] : by_service) {
      this->services[name].slots = slots;
    }
  }

  // Whether the parts are due to be judged anew; SetSlots comes first.
  bool IsDue(Instant now) const;
  void Judge(Instant now);

  // Whether a request of `route` may enter. Lower ranks are more important.
  bool Admit(const std::string& route, int rank);

  // Queries.

  // What a route's part was worked out from, for the log.
  struct Judgement {
    std::string route;
    double part = 1;
    double offered_rate = 0;  // a second, over the fleet
    double entered_rate = 0;
    std::string scarce_service;  // it has the least room for what is offered
    double scarce_use = 0;       // slots that all routes want, of those it has
    double need = 0;             // slots for one request a second of the route

    bool operator==(const Judgement&) const = default;
  };
  std::vector<Judgement> Judgements() const;

  // The part of the route's requests that enters.
  double admitted_part(std::string_view route) const;

  // Slots of `service` that one request a second of `route` holds.
  double NeedOf(std::string_view route, std::string_view service) const;

 private:
  struct Route {
    // Since the last judgement.
    std::uint64_t offered = 0;
    std::uint64_t entered = 0;
    std::uint64_t ended = 0;
    std::uint64_t starved = 0;
    std::map<std::string, Duration, std::less<>> work;   // by service
    std::map<std::string, Duration, std::less<>> unmet;  // by service
    // Averages over the last judgements, for each second.
    double offered_rate = 0;
    double entered_rate = 0;
    double ended_rate = 0;
    double starved_rate = 0;
    std::map<std::string, double, std::less<>> slots_wanted;  // by service
    // Slots that one request a second needs, by service.
    std::map<std::string, double, std::less<>> needs;
    int judgements = 0;
    double part = 1;
    double credit = 0;
    int rank = 0;
  };

  using Room = std::map<std::string, double, std::less<>>;

  // A service's room and how much of it is planned to be used.
  struct Service {
    double slots = 0;
    double planned_use = 0;
    double unmet_part = 0;  // of the wanted work, in the last period
    bool is_short = false;  // more was offered than it has room for
  };

  void Average(double seconds);
  void LearnNeed(Route& route, const std::string& service) const;
  void AdjustPlannedUse();
  Room RoomForRoutes() const;
  void FindShortServices(const Room& room);
  double LeastPart() const;
  // The part of `route` beyond `part` that `room` allows; takes the room.
  static double Take(const Route& route, double part, Room& room);

  std::map<std::string, Route, std::less<>> routes;
  // Last counts by source and route.
  std::map<std::string, std::map<std::string, RouteDemand>> known;
  std::map<std::string, Service, std::less<>> services;
  Instant judged_at;
};

}  // namespace lycheewell::core::overload

#endif  // LYCHEEWELL_CORE_OVERLOAD_DEMAND_MODEL_H_
