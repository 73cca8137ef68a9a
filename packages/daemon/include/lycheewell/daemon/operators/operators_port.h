// The operators' port: authentication and the way to commands and queries.
#ifndef LYCHEEWELL_DAEMON_OPERATORS_OPERATORS_PORT_H_
#define LYCHEEWELL_DAEMON_OPERATORS_OPERATORS_PORT_H_

#include <boost/asio/awaitable.hpp>
#include <chrono>
#include <map>
#include <optional>
#include <string>

#include "lycheewell/daemon/operators/operators_context.h"

namespace lycheewell::daemon::operators {

// What tests do to the messages to and from peers, by peer address; "*" stands
// for every peer.
using FaultTable = tables::Guarded<std::map<std::string, peers::Fault>>;

class OperatorsPort {
 public:
  OperatorsPort(OperatorsContext context, FaultTable& faults);

  boost::asio::awaitable<std::optional<io::http::Response>> Handle(
      io::http::Request request, io::async::CancellationPointer cancellation);

 private:
  std::optional<std::string> Authenticate(const io::http::Request& request);
  io::http::Response SetFaults(const std::string& body);

  OperatorsContext context;
  FaultTable& faults;
};

}  // namespace lycheewell::daemon::operators

#endif  // LYCHEEWELL_DAEMON_OPERATORS_OPERATORS_PORT_H_
