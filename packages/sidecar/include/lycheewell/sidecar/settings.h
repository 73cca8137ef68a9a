// Settings of a daemon that runs as a sidecar.
#ifndef LYCHEEWELL_SIDECAR_SETTINGS_H_
#define LYCHEEWELL_SIDECAR_SETTINGS_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <variant>

#include "lycheewell/core/types.h"
#include "lycheewell/daemon/settings/settings.h"

namespace lycheewell::sidecar {

// Limits that the platform requires the system to keep.
struct BoundSettings {
  // A new manifest must be in force everywhere within this time.
  core::Duration manifest_adoption = std::chrono::seconds(2);
  // A withdrawn key must stop working within this time.
  core::Duration key_withdrawal = std::chrono::seconds(5);
  // Maximum duration of a graceful stop.
  core::Duration stop_grace = std::chrono::seconds(6);
  // Maximum retries per service and window: ratio * requests + base.
  double repeat_ratio = 0.2;
  double repeat_base = 48;
  core::Duration repeat_window = std::chrono::seconds(10);
  // Maximum requests of an account in any such window: rate * window + burst.
  core::Duration account_window = std::chrono::seconds(5);
  // An evacuated data centre gets no more requests after this time. Zero:
  // evacuations are not asked for, and their records have no effect.
  core::Duration evacuation{};

  bool operator==(const BoundSettings&) const = default;
};

// Limits of what clients can make the daemon hold.
struct LimitSettings {
  // Memory for requests and answers of clients, of all servers together. The
  // default suits a VM of 160 MB.
  std::size_t held_bytes = 64ULL * 1024 * 1024;

  bool operator==(const LimitSettings&) const = default;
};

// Optional parts of the admission control. All are off unless the settings ask
// for them.
struct AdmissionSettings {
  // Calls of running requests wait for as long as their callers do.
  bool patient_calls = false;
  // The entry follows the queues of the targets, not only the demand.
  bool fast_entry = false;
  // Client accounts share the room of a route by their rates.
  bool account_turns = false;
  // Refused requests are told spread times, and go first when they come back
  // then.
  bool returns = false;

  bool operator==(const AdmissionSettings&) const = default;
};

struct Settings {
  std::string name;
  std::string data_centre;
  std::string address;  // IP address of this VM
  std::string clients_address;
  std::string announcements_address;
  std::string readiness_address;
  std::string target_address;
  std::string target_service;
  std::uint16_t links_port = 0;
  // The port at which other daemons reach `links_port`.
  std::uint16_t advertised_links_port = 0;
  std::uint16_t metrics_port = 0;
  std::string store_address;
  // Region of each data centre. A request with homes goes to no data centre
  // that is not listed.
  std::map<std::string, std::string> regions;
  // Approximate time between two announcements of a target.
  core::Duration announcement_period = std::chrono::milliseconds(1500);
  LimitSettings limits;
  BoundSettings bounds;
  AdmissionSettings admission;
  // Requests are routed and admitted by the work that they are expected to
  // need.
  bool routes_by_cost = false;

  bool operator==(const Settings&) const = default;
};

// Whether `text` holds sidecar settings, not those of a daemon with its own
// control path.
bool IsSidecarSettings(std::string_view text);

// Checks every field and reports all problems together. Never throws. Ignores
// unknown fields, because platforms add their own.
std::variant<Settings, daemon::settings::Problems> ParseSettings(
    std::string_view text);

// Parses a duration such as "1500ms" or "2.5s". Returns a description of the
// problem when `text` is not one.
std::variant<core::Duration, std::string> ParseDuration(std::string_view text);

}  // namespace lycheewell::sidecar

#endif  // LYCHEEWELL_SIDECAR_SETTINGS_H_
