#include "lycheewell/daemon/settings/settings.h"

#include <boost/json.hpp>
#include <fstream>
#include <set>
#include <sstream>

#include "lycheewell/io/http/address.h"

namespace lycheewell::daemon::settings {
namespace json = boost::json;

namespace {

constexpr std::size_t kCurveKeyLength = 40;
constexpr std::size_t kSha256HexLength = 64;
constexpr std::size_t kLeastSecretLength = 16;

// Reads the fields of one object and notes what is wrong with them.
class ObjectReader {
 public:
  ObjectReader(const json::object* new_object, std::string new_path,
               Problems& new_problems)
      : object(new_object), path(std::move(new_path)), problems(new_problems) {}

  // Every field that was not asked for is unknown.
  ~ObjectReader() {
    if (this->object == nullptr) {
      return;
    }
    for (const auto& field : *this->object) {
      if (!this->known.contains(std::string(field.key()))) {
        this->Report(field.key(), "is not a known field");
      }
    }
  }

  ObjectReader(const ObjectReader&) = delete;
  ObjectReader& operator=(const ObjectReader&) = delete;

  std::string RequiredString(std::string_view field) {
    const json::value* value = this->Find(field);
    if (value == nullptr) {
      this->Report(field, "is missing");
      return {};
    }
    return this->AsString(field, *value);
  }

  std::string OptionalString(std::string_view field, std::string fallback) {
    const json::value* value = this->Find(field);
    return value == nullptr ? std::move(fallback)
                            : this->AsString(field, *value);
  }

  std::string Address(std::string_view field) {
    std::string address = this->RequiredString(field);
    if (!address.empty() && !io::http::TryParseEndpoint(address)) {
      this->Report(field, "is not an IP number and port");
    }
    return address;
  }

  std::uint64_t Number(std::string_view field, std::uint64_t fallback,
                       std::uint64_t least, std::uint64_t most) {
    const json::value* value = this->Find(field);
    if (value == nullptr) {
      return fallback;
    }
    const bool is_whole = value->is_int64() && value->get_int64() >= 0;
    const auto number =
        is_whole ? static_cast<std::uint64_t>(value->get_int64()) : 0;
    if (!is_whole || number < least || number > most) {
      this->Report(field, "is not a whole number from " +
                              std::to_string(least) + " to " +
                              std::to_string(most));
      return fallback;
    }
    return number;
  }

  std::chrono::milliseconds Milliseconds(std::string_view field,
                                         std::chrono::milliseconds fallback,
                                         std::uint64_t least,
                                         std::uint64_t most) {
    return std::chrono::milliseconds(this->Number(
        field, static_cast<std::uint64_t>(fallback.count()), least, most));
  }

  bool Flag(std::string_view field, bool fallback) {
    const json::value* value = this->Find(field);
    if (value == nullptr) {
      return fallback;
    }
    if (!value->is_bool()) {
      this->Report(field, "is not true or false");
      return fallback;
    }
    return value->get_bool();
  }

  // The object in `field`; null when it is absent or no object.
  const json::object* Object(std::string_view field, bool required) {
    const json::value* value = this->Find(field);
    if (value == nullptr) {
      if (required) {
        this->Report(field, "is missing");
      }
      return nullptr;
    }
    if (!value->is_object()) {
      this->Report(field, "is not an object");
      return nullptr;
    }
    return &value->get_object();
  }

  const json::array* Array(std::string_view field) {
    const json::value* value = this->Find(field);
    if (value == nullptr) {
      return nullptr;
    }
    if (!value->is_array()) {
      this->Report(field, "is not an array");
      return nullptr;
    }
    return &value->get_array();
  }

  void Report(std::string_view field, std::string detail) {
    this->problems.push_back({this->PathOf(field), std::move(detail)});
  }

  std::string PathOf(std::string_view field) const {
    return this->path.empty() ? std::string(field)
                              : this->path + "." + std::string(field);
  }

  Problems& all_problems() { return this->problems; }

 private:
  const json::value* Find(std::string_view field) {
    this->known.insert(std::string(field));
    return this->object == nullptr ? nullptr : this->object->if_contains(field);
  }

  std::string AsString(std::string_view field, const json::value& value) {
    if (!value.is_string()) {
      this->Report(field, "is not a string");
      return {};
    }
    return {value.get_string().data(), value.get_string().size()};
  }

