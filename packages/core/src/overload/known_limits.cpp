#include "lycheewell/core/overload/known_limits.h"

namespace lycheewell::core::overload {

void KnownLimits::RecordStart(const std::string& daemon,
                              const DaemonRef& start) {
  const auto [found, is_new] = this->entries.try_emplace(daemon);
  if (!(found->second.start == start)) {
    found->second = {.start = start};
  }
  if (is_new) {
    this->order.push_back(daemon);
    if (this->order.size() > kMaxDaemons) {
      this->entries.erase(this->order.front());
      this->order.pop_front();
    }
  }
}

void KnownLimits::RecordLimit(const std::string& daemon,
                              std::optional<double> per_second) {
  const auto found = this->entries.find(daemon);
  if (found != this->entries.end()) {
    found->second.per_second = per_second;
  }
}

std::optional<KnownLimits::StartLimit> KnownLimits::LimitBeside(
    const std::string& daemon) const {
  const auto found = this->entries.find(daemon);
  if (found == this->entries.end() || !found->second.per_second) {
    return std::nullopt;
  }
  return StartLimit{.start = found->second.start,
                    .per_second = *found->second.per_second};
}

}  // namespace lycheewell::core::overload
