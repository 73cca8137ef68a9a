// The order in which requests are shed. It is the same at every daemon.
#ifndef LYCHEEWELL_CORE_OVERLOAD_RANK_H_
#define LYCHEEWELL_CORE_OVERLOAD_RANK_H_

#include <string_view>

#include "lycheewell/core/types.h"

namespace lycheewell::core::overload {

// Ranks within one importance.
inline constexpr int kRanksPerImportance = 64;
inline constexpr int kRankCount = kImportanceLevels * kRanksPerImportance;

// Returns a request's rank: its importance first, then a stable hash of the id
// of the caller's request, which all calls made for that request share.
// Requests whose rank is below a service's admission level are refused.
int RankOf(Importance importance, std::string_view request_id);

}  // namespace lycheewell::core::overload

#endif  // LYCHEEWELL_CORE_OVERLOAD_RANK_H_
