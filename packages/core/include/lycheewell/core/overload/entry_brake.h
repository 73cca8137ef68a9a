// How much of a service's slots the entry plans with while its queues are long.
#ifndef LYCHEEWELL_CORE_OVERLOAD_ENTRY_BRAKE_H_
#define LYCHEEWELL_CORE_OVERLOAD_ENTRY_BRAKE_H_

#include "lycheewell/core/types.h"

namespace lycheewell::core::overload {

// Queues are looked at in this period, several times between two reports of the
// demand.
inline constexpr Duration kBrakePeriod = std::chrono::milliseconds(200);

// Returns the fraction of a service's throughput to admit work for. `wait` is
// the time in which its slots work off what waits for them. The rest of the
// throughput shortens the queue. A short queue is left, so that no slot idles.
double BrakeFactor(Duration wait);

}  // namespace lycheewell::core::overload

#endif  // LYCHEEWELL_CORE_OVERLOAD_ENTRY_BRAKE_H_
