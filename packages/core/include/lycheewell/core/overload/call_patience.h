// How long a call of a running request waits for a slot, and its turn among
// calls of the same rank.
#ifndef LYCHEEWELL_CORE_OVERLOAD_CALL_PATIENCE_H_
#define LYCHEEWELL_CORE_OVERLOAD_CALL_PATIENCE_H_

#include "lycheewell/core/types.h"

namespace lycheewell::core::overload {

// A call that a target makes while it runs a request.
struct CallTimes {
  Instant offered_at;  // to the daemon beside the called target
  // The caller gives up then.
  Instant deadline;
  // Its route's latency target ends then.
  Instant soft_deadline;
  // Arrival of the client request that the call serves, or of the call itself
  // if the request is not known.
  Instant root_arrived_at;
  bool is_root_known = false;

  bool operator==(const CallTimes&) const = default;
};

// Refusing a call ends the request that waits for it and wastes all work done
// for it, so a call waits for as long as its caller can use the answer. In a
// burst, calls take turns by arrival, so that all of them wait a little. In a
// queue that has stood for several times the call's own time limit, every one
// of the calls that a request makes one after the other waits, and some
// requests must not end. The oldest client request goes first there, so that
// old requests finish and young ones, which have used little, do not begin. A
// call whose request is not known does not wait longer than its latency target
// there: otherwise all requests would end too late instead of some.
struct CallPatience {
  Instant answer_by;  // an answer is of use until then
  Instant turn;       // the earliest goes first among calls of one rank

  bool operator==(const CallPatience&) const = default;
};
// `queue_age` is the time since the target's queue was last empty.
CallPatience PatienceOf(const CallTimes& call, Duration queue_age);

// A call that a full target has refused, and the best of the other targets.
struct RefusedCall {
  Instant answer_by;
  // Expected waits: as named by the refusal, and at the other target.
  Duration refused_wait{};
  Duration other_wait{};

  bool operator==(const RefusedCall&) const = default;
};

// Whether the other target is worth a try: the call waits less there, and not
// for too long.
bool IsWorthAnotherTry(const RefusedCall& call, Instant now);

}  // namespace lycheewell::core::overload

#endif  // LYCHEEWELL_CORE_OVERLOAD_CALL_PATIENCE_H_
