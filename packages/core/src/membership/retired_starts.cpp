#include "lycheewell/core/membership/retired_starts.h"

#include <algorithm>

namespace lycheewell::core::membership {

void RetiredStarts::Record(const std::string& daemon,
                           const std::string& start) {
  const auto [found, is_new] = this->starts.try_emplace(daemon);
  std::deque<std::string>& known = found->second;
  if (std::find(known.begin(), known.end(), start) != known.end()) {
    return;
  }
  known.push_back(start);
  if (known.size() > kMaxStartsPerDaemon) {
    known.pop_front();
  }
  if (is_new) {
    this->order.push_back(daemon);
    if (this->order.size() > kMaxDaemons) {
      this->starts.erase(this->order.front());
      this->order.pop_front();
    }
  }
}

std::vector<std::string> RetiredStarts::StartsBeside(
    const std::string& daemon) const {
  const auto found = this->starts.find(daemon);
  return found == this->starts.end()
             ? std::vector<std::string>()
             : std::vector<std::string>(found->second.begin(),
                                        found->second.end());
}

}  // namespace lycheewell::core::membership
