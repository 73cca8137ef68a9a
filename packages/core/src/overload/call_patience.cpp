#include "lycheewell/core/overload/call_patience.h"

namespace lycheewell::core::overload {
namespace {

// A queue that has not emptied for this many time limits of a call is standing.
constexpr int kBurstTimeLimits = 3;

}  // namespace

CallPatience PatienceOf(const CallTimes& call, Duration queue_age) {
  const Duration time_limit = call.deadline - call.offered_at;
  const bool is_burst = queue_age < kBurstTimeLimits * time_limit;
  return {.answer_by = call.is_root_known || is_burst ? call.deadline
                                                      : call.soft_deadline,
          .turn = is_burst ? call.offered_at : call.root_arrived_at};
}

bool IsWorthAnotherTry(const RefusedCall& call, Instant now) {
  return call.other_wait < call.refused_wait &&
         now + call.other_wait < call.answer_by;
}

}  // namespace lycheewell::core::overload
