// Starts of targets that have left, by the daemon beside them.
#ifndef LYCHEEWELL_CORE_MEMBERSHIP_RETIRED_STARTS_H_
#define LYCHEEWELL_CORE_MEMBERSHIP_RETIRED_STARTS_H_

#include <cstddef>
#include <deque>
#include <map>
#include <string>
#include <vector>

namespace lycheewell::core::membership {

// A daemon that restarts has forgotten which starts of its target have left.
// Its peers remember them and tell it.
class RetiredStarts {
 public:
  // Bounds: the latest starts of each daemon, and the daemons whose targets
  // left last.
  static constexpr std::size_t kMaxStartsPerDaemon = 4;
  static constexpr std::size_t kMaxDaemons = 16 * 1024;

  // Commands.

  void Record(const std::string& daemon, const std::string& start);

  // Queries.

  // Oldest first.
  std::vector<std::string> StartsBeside(const std::string& daemon) const;
  std::size_t daemon_count() const { return this->starts.size(); }

 private:
  std::map<std::string, std::deque<std::string>> starts;  // by daemon
  std::deque<std::string> order;  // daemons, first recorded first
};

}  // namespace lycheewell::core::membership

#endif  // LYCHEEWELL_CORE_MEMBERSHIP_RETIRED_STARTS_H_
