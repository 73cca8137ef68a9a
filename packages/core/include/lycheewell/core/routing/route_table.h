// Finds routes, services and accounts of one manifest.
#ifndef LYCHEEWELL_CORE_ROUTING_ROUTE_TABLE_H_
#define LYCHEEWELL_CORE_ROUTING_ROUTE_TABLE_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>

#include "lycheewell/core/manifest/manifest.h"

namespace lycheewell::core::routing {

// Immutable. Returned pointers are valid for the lifetime of the table.
class RouteTable {
 public:
  explicit RouteTable(manifest::Manifest manifest);

  RouteTable(const RouteTable&) = delete;
  RouteTable& operator=(const RouteTable&) = delete;

  // The route of `host` with the longest prefix of `path`; null when there is
  // none. Host names are compared case-insensitively and without a port.
  const manifest::Route* FindRoute(std::string_view host,
                                   std::string_view path) const;

  const manifest::Account* FindAccountByKey(std::string_view key) const;
  const manifest::Account* FindAccount(std::string_view name) const;
  const manifest::Service* FindService(std::string_view name) const;

  const manifest::Manifest& manifest() const { return this->source; }
  std::uint64_t version() const { return this->source.version; }
  bool has_accounts() const { return !this->source.accounts.empty(); }

 private:
  manifest::Manifest source;
  // Routes by host, then by path prefix.
  std::unordered_map<std::string,
                     std::unordered_map<std::string, const manifest::Route*>>
      routes_by_host;
  std::unordered_map<std::string, const manifest::Account*> accounts_by_key;
  std::unordered_map<std::string, const manifest::Account*> accounts_by_name;
  std::unordered_map<std::string, const manifest::Service*> services_by_name;
};

// Smooth weighted round-robin over a route's destinations. After any number of
// requests their shares deviate as little as possible from their weights.
class WeightedRoundRobin {
 public:
  // Returns an index into `destinations`, which must not be empty.
  std::size_t Next(const std::vector<manifest::Destination>& destinations,
                   RandomSource& random);

 private:
  std::vector<std::int64_t> current_weights;
};

}  // namespace lycheewell::core::routing

#endif  // LYCHEEWELL_CORE_ROUTING_ROUTE_TABLE_H_
