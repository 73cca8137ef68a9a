// The number of file descriptors that this process may have open.
#ifndef LYCHEEWELL_SIDECAR_DESCRIPTOR_LIMIT_H_
#define LYCHEEWELL_SIDECAR_DESCRIPTOR_LIMIT_H_

#include <cstddef>

namespace lycheewell::sidecar {

std::size_t DescriptorLimit();

}  // namespace lycheewell::sidecar

#endif  // LYCHEEWELL_SIDECAR_DESCRIPTOR_LIMIT_H_
