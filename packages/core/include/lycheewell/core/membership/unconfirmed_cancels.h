// Cancels of calls that a peer may not have received.
#ifndef LYCHEEWELL_CORE_MEMBERSHIP_UNCONFIRMED_CANCELS_H_
#define LYCHEEWELL_CORE_MEMBERSHIP_UNCONFIRMED_CANCELS_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <vector>

#include "lycheewell/core/types.h"

namespace lycheewell::core::membership {

// A cancel is lost if the link it was sent on is silent or closed. It is kept
// until the peer has answered something that was sent after it, so that it can
// be sent again on the next link.
class UnconfirmedCancels {
 public:
  // The time limits of calls are shorter, apart from a few.
  static constexpr Duration kMaxAge = std::chrono::seconds(30);
  // Bound for one peer; the oldest cancels go first.
  static constexpr std::size_t kMaxPerPeer = 4 * 1024;

  // Commands.

  void Record(const std::string& peer, std::uint64_t call_id, Instant now);

  // The peer has received all that was sent to it before `sent_at`.
  void Confirm(const std::string& peer, Instant sent_at);

  // The unconfirmed cancels to `peer`, which now count as sent at `now`.
  std::vector<std::uint64_t> SendAgain(const std::string& peer, Instant now);

  void Forget(const std::string& peer) { this->cancels.erase(peer); }

 private:
  struct Entry {
    std::uint64_t call_id = 0;
    Instant cancelled_at;
    Instant sent_at;
  };

  // By peer, in the order of sending.
  std::map<std::string, std::deque<Entry>> cancels;
};

}  // namespace lycheewell::core::membership

#endif  // LYCHEEWELL_CORE_MEMBERSHIP_UNCONFIRMED_CANCELS_H_
