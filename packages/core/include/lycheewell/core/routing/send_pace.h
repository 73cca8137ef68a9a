// When the next request may go to a target that has named a share.
#ifndef LYCHEEWELL_CORE_ROUTING_SEND_PACE_H_
#define LYCHEEWELL_CORE_ROUTING_SEND_PACE_H_

#include <optional>

#include "lycheewell/core/types.h"

namespace lycheewell::core::routing {

// The first request waits for a random part of the interval, so that daemons
// that hear of the share at the same moment do not all send at once.
class SendPace {
 public:
  // Commands.

  // Whether a request may be sent now, at `per_second` on average.
  bool HasRoom(double per_second, Instant now, RandomSource& random);

  // The request that had room is sent.
  void Spend(double per_second, Instant now);

 private:
  std::optional<Instant> next;
};

}  // namespace lycheewell::core::routing

#endif  // LYCHEEWELL_CORE_ROUTING_SEND_PACE_H_
