#include "lycheewell/core/types.h"

#include <array>

namespace lycheewell::core {
namespace {

constexpr std::array<std::string_view, kImportanceLevels> kImportanceNames = {
    "low", "normal", "high", "critical"};

}  // namespace

std::string_view ImportanceName(Importance importance) {
  return kImportanceNames.at(static_cast<std::size_t>(importance));
}

std::optional<Importance> ParseImportance(std::string_view name) {
  for (std::size_t level = 0; level < kImportanceNames.size(); ++level) {
    if (kImportanceNames[level] == name) {
      return static_cast<Importance>(level);
    }
  }
  return std::nullopt;
}

}  // namespace lycheewell::core
