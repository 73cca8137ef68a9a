#include "lycheewell/core/routing/work_model.h"

#include <algorithm>
#include <bit>
#include <cmath>
#include <functional>

namespace lycheewell::core::routing {
namespace {

// About this many recent runs count in an average.
constexpr int kAveragedRuns = 50;

// A run further from the mean than this many standard deviations, and than this
// fraction of the mean, is a surprise. After some of them in a row on one side
// the work has changed, and the average starts anew.
constexpr double kSurpriseSpreads = 2.0;
constexpr double kSurpriseFraction = 0.25;
constexpr int kSurprisesUntilChange = 5;

// A class counts after this many runs if its mean is outside the standard error
// by this factor, and differs by this fraction from that of the route.
constexpr int kMinClassRuns = 8;
constexpr double kDistinctErrors = 3.0;
constexpr double kDistinctFraction = 0.15;

// Spread assumed until there are runs to compare.
constexpr double kInitialSpreadFraction = 0.5;
constexpr int kMinSpreadRuns = 4;

std::uint64_t Mix(std::uint64_t hash, std::uint64_t value) {
  constexpr std::uint64_t kMultiplier = 0x9e3779b97f4a7c15ULL;
  hash = (hash ^ value) * kMultiplier;
  return hash ^ (hash >> 32);
}

std::uint64_t Hash(std::string_view text) {
  return std::hash<std::string_view>()(text);
}

// Sizes within a factor of 8 are of one class.
std::uint64_t SizeClass(std::size_t bytes) {
  return (static_cast<std::uint64_t>(std::bit_width(bytes)) + 2) / 3;
}

}  // namespace

void WorkModel::Average::Add(double sample_ns) {
  const double deviation = sample_ns - this->mean_ns;
  const bool is_surprise =
      this->runs >= kMinClassRuns &&
      std::abs(deviation) > std::max(kSurpriseSpreads * this->Spread(),
                                     kSurpriseFraction * this->mean_ns);
  const int side = deviation > 0 ? 1 : -1;
  if (!is_surprise) {
    this->surprises = 0;
  } else if (this->surprises * side < 0) {
    this->surprises = side;
  } else {
    this->surprises += side;
  }
  if (std::abs(this->surprises) >= kSurprisesUntilChange) {
    *this = Average{.mean_ns = sample_ns, .runs = 1};
    return;
  }
  this->runs = std::min(this->runs + 1, kAveragedRuns);
  const double weight = 1.0 / this->runs;
  this->mean_ns += weight * deviation;
  this->variance =
      (1 - weight) * (this->variance + weight * deviation * deviation);
}

double WorkModel::Average::Spread() const {
  return this->runs < kMinSpreadRuns ? kInitialSpreadFraction * this->mean_ns
                                     : std::sqrt(this->variance);
}

std::uint64_t WorkModel::RouteKey(const WorkFeatures& features) {
  return Mix(Hash(features.service), Hash(features.route));
}

std::uint64_t WorkModel::ClassKey(std::uint64_t route_key,
                                  const WorkFeatures& features) {
  return Mix(Mix(Mix(route_key, Hash(features.payer)), Hash(features.method)),
             SizeClass(features.body_bytes));
}

WorkModel::Average& WorkModel::Find(Averages& averages, std::uint64_t key) {
  if (averages.size() >= kMaxAverages && !averages.contains(key)) {
    averages.clear();
  }
  return averages[key];
}

bool WorkModel::IsDistinct(const Average& by_class, const Average& by_route) {
  if (by_class.runs < kMinClassRuns) {
    return false;
  }
  const double difference = std::abs(by_class.mean_ns - by_route.mean_ns);
  return difference > kDistinctFraction * by_route.mean_ns &&
         difference > kDistinctErrors * by_class.Spread() /
                          std::sqrt(static_cast<double>(by_class.runs));
}

void WorkModel::Record(const WorkFeatures& features, Duration work) {
  const auto sample_ns = static_cast<double>(work.count());
  const std::uint64_t route_key = RouteKey(features);
  Find(this->services, Hash(features.service)).Add(sample_ns);
  Find(this->routes, route_key).Add(sample_ns);
  Find(this->classes, ClassKey(route_key, features)).Add(sample_ns);
}

WorkEstimate WorkModel::Expect(const WorkFeatures& features) const {
  const auto estimate = [](const Average& average) {
    return WorkEstimate{
        .mean = Duration(static_cast<Duration::rep>(average.mean_ns)),
        .spread = Duration(static_cast<Duration::rep>(average.Spread()))};
  };
  const std::uint64_t route_key = RouteKey(features);
  const auto by_route = this->routes.find(route_key);
  if (by_route == this->routes.end()) {
    const auto by_service = this->services.find(Hash(features.service));
    return by_service == this->services.end() ? WorkEstimate()
                                              : estimate(by_service->second);
  }
  const auto by_class = this->classes.find(ClassKey(route_key, features));
  return by_class != this->classes.end() &&
                 IsDistinct(by_class->second, by_route->second)
             ? estimate(by_class->second)
             : estimate(by_route->second);
}

}  // namespace lycheewell::core::routing
