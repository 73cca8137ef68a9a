// Counters and latency histograms of a sidecar, in Prometheus text format.
#ifndef LYCHEEWELL_SIDECAR_COUNTERS_H_
#define LYCHEEWELL_SIDECAR_COUNTERS_H_

#include <array>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>

#include "lycheewell/core/types.h"

namespace lycheewell::sidecar {

// `value` between the quotes of a label: backslashes, quotes and line breaks
// are escaped.
std::string EscapeLabel(std::string_view value);

// Not thread-safe: used on the event loop's thread only.
class Counters {
 public:
  // Commands.

  // Adds to the counter `name` with the label `reason`, which may be empty.
  void Count(std::string_view name, std::string_view reason,
             std::uint64_t amount = 1);
  void Observe(std::string_view name, core::Duration duration);

  // Queries.

  std::string Render() const;

 private:
  // Upper bounds of the buckets; the last bucket has none.
  static constexpr std::array<int, 12> kBucketBoundsMs = {
      1, 2, 5, 10, 25, 50, 100, 250, 500, 1000, 2500, 5000};
  struct Histogram {
    std::array<std::uint64_t, kBucketBoundsMs.size() + 1> buckets{};
    double sum_seconds = 0;
    std::uint64_t count = 0;
  };

  std::map<std::string, std::map<std::string, std::uint64_t, std::less<>>,
           std::less<>>
      counters;
  std::map<std::string, Histogram, std::less<>> histograms;
};

}  // namespace lycheewell::sidecar

#endif  // LYCHEEWELL_SIDECAR_COUNTERS_H_
