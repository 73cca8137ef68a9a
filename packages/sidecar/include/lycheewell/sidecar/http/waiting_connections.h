// The connections of a server that wait for their clients.
#ifndef LYCHEEWELL_SIDECAR_HTTP_WAITING_CONNECTIONS_H_
#define LYCHEEWELL_SIDECAR_HTTP_WAITING_CONNECTIONS_H_

#include <cstddef>
#include <map>
#include <optional>
#include <set>
#include <utility>

#include "lycheewell/core/types.h"

namespace lycheewell::sidecar::http {

class ServerConnection;

// Connections in the order in which they began to wait.
class WaitingConnections {
 public:
  // Commands.

  // Has no effect on a connection that waits already.
  void Add(ServerConnection* connection, core::Instant since) {
    if (this->since_when.emplace(connection, since).second) {
      this->by_age.emplace(since, connection);
    }
  }
  void Remove(ServerConnection* connection) {
    const auto found = this->since_when.find(connection);
    if (found != this->since_when.end()) {
      this->by_age.erase({found->second, connection});
      this->since_when.erase(found);
    }
  }

  // Queries.

  std::size_t size() const { return this->since_when.size(); }

  // Visits the `limit` that have waited longest, the oldest one first.
  template <typename Visitor>
  void VisitOldest(std::size_t limit, Visitor visit) const {
    for (const auto& [since, connection] : this->by_age) {
      if (limit-- == 0) {
        break;
      }
      visit(*connection);
    }
  }

  // How long the oldest one has waited.
  std::optional<core::Duration> longest_wait(core::Instant now) const {
    return this->by_age.empty()
               ? std::nullopt
               : std::optional(now - this->by_age.begin()->first);
  }

 private:
  std::set<std::pair<core::Instant, ServerConnection*>> by_age;
  std::map<ServerConnection*, core::Instant> since_when;
};

}  // namespace lycheewell::sidecar::http

#endif  // LYCHEEWELL_SIDECAR_HTTP_WAITING_CONNECTIONS_H_
