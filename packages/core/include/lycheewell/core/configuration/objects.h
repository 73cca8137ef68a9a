// The objects that operators configure, and the members and share rosters that
// daemons agree on. All are immutable values held by State.
#ifndef LYCHEEWELL_CORE_CONFIGURATION_OBJECTS_H_
#define LYCHEEWELL_CORE_CONFIGURATION_OBJECTS_H_

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "lycheewell/core/types.h"

namespace lycheewell::core::configuration {

// A client account's limits over the whole fleet.
struct Account {
  double rate_per_second = 0;
  double burst = 0;  // requests

  bool operator==(const Account&) const = default;
};

// A caller's key. Only its keyed digest is stored.
struct Key {
  std::string account;
  std::string digest;  // HMAC-SHA-256, hexadecimal
  bool withdrawn = false;

  bool operator==(const Key&) const = default;
};

// How requests of one method and path prefix of one service are treated.
struct Route {
  std::string service;
  std::string method;       // empty: every method
  std::string path_prefix;  // within the service, begins with '/'
  Importance importance = Importance::kNormal;
  bool idempotent = false;
  bool open = false;  // needs no key

  bool operator==(const Route&) const = default;
};

// An operator's wish that a target takes no more work.
struct Retirement {
  // The operator states that the target's daemon runs no more, so that what it
  // held may be given to others.
  bool gone = false;

  bool operator==(const Retirement&) const = default;
};

using ObjectValue = std::variant<Account, Key, Route, Retirement>;

// Who changed an object, when and why. `offset` is the record's position in
// the log and serves as the object's revision.
struct ChangeNote {
  Offset offset = 0;
  std::string operator_name;
  std::string reason;
  std::int64_t time_ms = 0;  // since the Unix epoch, by the daemon's clock

  bool operator==(const ChangeNote&) const = default;
};

struct Object {
  ObjectValue value;
  ChangeNote note;

  bool operator==(const Object&) const = default;
};

// A daemon and the target beside it, as announced on the log.
struct Member {
  DaemonRef daemon;
  std::string data_centre;
  std::string service;  // empty: no target beside this daemon
  std::string callers_address;
  std::string operators_address;
  Offset joined_at = 0;
  std::int64_t joined_ms = 0;  // since the Unix epoch

  bool operator==(const Member&) const = default;
};

// One equal part of an account's rate and burst.
struct Share {
  DaemonRef holder;
  bool released = false;  // the holder said that it no longer uses the share

  // What the share's last holder left behind when it released it, in millionths
  // of a token: tokens for the next holder, and tokens lent to others that may
  // still be spent. Unknown unless `handed_over`.
  bool handed_over = false;
  std::int64_t level = 0;
  std::int64_t lent = 0;

  bool operator==(const Share&) const = default;
};

// Who holds the shares of one account. The number of shares never changes, so
// that a holder with an older roster cannot use more than its part; one daemon
// may hold several.
struct ShareRoster {
  std::uint64_t epoch = 0;
  std::vector<Share> shares;
  // A holder that is to lose its shares, and the fence record's offset.
  std::optional<DaemonRef> fenced;
  Offset fenced_at = 0;

  bool operator==(const ShareRoster&) const = default;
};

}  // namespace lycheewell::core::configuration

#endif  // LYCHEEWELL_CORE_CONFIGURATION_OBJECTS_H_
