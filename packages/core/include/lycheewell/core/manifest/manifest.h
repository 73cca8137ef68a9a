// The configuration of routes, services and client accounts, as one
// immutable value.
#ifndef LYCHEEWELL_CORE_MANIFEST_MANIFEST_H_
#define LYCHEEWELL_CORE_MANIFEST_MANIFEST_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "lycheewell/core/types.h"

namespace lycheewell::core::manifest {

// A service that receives a part of a route's requests, in proportion to its
// weight.
struct Destination {
  std::string service;
  std::uint32_t weight = 1;

  bool operator==(const Destination&) const = default;
};

struct Route {
  std::string name;
  std::string host;
  std::string path_prefix;  // begins and ends with a slash
  bool is_idempotent = false;
  bool has_large_bodies = false;  // requests upload files
  bool allows_anonymous = false;  // served without a client account's key
  Duration timeout{};             // zero: no timeout
  Duration latency_target{};      // zero: none
  int priority = 0;               // 0 is the highest
  int max_attempts = 1;  // maximum number of targets that a request is sent to
  std::vector<Destination> destinations;
  // Regions where the requests may go; empty: anywhere.
  std::vector<std::string> homes;

  bool operator==(const Route&) const = default;
};

struct Service {
  std::string name;
  std::string health_path;
  std::uint32_t max_connections = 0;  // per target; 0: not specified
  // A target is cold for this long after its start. Meanwhile all daemons
  // together send it at most the rate; 0: no limit.
  Duration cold_duration{};
  double cold_rate_per_second = 0;

  bool operator==(const Service&) const = default;
};

struct Account {
  std::string name;
  std::vector<std::string> keys;
  std::optional<int> priority;
  double rate_per_second = 0;  // 0: no limit
  double burst = 0;
  // Like those of a route; where both name regions, both bind.
  std::vector<std::string> homes;

  bool operator==(const Account&) const = default;
};

// Size and time limits for client requests.
struct ClientLimits {
  std::uint32_t header_bytes = 16 * 1024;
  std::uint64_t body_bytes = 1024 * 1024;
  Duration header_timeout = std::chrono::seconds(3);
  Duration idle_timeout = std::chrono::seconds(15);

  bool operator==(const ClientLimits&) const = default;
};

struct Manifest {
  std::uint64_t version = 0;
  std::vector<Route> routes;
  std::vector<Service> services;
  std::vector<Account> accounts;
  ClientLimits limits;

  bool operator==(const Manifest&) const = default;
};

}  // namespace lycheewell::core::manifest

#endif  // LYCHEEWELL_CORE_MANIFEST_MANIFEST_H_
