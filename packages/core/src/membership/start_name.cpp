#include "lycheewell/core/membership/start_name.h"

#include <charconv>

#include "lycheewell/core/names.h"

namespace lycheewell::core::membership {

std::string StartName(const DaemonRef& start) {
  return start.id + "@" + std::to_string(start.incarnation);
}

std::optional<DaemonRef> ParseStartName(std::string_view name) {
  const std::size_t separator = name.rfind('@');
  if (separator == std::string_view::npos ||
      !IsInstanceName(name.substr(0, separator))) {
    return std::nullopt;
  }
  DaemonRef start{.id = std::string(name.substr(0, separator))};
  const std::string_view born = name.substr(separator + 1);
  const auto [end, error] = std::from_chars(
      born.data(), born.data() + born.size(), start.incarnation);
  if (error != std::errc() || end != born.data() + born.size()) {
    return std::nullopt;
  }
  return start;
}

}  // namespace lycheewell::core::membership
