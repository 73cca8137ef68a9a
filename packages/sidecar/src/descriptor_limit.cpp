#include "lycheewell/sidecar/descriptor_limit.h"

#include <sys/resource.h>

#include <algorithm>

namespace lycheewell::sidecar {
namespace {

// Used if the system states no limit.
constexpr rlim_t kMaxDescriptors = 64 * 1024;

}  // namespace

std::size_t DescriptorLimit() {
  rlimit limit{};
  if (getrlimit(RLIMIT_NOFILE, &limit) != 0) {
    return kMaxDescriptors;
  }
  return std::min(limit.rlim_cur, kMaxDescriptors);
}

}  // namespace lycheewell::sidecar
