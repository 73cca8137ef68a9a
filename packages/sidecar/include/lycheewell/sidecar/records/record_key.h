// Keys of the records that a daemon writes beside its own member.
#ifndef LYCHEEWELL_SIDECAR_RECORDS_RECORD_KEY_H_
#define LYCHEEWELL_SIDECAR_RECORDS_RECORD_KEY_H_

#include <optional>
#include <string>
#include <string_view>

namespace lycheewell::sidecar::records {

// The key of such a record, "KIND/DAEMON/ID". The keys of members have no
// slash.
struct RecordKey {
  std::string kind;
  std::string daemon;
  std::string id;

  bool operator==(const RecordKey&) const = default;
};

std::string EncodeKey(const RecordKey& key);
// Empty for the key of a member.
std::optional<RecordKey> DecodeKey(std::string_view key);

}  // namespace lycheewell::sidecar::records

#endif  // LYCHEEWELL_SIDECAR_RECORDS_RECORD_KEY_H_
