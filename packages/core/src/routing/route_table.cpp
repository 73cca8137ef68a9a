#include "lycheewell/core/routing/route_table.h"

#include <algorithm>
#include <cctype>
#include <utility>

namespace lycheewell::core::routing {
namespace {

std::string NormalizeHost(std::string_view host) {
  const std::size_t colon = host.rfind(':');
  if (colon != std::string_view::npos && host.back() != ']') {
    host = host.substr(0, colon);
  }
  std::string normalized(host);
  std::transform(normalized.begin(), normalized.end(), normalized.begin(),
                 [](unsigned char letter) {
                   return static_cast<char>(std::tolower(letter));
                 });
  return normalized;
}

}  // namespace

RouteTable::RouteTable(manifest::Manifest manifest)
    : source(std::move(manifest)) {
  for (const manifest::Route& route : this->source.routes) {
    this->routes_by_host[NormalizeHost(route.host)].emplace(route.path_prefix,
                                                            &route);
  }
  for (const manifest::Account& account : this->source.accounts) {
    this->accounts_by_name.emplace(account.name, &account);
    for (const std::string& key : account.keys) {
      this->accounts_by_key.emplace(key, &account);
    }
  }
  for (const manifest::Service& service : this->source.services) {
    this->services_by_name.emplace(service.name, &service);
  }
}

const manifest::Route* RouteTable::FindRoute(std::string_view host,
                                             std::string_view path) const {
  const auto routes = this->routes_by_host.find(NormalizeHost(host));
  if (routes == this->routes_by_host.end()) {
    return nullptr;
  }
  // Every path prefix in the manifest ends with a slash, so only the parts of
  // `path` up to one of its slashes can match.
  std::size_t slash = path.rfind('/');
  while (slash != std::string_view::npos) {
    const auto found =
        routes->second.find(std::string(path.substr(0, slash + 1)));
    if (found != routes->second.end()) {
      return found->second;
    }
    if (slash == 0) {
      break;
    }
    slash = path.rfind('/', slash - 1);
  }
  return nullptr;
}

const manifest::Account* RouteTable::FindAccountByKey(
    std::string_view key) const {
  const auto found = this->accounts_by_key.find(std::string(key));
  return found == this->accounts_by_key.end() ? nullptr : found->second;
}

const manifest::Account* RouteTable::FindAccount(std::string_view name) const {
  const auto found = this->accounts_by_name.find(std::string(name));
  return found == this->accounts_by_name.end() ? nullptr : found->second;
}

const manifest::Service* RouteTable::FindService(std::string_view name) const {
  const auto found = this->services_by_name.find(std::string(name));
  return found == this->services_by_name.end() ? nullptr : found->second;
}

std::size_t WeightedRoundRobin::Next(
    const std::vector<manifest::Destination>& destinations,
    RandomSource& random) {
  if (destinations.size() == 1) {
    return 0;
  }
  std::int64_t total = 0;
  for (const manifest::Destination& destination : destinations) {
    total += destination.weight;
  }
  if (this->current_weights.size() != destinations.size()) {
    // Each daemon starts at a random position of the cycle, so that the daemons
    // do not all choose a destination of low weight at the same time.
    this->current_weights.assign(destinations.size(), 0);
    std::int64_t remainder = 0;
    for (std::size_t i = 0; i + 1 < this->current_weights.size() && total > 0;
         ++i) {
      this->current_weights[i] =
          static_cast<std::int64_t>(random() %
                                    static_cast<std::uint64_t>(total)) -
          total / 2;
      remainder -= this->current_weights[i];
    }
    this->current_weights.back() = remainder;
  }
  std::size_t best = 0;
  bool found = false;
  for (std::size_t i = 0; i < destinations.size(); ++i) {
    this->current_weights[i] += destinations[i].weight;
    if (destinations[i].weight > 0 &&
        (!found || this->current_weights[i] > this->current_weights[best])) {
      best = i;
      found = true;
    }
  }
  this->current_weights[best] -= total;
  return best;
}

}  // namespace lycheewell::core::routing
