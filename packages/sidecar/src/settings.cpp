#include "lycheewell/sidecar/settings.h"

#include <boost/json.hpp>
#include <charconv>
#include <cmath>
#include <initializer_list>

#include "lycheewell/core/names.h"
#include "lycheewell/io/http/address.h"

namespace lycheewell::sidecar {
namespace json = boost::json;
using daemon::settings::Problems;

namespace {

constexpr std::string_view kSection = "sidecar";

// Longer durations are rejected as mistakes.
constexpr double kMaxDurationSeconds = 86'400;

// Shorter bounds would mean reading the manifest without a pause.
constexpr core::Duration kMinManifestBound = std::chrono::milliseconds(100);

// Shorter windows cannot be divided into slices of whole milliseconds.
constexpr core::Duration kMinAccountWindow = std::chrono::milliseconds(100);
// Leaves time to learn of an evacuation and to move the work.
constexpr core::Duration kMinEvacuationBound = std::chrono::seconds(1);

// With less, single requests inside a manifest's usual limits do not fit.
constexpr std::size_t kMinHeldBytes = 1024 * 1024;

json::value ParseText(std::string_view text, boost::system::error_code& error) {
  json::parse_options options;
  options.allow_comments = true;
  options.allow_trailing_commas = true;
  return json::parse({text.data(), text.size()}, error, {}, options);
}

// Looks up fields by path and collects the problems found in them.
class Reader {
 public:
  Reader(const json::object& new_root, Problems& new_problems)
      : root(new_root), problems(new_problems) {}

  std::string Text(std::initializer_list<std::string_view> path) {
    const json::value* value = this->Find(path);
    if (value == nullptr || !value->is_string() ||
        value->get_string().empty()) {
      this->Report(path, "is missing or not a text");
      return {};
    }
    return {value->get_string().data(), value->get_string().size()};
  }

  std::string Address(std::initializer_list<std::string_view> path) {
    std::string address = this->Text(path);
    if (!address.empty() && !io::http::TryParseEndpoint(address)) {
      this->Report(path, "is not an IP number and port");
    }
    return address;
  }

  std::uint16_t Port(std::initializer_list<std::string_view> path) {
    constexpr std::int64_t kMaxPort = 65'535;
    const json::value* value = this->Find(path);
    if (value == nullptr || !value->is_int64() || value->get_int64() < 1 ||
        value->get_int64() > kMaxPort) {
      this->Report(path, "is not a port from 1 to 65535");
      return 0;
    }
    return static_cast<std::uint16_t>(value->get_int64());
  }

  core::Duration Time(std::initializer_list<std::string_view> path,
                      core::Duration fallback) {
    const json::value* value = this->Find(path);
    if (value == nullptr || value->is_null()) {
      return fallback;
    }
    if (!value->is_string()) {
      this->Report(path, "is not a time such as \"1500ms\" or \"2.5s\"");
      return fallback;
    }
    auto parsed =
        ParseDuration({value->get_string().data(), value->get_string().size()});
    if (const auto* problem = std::get_if<std::string>(&parsed)) {
      this->Report(path, *problem);
      return fallback;
    }
    return std::get<core::Duration>(parsed);
  }

  // An object with texts, which may be left out.
  std::map<std::string, std::string> Texts(
      std::initializer_list<std::string_view> path) {
    std::map<std::string, std::string> texts;
    const json::value* value = this->Find(path);
    if (value == nullptr || value->is_null()) {
      return texts;
    }
    const json::object* object = value->if_object();
    if (object == nullptr) {
      this->Report(path, "is not an object");
      return texts;
    }
    for (const auto& [name, text] : *object) {
      if (text.is_string()) {
        texts[std::string(name)] = std::string(text.get_string());
      } else {
        this->Report(path, "holds a value that is not a text");
      }
    }
    return texts;
  }

  // A port that may be left out.
  std::uint16_t PortOr(std::initializer_list<std::string_view> path,
                       std::uint16_t fallback) {
    const json::value* value = this->Find(path);
    return value == nullptr || value->is_null() ? fallback : this->Port(path);
  }

  double Number(std::initializer_list<std::string_view> path, double fallback) {
    const json::value* value = this->Find(path);
    if (value == nullptr || value->is_null()) {
      return fallback;
    }
    const double number = value->is_number() ? value->to_number<double>() : -1;
    if (number < 0) {
      this->Report(path, "is not a number of 0 or more");
      return fallback;
    }
    return number;
  }

  // A switch that is off when it is left out.
  bool Switch(std::initializer_list<std::string_view> path) {
    const json::value* value = this->Find(path);
    if (value == nullptr || value->is_null()) {
      return false;
    }
    if (!value->is_bool()) {
      this->Report(path, "is not true or false");
      return false;
    }
    return value->get_bool();
  }

 private:
  const json::value* Find(std::initializer_list<std::string_view> path) const {
    const json::object* object = &this->root;
    const json::value* value = nullptr;
    for (const std::string_view name : path) {
      value = object == nullptr
                  ? nullptr
                  : object->if_contains({name.data(), name.size()});
      object = value == nullptr ? nullptr : value->if_object();
    }
    return value;
  }

  void Report(std::initializer_list<std::string_view> path,
              std::string detail) {
    std::string name(kSection);
    for (const std::string_view part : path) {
      name += "." + std::string(part);
    }
    this->problems.push_back({name, std::move(detail)});
  }

