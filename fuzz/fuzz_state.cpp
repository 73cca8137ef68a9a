// Whole states, as snapshots and peers send them.
#include <cstdlib>

#include "lycheewell/core/configuration/state.h"

extern "C" int LLVMFuzzerTestOneInput(const unsigned char* data,
                                      std::size_t size) {
  namespace configuration = lycheewell::core::configuration;
  const auto decoded =
      configuration::DecodeState({reinterpret_cast<const char*>(data), size});
  const auto* state = std::get_if<configuration::State>(&decoded);
  if (state != nullptr) {
    const std::string text = configuration::EncodeState(*state);
    const auto again = configuration::DecodeState(text);
    if (configuration::EncodeState(std::get<configuration::State>(again)) !=
        text) {
      std::abort();
    }
  }
  return 0;
}
