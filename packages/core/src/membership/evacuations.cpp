#include "lycheewell/core/membership/evacuations.h"

namespace lycheewell::core::membership {

Evacuations AfterRead(const Evacuations& known, const EvacuationRead& read,
                      bool keeps_missing) {
  if (read.end < known.proven_at) {
    return known;
  }
  Evacuations next{.proven_at = read.end};
  const bool is_new_era = read.end.era > known.proven_at.era;
  if (!read.is_complete || (is_new_era && keeps_missing)) {
    next.data_centres = known.data_centres;
  }
  for (const EvacuationRecord& record : read.records) {
    if (record.is_evacuated) {
      next.data_centres.insert(record.data_centre);
    } else {
      next.data_centres.erase(record.data_centre);
    }
  }
  return next;
}

Evacuations Merge(const Evacuations& first, const Evacuations& second) {
  if (first.proven_at != second.proven_at) {
    return first.proven_at < second.proven_at ? second : first;
  }
  Evacuations both = first;
  both.data_centres.insert(second.data_centres.begin(),
                           second.data_centres.end());
  return both;
}

}  // namespace lycheewell::core::membership