  const json::object& root;
  Problems& problems;
};

}  // namespace

std::variant<core::Duration, std::string> ParseDuration(std::string_view text) {
  const std::string problem = "is not a time such as \"1500ms\" or \"2.5s\"";
  double factor = 1;
  if (text.ends_with("ms")) {
    text.remove_suffix(2);
    factor = 0.001;
  } else if (text.ends_with("s")) {
    text.remove_suffix(1);
  } else {
    return problem;
  }
  double number = 0;
  const auto [end, error] =
      std::from_chars(text.data(), text.data() + text.size(), number);
  const double seconds = number * factor;
  if (error != std::errc() || end != text.data() + text.size() ||
      !std::isfinite(seconds) || seconds < 0 || seconds > kMaxDurationSeconds) {
    return problem;
  }
  return std::chrono::duration_cast<core::Duration>(
      std::chrono::duration<double>(seconds));
}

bool IsSidecarSettings(std::string_view text) {
  boost::system::error_code error;
  const json::value value = ParseText(text, error);
  const json::object* root = error ? nullptr : value.if_object();
  return root != nullptr && root->contains({kSection.data(), kSection.size()});
}

std::variant<Settings, Problems> ParseSettings(std::string_view text) {
  Problems problems;
  boost::system::error_code error;
  const json::value value = ParseText(text, error);
  if (error) {
    return Problems{{"", "is not JSON: " + error.message()}};
  }
  const json::object* root = value.if_object();
  const json::value* section =
      root == nullptr ? nullptr
                      : root->if_contains({kSection.data(), kSection.size()});
  if (section == nullptr || !section->is_object()) {
    return Problems{{std::string(kSection), "is missing or not an object"}};
  }
  Reader reader(section->get_object(), problems);
  const BoundSettings defaults;
  const std::uint16_t links_port = reader.Port({"links_port"});
  Settings settings{
      .name = reader.Text({"name"}),
      .data_centre = reader.Text({"data_centre"}),
      .address = reader.Text({"address"}),
      .clients_address = reader.Address({"clients_address"}),
      .announcements_address = reader.Address({"announcements_address"}),
      .readiness_address = reader.Address({"readiness_address"}),
      .target_address = reader.Address({"target", "address"}),
      .target_service = reader.Text({"target", "service"}),
      .links_port = links_port,
      .advertised_links_port =
          reader.PortOr({"advertised_links_port"}, links_port),
      .metrics_port = reader.Port({"metrics_port"}),
      .store_address = reader.Address({"store", "address"}),
      .regions = reader.Texts({"regions"}),
      .announcement_period = reader.Time({"target", "announcement_period"},
                                         Settings().announcement_period),
      .limits = {.held_bytes = static_cast<std::size_t>(reader.Number(
                     {"limits", "held_bytes"},
                     static_cast<double>(LimitSettings().held_bytes)))},
      .bounds = {.manifest_adoption =
                     reader.Time({"bounds", "manifest_adoption"},
                                 defaults.manifest_adoption),
                 .key_withdrawal = reader.Time({"bounds", "key_withdrawal"},
                                               defaults.key_withdrawal),
                 .stop_grace =
                     reader.Time({"bounds", "stop_grace"}, defaults.stop_grace),
                 .repeat_ratio = reader.Number({"bounds", "repeat_ratio"},
                                               defaults.repeat_ratio),
                 .repeat_base = reader.Number({"bounds", "repeat_base"},
                                              defaults.repeat_base),
                 .repeat_window = reader.Time({"bounds", "repeat_window"},
                                              defaults.repeat_window),
                 .account_window = reader.Time({"bounds", "account_window"},
                                               defaults.account_window),
                 .evacuation = reader.Time({"bounds", "evacuation"},
                                           defaults.evacuation)},
      .admission = {.patient_calls =
                        reader.Switch({"admission", "patient_calls"}),
                    .fast_entry = reader.Switch({"admission", "fast_entry"}),
                    .account_turns =
                        reader.Switch({"admission", "account_turns"}),
                    .returns = reader.Switch({"admission", "returns"})},
      .routes_by_cost = reader.Switch({"routing", "by_cost"})};
  if (settings.limits.held_bytes < kMinHeldBytes) {
    problems.push_back({"sidecar.limits.held_bytes", "is less than 1048576"});
  }
  if (settings.bounds.manifest_adoption < kMinManifestBound) {
    problems.push_back(
        {"sidecar.bounds.manifest_adoption", "is shorter than 100ms"});
  }
  if (settings.bounds.key_withdrawal < kMinManifestBound) {
    problems.push_back(
        {"sidecar.bounds.key_withdrawal", "is shorter than 100ms"});
  }
  if (settings.bounds.account_window < kMinAccountWindow) {
    problems.push_back(
        {"sidecar.bounds.account_window", "is shorter than 100ms"});
  }
  if (settings.bounds.evacuation > core::Duration::zero() &&
      settings.bounds.evacuation < kMinEvacuationBound) {
    problems.push_back({"sidecar.bounds.evacuation", "is shorter than 1s"});
  }
  if (!settings.address.empty() &&
      !io::http::TryParseEndpoint(settings.address + ":1")) {
    problems.push_back({"sidecar.address", "is not an IP number"});
  }
  // Peers reject other names, and a slash separates the parts of a record's
  // key.
  if (!settings.name.empty() &&
      (!core::IsName(settings.name) ||
       settings.name.find('/') != std::string::npos)) {
    problems.push_back(
        {"sidecar.name", "has a slash, control characters or over 255 bytes"});
  }
  if (!settings.data_centre.empty() && !core::IsName(settings.data_centre)) {
    problems.push_back(
        {"sidecar.data_centre", "has control characters or over 255 bytes"});
  }
  if (!problems.empty()) {
    return problems;
  }
  return settings;
}

}  // namespace lycheewell::sidecar
