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
    this->by_host[NormalizeHost(route.host)].emplace(route.path_prefix, &route);
  }
  for (const manifest::Account& account : this->source.accounts) {
    this->by_account.emplace(account.name, &account);
    for (const std::string& key : account.keys) {
      this->by_key.emplace(key, &account);
    }
  }
  for (const manifest::Service& service : this->source.services) {
    this->by_service.emplace(service.name, &service);
  }
}

const manifest::Route* RouteTable::FindRoute(std::string_view host,
                                             std::string_view path) const {
  const auto routes = this->by_host.find(NormalizeHost(host));
  if (routes == this->by_host.end()) {
    return nullptr;
  }
  // Prefixes end with a slash, so only the path's own slashes can end one.
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
  const auto found = this->by_key.find(std::string(key));
  return found == this->by_key.end() ? nullptr : found->second;
}

const manifest::Account* RouteTable::FindAccount(std::string_view name) const {
  const auto found = this->by_account.find(std::string(name));
  return found == this->by_account.end() ? nullptr : found->second;
}

const manifest::Service* RouteTable::FindService(std::string_view name) const {
  const auto found = this->by_service.find(std::string(name));
  return found == this->by_service.end() ? nullptr : found->second;
}

std::size_t WeightedTurns::Next(
    const std::vector<manifest::Destination>& destinations,
    RandomSource& random) {
  if (destinations.size() == 1) {
    return 0;
  }
  std::int64_t total = 0;
  for (const manifest::Destination& destination : destinations) {
    total += destination.weight;
  }
  if (this->credit.size() != destinations.size()) {
    // Daemons start at random positions, so that they do not all give the
    // small shares at the same moment.
    this->credit.assign(destinations.size(), 0);
    std::int64_t rest = 0;
    for (std::size_t i = 0; i + 1 < this->credit.size() && total > 0; ++i) {
      this->credit[i] = static_cast<std::int64_t>(
                            random() % static_cast<std::uint64_t>(total)) -
                        total / 2;
      rest -= this->credit[i];
    }
    this->credit.back() = rest;
  }
  std::size_t best = 0;
  bool found = false;
  for (std::size_t i = 0; i < destinations.size(); ++i) {
    this->credit[i] += destinations[i].weight;
    if (destinations[i].weight > 0 &&
        (!found || this->credit[i] > this->credit[best])) {
      best = i;
      found = true;
    }
  }
  this->credit[best] -= total;
  return best;
}

}  // namespace lycheewell::core::routing
