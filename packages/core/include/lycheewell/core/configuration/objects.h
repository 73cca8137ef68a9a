// Value types held by State: the objects that operators configure, and the
// members and share rosters that daemons agree on through the log.
#ifndef LYCHEEWELL_CORE_CONFIGURATION_OBJECTS_H_
#define LYCHEEWELL_CORE_CONFIGURATION_OBJECTS_H_

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "lycheewell/core/types.h"

namespace lycheewell::core::configuration {

// A client account's limits, enforced across all daemons together.
struct Account {
  double rate_per_second = 0;
  double burst = 0;  // requests

  bool operator==(const Account&) const = default;
};

// A caller's API key. The key itself is not stored, only its keyed digest.
struct Key {
  std::string account;
  std::string digest;  // HMAC-SHA-256, hexadecimal
  bool withdrawn = false;

  bool operator==(const Key&) const = default;
};

// Settings for requests to one service with a given method and path prefix.
struct Route {
  std::string service;
  std::string method;       // empty: every method
  std::string path_prefix;  // within the service, begins with '/'
  Importance importance = Importance::kNormal;
  bool idempotent = false;
  bool allows_anonymous = false;  // served without a key

  bool operator==(const Route&) const = default;
};

// Takes a target out of service: it receives no new requests.
struct Retirement {
  // The operator asserts that the target's daemon has stopped for good, so
  // other daemons may reassign its shares and need not fetch its attempt
  // records.
  bool daemon_gone = false;

  bool operator==(const Retirement&) const = default;
};

// Keeps all new requests from the targets of a data centre.
struct Evacuation {
  bool operator==(const Evacuation&) const = default;
};

using ObjectValue = std::variant<Account, Key, Route, Retirement, Evacuation>;

// Who changed an object, when and why. `offset` is the position of the change
// record in the log; the object's revision is `offset` + 1.
struct ChangeMetadata {
  Offset offset = 0;
  std::string operator_name;
  std::string reason;
  std::int64_t time_ms = 0;  // since the Unix epoch, from the daemon's clock

  bool operator==(const ChangeMetadata&) const = default;
};

struct Object {
  ObjectValue value;
  ChangeMetadata last_change;

  bool operator==(const Object&) const = default;
};

// A daemon and the target beside it, as announced on the log.
struct Member {
  DaemonRef daemon;
  std::string data_centre;
  std::string service;  // empty: no target beside this daemon
  std::string callers_address;
  std::string operators_address;
  Offset joined_offset = 0;
  std::int64_t joined_time_ms = 0;  // since the Unix epoch

  bool operator==(const Member&) const = default;
};

// One of the equal parts into which an account's rate and burst are split.
struct Share {
  DaemonRef holder;
  bool released = false;  // the holder no longer uses the share

  // Balance reported by the last holder when it released the share, in
  // millionths of a token: tokens left for the next holder, and tokens on loan
  // to other daemons, which may still be spent. Known only if `handed_over`.
  bool handed_over = false;
  std::int64_t remaining_micro_tokens = 0;
  std::int64_t lent_micro_tokens = 0;

  bool operator==(const Share&) const = default;
};

// The holders of one account's shares. The number of shares is fixed, so that a
// holder with an older roster cannot use more than its part. One daemon may
// hold several shares.
struct ShareRoster {
  std::uint64_t epoch = 0;
  std::vector<Share> shares;
  // The holder whose shares are being revoked, and the offset of the
  // ShareFenced record.
  std::optional<DaemonRef> fenced_holder;
  Offset fenced_offset = 0;

  bool operator==(const ShareRoster&) const = default;
};

}  // namespace lycheewell::core::configuration

#endif  // LYCHEEWELL_CORE_CONFIGURATION_OBJECTS_H_
