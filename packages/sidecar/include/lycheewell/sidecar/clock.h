// The clock of the sidecar.
#ifndef LYCHEEWELL_SIDECAR_CLOCK_H_
#define LYCHEEWELL_SIDECAR_CLOCK_H_

#include "lycheewell/core/types.h"

namespace lycheewell::sidecar {

// Time since the VM booted, including the time for which it was suspended: a
// time limit, grant or proof must not outlive a suspension.
core::Instant Now();

// The same time in microseconds, for messages to peers.
std::uint64_t ClockMicroseconds();

}  // namespace lycheewell::sidecar

#endif  // LYCHEEWELL_SIDECAR_CLOCK_H_
