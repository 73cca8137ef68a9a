// Limits that the targets of other daemons have named.
#ifndef LYCHEEWELL_CORE_OVERLOAD_KNOWN_LIMITS_H_
#define LYCHEEWELL_CORE_OVERLOAD_KNOWN_LIMITS_H_

#include <cstddef>
#include <deque>
#include <map>
#include <optional>
#include <string>

#include "lycheewell/core/types.h"

namespace lycheewell::core::overload {

// A daemon that restarts has forgotten the limit of its target, while requests
// of the whole fleet wait for it. Its peers remember the limit and tell it.
class KnownLimits {
 public:
  // Bound of the daemons that are remembered, the latest ones.
  static constexpr std::size_t kMaxDaemons = 16 * 1024;

  struct StartLimit {
    DaemonRef start;  // of the target
    double per_second = 0;

    bool operator==(const StartLimit&) const = default;
  };

  // Commands.

  // `start` of the target beside `daemon` is the current one. The limit of
  // another start ends.
  void RecordStart(const std::string& daemon, const DaemonRef& start);

  // The limit of that start, as the daemon has last reported it.
  void RecordLimit(const std::string& daemon, std::optional<double> per_second);

  // Queries.

  std::optional<StartLimit> LimitBeside(const std::string& daemon) const;
  std::size_t daemon_count() const { return this->entries.size(); }

 private:
  struct Entry {
    DaemonRef start;
    std::optional<double> per_second;
  };

  std::map<std::string, Entry> entries;  // by daemon
  std::deque<std::string> order;         // first recorded first
};

}  // namespace lycheewell::core::overload

#endif  // LYCHEEWELL_CORE_OVERLOAD_KNOWN_LIMITS_H_
