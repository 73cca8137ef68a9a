// Names of starts of targets, as daemons tell them to each other and keep them
// in the platform's store.
#ifndef LYCHEEWELL_CORE_MEMBERSHIP_START_NAME_H_
#define LYCHEEWELL_CORE_MEMBERSHIP_START_NAME_H_

#include <optional>
#include <string>
#include <string_view>

#include "lycheewell/core/types.h"

namespace lycheewell::core::membership {

// "INSTANCE@BORN", with the time of birth in Unix milliseconds.
std::string StartName(const DaemonRef& start);

// Nothing if `name` is not such a name or its instance is not as in
// IsInstanceName.
std::optional<DaemonRef> ParseStartName(std::string_view name);

}  // namespace lycheewell::core::membership

#endif  // LYCHEEWELL_CORE_MEMBERSHIP_START_NAME_H_
