// Settings of a daemon that serves as a sidecar on a platform.
#ifndef LYCHEEWELL_SIDECAR_SETTINGS_H_
#define LYCHEEWELL_SIDECAR_SETTINGS_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <variant>

#include "lycheewell/core/types.h"
#include "lycheewell/daemon/settings/settings.h"

namespace lycheewell::sidecar {

// Bounds that the operators of the platform hold the system to.
struct BoundSettings {
  // A withdrawn key stops working this long after its withdrawal.
  core::Duration key_withdrawal = std::chrono::seconds(5);
  // A graceful stop may take this long.
  core::Duration stop_grace = std::chrono::seconds(6);
  // Repeats per service and window: ratio * requests + base.
  double repeat_ratio = 0.2;
  double repeat_base = 48;
  core::Duration repeat_window = std::chrono::seconds(10);
  // An account's requests in any such window: rate * window + burst.
  core::Duration account_window = std::chrono::seconds(5);

  bool operator==(const BoundSettings&) const = default;
};

struct Settings {
  std::string name;
  std::string data_centre;
  std::string address;  // IP number of this VM
  std::string clients_address;
  std::string announcements_address;
  std::string readiness_address;
  std::string target_address;
  std::string target_service;
  std::uint16_t links_port = 0;
  std::uint16_t metrics_port = 0;
  std::string store_address;
  // A target announces itself about this often.
  core::Duration announcement_period = std::chrono::milliseconds(1500);
  BoundSettings bounds;

  bool operator==(const Settings&) const = default;
};

// Whether `text` holds settings of this kind rather than those of a daemon
// with its own control path.
bool IsSidecarSettings(std::string_view text);

// Checks every field and reports all problems together. Never throws. Fields
// that are not known are passed over: platforms add fields.
std::variant<Settings, daemon::settings::Problems> ParseSettings(
    std::string_view text);

// "1500ms" or "2.5s"; empty when `text` is neither.
std::variant<core::Duration, std::string> ParseDuration(std::string_view text);

}  // namespace lycheewell::sidecar

#endif  // LYCHEEWELL_SIDECAR_SETTINGS_H_
