// Predicts the work of a request from what is known before it runs.
#ifndef LYCHEEWELL_CORE_ROUTING_WORK_MODEL_H_
#define LYCHEEWELL_CORE_ROUTING_WORK_MODEL_H_

#include <cstddef>
#include <cstdint>
#include <string_view>
#include <unordered_map>

#include "lycheewell/core/types.h"

namespace lycheewell::core::routing {

// What a daemon knows of a request before it runs.
struct WorkFeatures {
  std::string_view service;
  std::string_view route;
  // Client account, or the client's route for a call made by a target.
  std::string_view payer;
  std::string_view method;
  std::size_t body_bytes = 0;
};

// Time for which a request holds a slot of a target of mean speed.
struct WorkEstimate {
  Duration mean{};    // zero: not known
  Duration spread{};  // standard deviation

  bool operator==(const WorkEstimate&) const = default;
};

// Averages over about the last 50 runs, by route, and by payer, method and size
// class of the body within a route. A class counts only where it differs from
// its route by more than chance. Routes without runs get the service's mean.
class WorkModel {
 public:
  // Bound on the averages by route, and on those by class. Beyond it all of
  // them are dropped and learned anew.
  static constexpr std::size_t kMaxAverages = 4096;

  // Commands.

  // A request held a slot for `work`, divided by the slowness of its target.
  void Record(const WorkFeatures& features, Duration work);

  // Queries.

  WorkEstimate Expect(const WorkFeatures& features) const;
  std::size_t average_count() const {
    return this->routes.size() + this->classes.size();
  }

 private:
  // Mean and variance with exponentially decreasing weights.
  struct Average {
    double mean_ns = 0;
    double variance = 0;
    int runs = 0;  // up to the number that the average covers
    int surprises =
        0;  // runs in a row far above (or, negative, below) the mean

    void Add(double sample_ns);
    double Spread() const;
  };
  using Averages = std::unordered_map<std::uint64_t, Average>;

  static std::uint64_t RouteKey(const WorkFeatures& features);
  static std::uint64_t ClassKey(std::uint64_t route_key,
                                const WorkFeatures& features);
  static Average& Find(Averages& averages, std::uint64_t key);
  // Whether runs of the class differ from those of the whole route.
  static bool IsDistinct(const Average& by_class, const Average& by_route);

  Averages services;
  Averages routes;
  Averages classes;
};

}  // namespace lycheewell::core::routing

#endif  // LYCHEEWELL_CORE_ROUTING_WORK_MODEL_H_
