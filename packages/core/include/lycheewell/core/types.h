// Basic types shared by all decision modules: time, identifiers, importance.
#ifndef LYCHEEWELL_CORE_TYPES_H_
#define LYCHEEWELL_CORE_TYPES_H_

#include <chrono>
#include <compare>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

namespace lycheewell::core {

// Monotonic time. Decisions receive it as an argument and never read a clock.
using Instant = std::chrono::steady_clock::time_point;
using Duration = std::chrono::steady_clock::duration;

// Source of random numbers, uniform over [0, 2^64).
using RandomSource = std::function<std::uint64_t()>;

// Position of a record in the platform's log; the first record has offset 0.
using Offset = std::uint64_t;

// One incarnation of a daemon. `id` is the address at which its peers reach it
// ("host:port"); `incarnation` increases with every start at that address.
struct DaemonRef {
  std::string id;
  std::uint64_t incarnation = 0;

  auto operator<=>(const DaemonRef&) const = default;
};

// Importance of a request. Lower values are shed first under overload.
enum class Importance : std::uint8_t {
  kLow = 0,
  kNormal = 1,
  kHigh = 2,
  kCritical = 3
};

inline constexpr int kImportanceLevels = 4;

// Returns the name used in settings, records and logs.
std::string_view ImportanceName(Importance importance);

// Parses a name given by ImportanceName; empty when the name is unknown.
std::optional<Importance> ParseImportance(std::string_view name);

}  // namespace lycheewell::core

#endif  // LYCHEEWELL_CORE_TYPES_H_
