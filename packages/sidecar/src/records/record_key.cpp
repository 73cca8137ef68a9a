#include "lycheewell/sidecar/records/record_key.h"

namespace lycheewell::sidecar::records {

std::string EncodeKey(const RecordKey& key) {
  return key.kind + "/" + key.daemon + "/" + key.id;
}

std::optional<RecordKey> DecodeKey(std::string_view key) {
  const std::size_t kind_end = key.find('/');
  if (kind_end == std::string_view::npos) {
    return std::nullopt;
  }
  const std::size_t daemon_end = key.find('/', kind_end + 1);
  if (daemon_end == std::string_view::npos) {
    return std::nullopt;
  }
  return RecordKey{.kind = std::string(key.substr(0, kind_end)),
                   .daemon = std::string(
                       key.substr(kind_end + 1, daemon_end - kind_end - 1)),
                   .id = std::string(key.substr(daemon_end + 1))};
}

}  // namespace lycheewell::sidecar::records
