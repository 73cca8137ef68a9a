// What the operators' commands and queries use.
#ifndef LYCHEEWELL_DAEMON_OPERATORS_OPERATORS_CONTEXT_H_
#define LYCHEEWELL_DAEMON_OPERATORS_OPERATORS_CONTEXT_H_

#include <string>

#include "lycheewell/daemon/agreement/follower.h"
#include "lycheewell/daemon/membership/gossip.h"
#include "lycheewell/daemon/requests/dispatcher.h"
#include "lycheewell/daemon/services.h"
#include "lycheewell/io/http/message.h"

namespace lycheewell::daemon::operators {

struct OperatorsContext {
  Services& services;
  agreement::Follower& follower;
  membership::Gossip& gossip;
  requests::Dispatcher& dispatcher;
};

// One authenticated request of an operator.
struct OperatorRequest {
  std::string operator_name;
  io::http::Target target;
  std::string body;

  bool operator==(const OperatorRequest&) const = default;
};

// {"error": kind, "problems": [...]}.
io::http::Response MakeError(io::http::Status status, const std::string& kind,
                             const std::vector<std::string>& problems);

// How far the live daemons have followed the log.
struct Spread {
  std::size_t daemons = 0;
  std::size_t in_force = 0;
  std::vector<std::string> laggards;
  std::vector<core::DaemonRef> unheard;  // the laggards but this daemon

  bool operator==(const Spread&) const = default;
};

// At how many live daemons the record at `offset` is in force.
Spread MeasureSpread(OperatorsContext& context, core::Offset offset);

}  // namespace lycheewell::daemon::operators

#endif  // LYCHEEWELL_DAEMON_OPERATORS_OPERATORS_CONTEXT_H_
