#include "lycheewell/core/overload/connection_admission.h"

#include <algorithm>

namespace lycheewell::core::overload {
namespace {

// Descriptors for files, timers, signals, listeners, the servers for the
// platform and the target, and the store's client.
constexpr std::size_t kOwnDescriptors = 192;

// Platforms keep some descriptors of the limit for files: this fraction.
constexpr std::size_t kFilesDivisor = 20;

// One link each way, and one that is being replaced.
constexpr std::size_t kDescriptorsPerPeer = 3;

// A connection in use, and an idle or abandoned one.
constexpr std::size_t kDescriptorsPerSlot = 2;

// Clients get at least this fraction of the limit, however low it is.
constexpr std::size_t kLeastDivisor = 4;

// Connections whose requests are refused, as a fraction of the others.
constexpr std::size_t kRefusedDivisor = 8;

// Connections that one address leaves to others, as a fraction of all.
constexpr std::size_t kOthersDivisor = 8;

// A new client's request is usually on its way: its connection is not replaced
// earlier.
constexpr Duration kMinIdleTime = std::chrono::milliseconds(250);
constexpr Duration kMinArrivalTime = std::chrono::milliseconds(500);

// Clients on slow networks accept an answer's next bytes within this time.
constexpr Duration kMinUnreadTime = std::chrono::seconds(1);

}  // namespace

ConnectionBounds ClientConnectionBounds(const DescriptorNeeds& needs) {
  const std::size_t own = kOwnDescriptors + needs.limit / kFilesDivisor +
                          kDescriptorsPerPeer * needs.peers +
                          kDescriptorsPerSlot * needs.target_slots;
  const std::size_t most =
      std::max<std::size_t>({needs.limit > own ? needs.limit - own : 0,
                             needs.limit / kLeastDivisor, 2});
  return LimitTo({.usual = most, .most = most}, most);
}

ConnectionBounds LimitTo(const ConnectionBounds& bounds, std::size_t most) {
  const std::size_t all = std::min(bounds.most, std::max<std::size_t>(2, most));
  return {.usual = std::min(bounds.usual, all - std::max<std::size_t>(
                                                    1, all / kRefusedDivisor)),
          .most = all};
}

std::size_t AddressShare(const ConnectionBounds& bounds) {
  return bounds.usual - bounds.usual / kOthersDivisor;
}

ConnectionDecision DecideConnection(const ConnectionBounds& bounds,
                                    const ConnectionUse& use) {
  if (use.open < bounds.usual && use.of_address < AddressShare(bounds)) {
    return ConnectionDecision::kTake;
  }
  if (use.idle_for && *use.idle_for >= kMinIdleTime) {
    return ConnectionDecision::kReplaceIdle;
  }
  if (use.arriving_for && *use.arriving_for >= kMinArrivalTime) {
    return ConnectionDecision::kReplaceArriving;
  }
  if (use.unread_for && *use.unread_for >= kMinUnreadTime) {
    return ConnectionDecision::kReplaceUnread;
  }
  return use.open < bounds.most ? ConnectionDecision::kTakeToRefuse
                                : ConnectionDecision::kWait;
}

}  // namespace lycheewell::core::overload
