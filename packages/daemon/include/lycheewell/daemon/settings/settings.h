// A daemon's settings: one JSON file with comments, checked as a whole.
#ifndef LYCHEEWELL_DAEMON_SETTINGS_SETTINGS_H_
#define LYCHEEWELL_DAEMON_SETTINGS_SETTINGS_H_

#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace lycheewell::daemon::settings {

struct OperatorAccess {
  std::string name;
  std::string token_sha256;  // hexadecimal

  bool operator==(const OperatorAccess&) const = default;
};

struct LogSettings {
  std::string address;
  std::chrono::milliseconds timeout{2000};

  bool operator==(const LogSettings&) const = default;
};

// Secrets that all daemons of a fleet share.
struct FleetSettings {
  std::string public_key;       // CURVE, Z85 text
  std::string secret_key;       // CURVE, Z85 text
  std::string key_hash_secret;  // keys the digests of callers' keys

  bool operator==(const FleetSettings&) const = default;
};

struct LimitSettings {
  std::uint64_t body_bytes = 1024 * 1024;
  std::uint64_t header_bytes = 16 * 1024;
  // Memory for connections, requests and answers of callers and targets.
  std::uint64_t held_bytes = 64 * 1024 * 1024;
  std::chrono::milliseconds default_timeout{10'000};
  std::chrono::milliseconds largest_timeout{60'000};

  bool operator==(const LimitSettings&) const = default;
};

struct LoggingSettings {
  std::string level = "info";
  std::string file;  // empty: standard error

  bool operator==(const LoggingSettings&) const = default;
};

struct Settings {
  std::string data_centre;
  std::string callers_address;
  std::string local_address;
  std::string operators_address;
  std::string peers_address;
  LogSettings log;
  FleetSettings fleet;
  std::vector<OperatorAccess> operators;
  LimitSettings limits;
  LoggingSettings logging;
  std::uint64_t workers = 2;
  std::chrono::milliseconds drain_timeout{30'000};
  std::uint64_t snapshot_every_records = 500;
  bool test_faults = false;

  bool operator==(const Settings&) const = default;
};

// One thing that is wrong, for example {"log.address", "is missing"}.
struct Problem {
  std::string path;
  std::string detail;

  bool operator==(const Problem&) const = default;
};

using Problems = std::vector<Problem>;

// Checks every field and reports all problems together. Never throws.
std::variant<Settings, Problems> ParseSettings(std::string_view text);

// Reads and parses the file at `path`.
std::variant<Settings, Problems> LoadSettings(const std::string& path);

}  // namespace lycheewell::daemon::settings

#endif  // LYCHEEWELL_DAEMON_SETTINGS_SETTINGS_H_