  const json::object* object;
  std::string path;
  Problems& problems;
  std::set<std::string> known;
};

LogSettings ReadLog(ObjectReader& root) {
  constexpr std::uint64_t kLeastMs = 50;
  constexpr std::uint64_t kMostMs = 60'000;
  ObjectReader reader(root.Object("log", true), "log", root.all_problems());
  return {.address = reader.Address("address"),
          .timeout = reader.Milliseconds("timeout_ms", LogSettings{}.timeout,
                                         kLeastMs, kMostMs)};
}

FleetSettings ReadFleet(ObjectReader& root) {
  ObjectReader reader(root.Object("fleet", true), "fleet", root.all_problems());
  FleetSettings fleet{
      .public_key = reader.RequiredString("public_key"),
      .secret_key = reader.RequiredString("secret_key"),
      .key_hash_secret = reader.RequiredString("key_hash_secret")};
  if (fleet.public_key.size() != kCurveKeyLength) {
    reader.Report("public_key", "is not a key of 40 characters");
  }
  if (fleet.secret_key.size() != kCurveKeyLength) {
    reader.Report("secret_key", "is not a key of 40 characters");
  }
  if (fleet.key_hash_secret.size() < kLeastSecretLength) {
    reader.Report("key_hash_secret", "has fewer than 16 characters");
  }
  return fleet;
}

std::vector<OperatorAccess> ReadOperators(ObjectReader& root) {
  std::vector<OperatorAccess> operators;
  const json::array* entries = root.Array("operators");
  if (entries == nullptr) {
    return operators;
  }
  std::size_t index = 0;
  for (const json::value& entry : *entries) {
    const std::string path = "operators[" + std::to_string(index++) + "]";
    if (!entry.is_object()) {
      root.Report(path, "is not an object");
      continue;
    }
    ObjectReader reader(&entry.get_object(), path, root.all_problems());
    operators.push_back(
        {.name = reader.RequiredString("name"),
         .token_sha256 = reader.RequiredString("token_sha256")});
    if (operators.back().token_sha256.size() != kSha256HexLength) {
      reader.Report("token_sha256", "is not 64 hexadecimal digits");
    }
  }
  return operators;
}

LimitSettings ReadLimits(ObjectReader& root) {
  constexpr std::uint64_t kLeastBytes = 1024;
  constexpr std::uint64_t kMostBodyBytes = 64 * 1024 * 1024;
  constexpr std::uint64_t kMostHeaderBytes = 1024 * 1024;
  constexpr std::uint64_t kLeastHeldBytes = 1024 * 1024;
  constexpr std::uint64_t kMostHeldBytes = 1024ULL * 1024 * 1024 * 1024;
  constexpr std::uint64_t kMostTimeoutMs = 600'000;
  const LimitSettings defaults;
  ObjectReader reader(root.Object("limits", false), "limits",
                      root.all_problems());
  return {
      .body_bytes = reader.Number("body_bytes", defaults.body_bytes,
                                  kLeastBytes, kMostBodyBytes),
      .header_bytes = reader.Number("header_bytes", defaults.header_bytes,
                                    kLeastBytes, kMostHeaderBytes),
      .held_bytes = reader.Number("held_bytes", defaults.held_bytes,
                                  kLeastHeldBytes, kMostHeldBytes),
      .default_timeout = reader.Milliseconds(
          "default_timeout_ms", defaults.default_timeout, 1, kMostTimeoutMs),
      .largest_timeout = reader.Milliseconds(
          "largest_timeout_ms", defaults.largest_timeout, 1, kMostTimeoutMs)};
}

LoggingSettings ReadLogging(ObjectReader& root) {
  ObjectReader reader(root.Object("logging", false), "logging",
                      root.all_problems());
  LoggingSettings logging{
      .level = reader.OptionalString("level", LoggingSettings{}.level),
      .file = reader.OptionalString("file", {})};
  static const std::set<std::string> kLevels = {"debug", "info", "warn",
                                                "error"};
  if (!kLevels.contains(logging.level)) {
    reader.Report("level", "is none of debug, info, warn, error");
  }
  return logging;
}

Settings ReadSettings(ObjectReader& root) {
  constexpr std::uint64_t kMostWorkers = 64;
  constexpr std::uint64_t kMostDrainMs = 3'600'000;
  constexpr std::uint64_t kLeastSnapshotRecords = 10;
  constexpr std::uint64_t kMostSnapshotRecords = 1'000'000;
  const Settings defaults;
  Settings settings;
  settings.data_centre = root.RequiredString("data_centre");
  settings.callers_address = root.Address("callers_address");
  settings.local_address = root.Address("local_address");
  settings.operators_address = root.Address("operators_address");
  settings.peers_address = root.Address("peers_address");
  settings.log = ReadLog(root);
  settings.fleet = ReadFleet(root);
  settings.operators = ReadOperators(root);
  settings.limits = ReadLimits(root);
  settings.logging = ReadLogging(root);
  settings.workers = root.Number("workers", defaults.workers, 1, kMostWorkers);
  settings.drain_timeout = root.Milliseconds(
      "drain_timeout_ms", defaults.drain_timeout, 0, kMostDrainMs);
  settings.snapshot_every_records =
      root.Number("snapshot_every_records", defaults.snapshot_every_records,
                  kLeastSnapshotRecords, kMostSnapshotRecords);
  settings.test_faults = root.Flag("test_faults", false);
  return settings;
}

}  // namespace

std::variant<Settings, Problems> ParseSettings(std::string_view text) {
  json::parse_options options;
  options.allow_comments = true;
  options.allow_trailing_commas = true;
  boost::system::error_code error;
  const json::value value = json::parse(text, error, {}, options);
  if (error) {
    return Problems{{"", "is not JSON with comments: " + error.message()}};
  }
  if (!value.is_object()) {
    return Problems{{"", "is not a JSON object"}};
  }
  Problems problems;
  Settings settings;
  {
    ObjectReader root(&value.get_object(), "", problems);
    settings = ReadSettings(root);
  }
  if (!problems.empty()) {
    return problems;
  }
  return settings;
}

std::variant<Settings, Problems> LoadSettings(const std::string& path) {
  std::ifstream file(path, std::ios::binary);
  std::ostringstream text;
  text << file.rdbuf();
  if (!file) {
    return Problems{{"", "cannot read '" + path + "'"}};
  }
  return ParseSettings(text.str());
}

}  // namespace lycheewell::daemon::settings
