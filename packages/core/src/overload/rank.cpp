#include "lycheewell/core/overload/rank.h"

#include "lycheewell/core/digest.h"

namespace lycheewell::core::overload {

int RankOf(Importance importance, std::string_view request_id) {
  const auto within =
      static_cast<int>(StableHash(request_id) % kRanksPerImportance);
  return static_cast<int>(importance) * kRanksPerImportance + within;
}

}  // namespace lycheewell::core::overload
