#include "lycheewell/sidecar/clock.h"

#include <time.h>

namespace lycheewell::sidecar {

core::Instant Now() {
  timespec now{};
  clock_gettime(CLOCK_BOOTTIME, &now);
  return core::Instant(std::chrono::seconds(now.tv_sec) +
                       std::chrono::nanoseconds(now.tv_nsec));
}

std::uint64_t ClockMicroseconds() {
  return static_cast<std::uint64_t>(
      std::chrono::duration_cast<std::chrono::microseconds>(
          Now().time_since_epoch())
          .count());
}

}  // namespace lycheewell::sidecar
