// A read-only view of one State with the indexes that requests need.
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

// The account of a caller's key that is in force, or why there is none.
enum class KeyStanding { kValid, kUnknown, kWithdrawn };

struct KeyLookup {
  KeyStanding standing = KeyStanding::kUnknown;
  std::string key_id;
  std::string account;

  bool operator==(const KeyLookup&) const = default;
};

class View {
 public:
  explicit View(State state);

  const State& state() const { return this->folded; }

  // Looks up the keyed digest of a caller's key.
  KeyLookup FindKey(std::string_view digest) const;

  std::optional<Account> FindAccount(std::string_view account) const;

  // The route with the longest matching path prefix; a route that names the
  // method goes before one for every method. Without a match: normal
  // importance, idempotent for GET, HEAD and OPTIONS, not open.
  Route FindRoute(std::string_view service, std::string_view method,
                  std::string_view path) const;

  bool IsRetired(std::string_view daemon_id) const;

  // Members whose target serves `service`, in the order of their ids.
  const std::vector<Member>& MembersOf(std::string_view service) const;

 private:
  State folded;
  std::unordered_map<std::string, std::string> key_object_by_digest;
  std::map<std::string, std::vector<Route>, std::less<>> routes_by_service;
  std::map<std::string, std::vector<Member>, std::less<>> members_by_service;
};

using ViewPointer = std::shared_ptr<const View>;

}  // namespace lycheewell::core::configuration::queries

#endif  // LYCHEEWELL_CORE_CONFIGURATION_QUERIES_VIEW_H_
