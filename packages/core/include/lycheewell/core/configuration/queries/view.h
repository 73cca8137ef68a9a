// An immutable State with the indexes needed to look up keys, routes and
// members for a request.
#ifndef LYCHEEWELL_CORE_CONFIGURATION_QUERIES_VIEW_H_
#define LYCHEEWELL_CORE_CONFIGURATION_QUERIES_VIEW_H_

#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "lycheewell/core/configuration/state.h"

namespace lycheewell::core::configuration::queries {

enum class KeyStatus { kValid, kUnknown, kWithdrawn };

// `key_id` and `account` are empty if the key is unknown.
struct KeyLookup {
  KeyStatus status = KeyStatus::kUnknown;
  std::string key_id;
  std::string account;

  bool operator==(const KeyLookup&) const = default;
};

class View {
 public:
  explicit View(State state);

  const State& state() const { return this->applied_state; }

  // Looks up the keyed digest of a caller's key.
  KeyLookup FindKey(std::string_view digest) const;

  std::optional<Account> FindAccount(std::string_view account) const;

  // Returns the route with the longest matching path prefix; for equal
  // prefixes, a route for one method takes precedence over one for every
  // method. The default route has normal importance, is idempotent for GET,
  // HEAD and OPTIONS, and requires a key.
  Route FindRoute(std::string_view service, std::string_view method,
                  std::string_view path) const;

  bool IsRetired(std::string_view daemon_id) const;

  bool IsEvacuated(std::string_view data_centre) const;

  // Members whose target serves `service`, ordered by daemon id.
  const std::vector<Member>& MembersOf(std::string_view service) const;

 private:
  State applied_state;
  std::unordered_map<std::string, std::string> key_object_by_digest;
  std::map<std::string, std::vector<Route>, std::less<>> routes_by_service;
  std::map<std::string, std::vector<Member>, std::less<>> members_by_service;
};

using ViewPointer = std::shared_ptr<const View>;

}  // namespace lycheewell::core::configuration::queries

#endif  // LYCHEEWELL_CORE_CONFIGURATION_QUERIES_VIEW_H_
