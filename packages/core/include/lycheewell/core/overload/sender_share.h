// The part of a target's rate that each daemon should send.
#ifndef LYCHEEWELL_CORE_OVERLOAD_SENDER_SHARE_H_
#define LYCHEEWELL_CORE_OVERLOAD_SENDER_SHARE_H_

#include <cstddef>
#include <cstdint>

#include "lycheewell/core/types.h"

namespace lycheewell::core::overload {

// Explicit rate control: the daemon beside the target names one share for all.
// Daemons that send less than their share leave room, which raises it; requests
// beyond the rate lower it. So the shares are max-min fair without a list of
// the senders. The share keeps refusals few; it does not protect the target.
class SenderShare {
 public:
  // Commands.

  // `daemons` may send to a target that takes `per_second` from all of them.
  void Start(double per_second, std::size_t daemons, Instant now);

  // A request has arrived, whether it is admitted or not.
  void CountOffered() { ++this->offered; }

  // Call several times a second. The share follows `per_second` at once.
  void Update(double per_second, std::size_t daemons, Instant now);

  // Queries.

  // Requests per second that one daemon should send at most.
  double per_second() const { return this->share; }

 private:
  double share = 0;
  double rate = 0;            // for which the share was computed
  std::uint64_t offered = 0;  // since `updated_at`
  Instant updated_at;
};

}  // namespace lycheewell::core::overload

#endif  // LYCHEEWELL_CORE_OVERLOAD_SENDER_SHARE_H_
