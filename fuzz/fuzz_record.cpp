// Log records: what decodes must encode and decode to the same record, and the
// fold must take any of them.
#include <cstdlib>

#include "lycheewell/core/configuration/commands/apply_record.h"

extern "C" int LLVMFuzzerTestOneInput(const unsigned char* data,
                                      std::size_t size) {
  namespace configuration = lycheewell::core::configuration;
  const auto decoded =
      configuration::DecodeRecord({reinterpret_cast<const char*>(data), size});
  configuration::State state;
  configuration::commands::ApplyRecord(state, 0, decoded);
  const auto* record = std::get_if<configuration::Record>(&decoded);
  if (record != nullptr) {
    const auto again =
        configuration::DecodeRecord(configuration::EncodeRecord(*record));
    if (again != decoded) {
      std::abort();
    }
  }
  return 0;
}
