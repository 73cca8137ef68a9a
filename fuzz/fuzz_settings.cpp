// Settings files.
#include "lycheewell/daemon/settings/settings.h"

extern "C" int LLVMFuzzerTestOneInput(const unsigned char* data,
                                      std::size_t size) {
  lycheewell::daemon::settings::ParseSettings(
      {reinterpret_cast<const char*>(data), size});
  return 0;
}
