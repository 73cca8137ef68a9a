// Decides whether a server takes another connection from its clients.
#ifndef LYCHEEWELL_CORE_OVERLOAD_CONNECTION_ADMISSION_H_
#define LYCHEEWELL_CORE_OVERLOAD_CONNECTION_ADMISSION_H_

#include <cstddef>
#include <optional>

#include "lycheewell/core/types.h"

namespace lycheewell::core::overload {

// What a daemon needs file descriptors for, beside the connections of clients.
struct DescriptorNeeds {
  std::size_t limit = 0;  // of the process
  std::size_t peers = 0;
  std::size_t target_slots = 0;

  bool operator==(const DescriptorNeeds&) const = default;
};

// Bounds of a server's open connections.
struct ConnectionBounds {
  // Up to here each connection is taken.
  std::size_t usual = 0;
  // Beyond `usual` and up to here, the requests of connections are refused.
  std::size_t most = 0;

  bool operator==(const ConnectionBounds&) const = default;
};

// Clients get the descriptors that the daemon itself does not need: without
// its own ones it reads no manifest and reaches neither peers nor its target.
ConnectionBounds ClientConnectionBounds(const DescriptorNeeds& needs);

// Bounds of at most `most` connections.
ConnectionBounds LimitTo(const ConnectionBounds& bounds, std::size_t most);

// Connections that a server takes from one address without giving up another
// one of that address, so that a crowd behind it leaves room for others.
std::size_t AddressShare(const ConnectionBounds& bounds);

// The connections that a server holds.
struct ConnectionUse {
  std::size_t open = 0;
  // How long the oldest one has had no request, if there is such a one.
  std::optional<Duration> idle_for;
  // How long the oldest request that is not complete has been arriving.
  std::optional<Duration> arriving_for;
  // How long the oldest answer that is not read has waited for its client.
  std::optional<Duration> unread_for;
  // Connections of the new one's address.
  std::size_t of_address = 0;

  bool operator==(const ConnectionUse&) const = default;
};

enum class ConnectionDecision {
  kTake,
  kReplaceIdle,      // close the oldest idle connection for it
  kReplaceArriving,  // close the one with the oldest incomplete request for it
  kReplaceUnread,    // close the one with the oldest unread answer for it
  kTakeToRefuse,     // take it and refuse its request
  kWait,             // leave it unaccepted until another one ends
};

ConnectionDecision DecideConnection(const ConnectionBounds& bounds,
                                    const ConnectionUse& use);

}  // namespace lycheewell::core::overload

#endif  // LYCHEEWELL_CORE_OVERLOAD_CONNECTION_ADMISSION_H_
