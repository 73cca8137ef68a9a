#include "lycheewell/core/configuration/queries/view.h"

#include <algorithm>

#include "lycheewell/core/digest.h"

namespace lycheewell::core::configuration::queries {
namespace {

bool MatchesPrefix(std::string_view path, std::string_view prefix) {
  if (!path.starts_with(prefix)) {
    return false;
  }
  return prefix.ends_with('/') || path.size() == prefix.size() ||
         path[prefix.size()] == '/' || path[prefix.size()] == '?';
}

// Orders routes by precedence: longer prefixes first, then a specific method
// before every method.
bool IsMoreSpecific(const Route& left, const Route& right) {
  if (left.path_prefix.size() != right.path_prefix.size()) {
    return left.path_prefix.size() > right.path_prefix.size();
  }
  return !left.method.empty() && right.method.empty();
}

Route DefaultRoute(std::string_view service, std::string_view method) {
  const bool idempotent =
      method == "GET" || method == "HEAD" || method == "OPTIONS";
  return {.service = std::string(service),
          .path_prefix = "/",
          .idempotent = idempotent};
}

}  // namespace

View::View(State state) : applied_state(std::move(state)) {
  for (const auto& [name, object] : this->applied_state.objects) {
    if (const auto* key = std::get_if<Key>(&object.value)) {
      this->key_object_by_digest.emplace(key->digest, name);
    } else if (const auto* route = std::get_if<Route>(&object.value)) {
      this->routes_by_service[route->service].push_back(*route);
    }
  }
  for (auto& [service, routes] : this->routes_by_service) {
    std::stable_sort(routes.begin(), routes.end(), IsMoreSpecific);
  }
  for (const auto& [id, member] : this->applied_state.members) {
    this->members_by_service[member.service].push_back(member);
  }
}

KeyLookup View::FindKey(std::string_view digest) const {
  const auto found = this->key_object_by_digest.find(std::string(digest));
  if (found == this->key_object_by_digest.end()) {
    return {};
  }
  const auto object = this->applied_state.objects.find(found->second);
  const auto& key = std::get<Key>(object->second.value);
  if (!EqualInConstantTime(key.digest, digest)) {
    return {};
  }
  return {.status = key.withdrawn ? KeyStatus::kWithdrawn : KeyStatus::kValid,
          .key_id = std::string(ObjectName(found->second)),
          .account = key.account};
}

std::optional<Account> View::FindAccount(std::string_view account) const {
  const auto found = this->applied_state.objects.find(AccountObject(account));
  if (found == this->applied_state.objects.end()) {
    return std::nullopt;
  }
  return std::get<Account>(found->second.value);
}

Route View::FindRoute(std::string_view service, std::string_view method,
                      std::string_view path) const {
  const auto routes = this->routes_by_service.find(service);
  if (routes == this->routes_by_service.end()) {
    return DefaultRoute(service, method);
  }
  for (const Route& route : routes->second) {
    const bool method_matches = route.method.empty() || route.method == method;
    if (method_matches && MatchesPrefix(path, route.path_prefix)) {
      return route;
    }
  }
  return DefaultRoute(service, method);
}

bool View::IsRetired(std::string_view daemon_id) const {
  return this->applied_state.objects.contains(TargetObject(daemon_id));
}

bool View::IsEvacuated(std::string_view data_centre) const {
  return this->applied_state.objects.contains(EvacuationObject(data_centre));
}

const std::vector<Member>& View::MembersOf(std::string_view service) const {
  static const std::vector<Member> kNone;
  const auto found = this->members_by_service.find(service);
  return found == this->members_by_service.end() ? kNone : found->second;
}

}  // namespace lycheewell::core::configuration::queries
