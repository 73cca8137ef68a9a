// What the sidecar needs from the platform it runs on. An adapter fills these
// hooks; nothing here knows the platform's names.
#ifndef LYCHEEWELL_SIDECAR_HOOKS_H_
#define LYCHEEWELL_SIDECAR_HOOKS_H_

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "lycheewell/core/manifest/manifest.h"
#include "lycheewell/core/types.h"
#include "lycheewell/io/http/message.h"

namespace lycheewell::sidecar {

// A client's request as far as the sidecar decides on it.
struct ClientRequest {
  std::string id;
  std::string host;
  std::string method;
  std::string path_and_query;
  std::optional<core::Duration> time_limit;
  std::optional<std::string> key;
  // Headers for the target, without those of one connection, those that the
  // system sets and, except on open routes, the key.
  std::string header_lines;

  bool operator==(const ClientRequest&) const = default;
};

// Why a message could not be used.
struct Unusable {
  std::string reason;

  bool operator==(const Unusable&) const = default;
};

// What a target's answer says beyond its status and body.
struct TargetAnswer {
  bool has_not_run = false;
  bool is_wrong_instance = false;
  // The body is not the target's own bytes.
  bool is_transformed = false;
  std::string header_lines;  // for the client

  bool operator==(const TargetAnswer&) const = default;
};

enum class TargetState { kTakesWork, kLeaving, kGone };

// What a target says about itself.
struct Announcement {
  std::string instance;
  TargetState state = TargetState::kTakesWork;
  std::string service;
  std::uint32_t slots = 0;
  std::uint64_t sequence = 0;  // grows within one start of the target
  // Start of the target, Unix milliseconds; 0 when not stated.
  std::uint64_t born_ms = 0;
  core::Duration cold_for{};

  bool operator==(const Announcement&) const = default;
};

// Translates requests and answers.
struct DialectHooks {
  std::function<std::variant<ClientRequest, Unusable>(const io::http::Request&)>
      decode_request;
  // The header lines that the system adds for every target.
  std::function<std::string(std::string_view account,
                            std::string_view caller_service)>
      encode_origin;
  // The header lines for one send to one target.
  std::function<std::string(std::string_view instance,
                            core::Duration time_left)>
      encode_send;
  std::function<bool(const io::http::Response&, std::string_view request_id)>
      is_answer_to;
  std::function<TargetAnswer(const io::http::Response&)> decode_answer;
  std::function<std::variant<Announcement, Unusable>(const io::http::Request&)>
      decode_announcement;
  std::function<bool(const io::http::Request&)> is_readiness_check;
  std::function<std::variant<core::manifest::Manifest, Unusable>(
      std::string_view document)>
      decode_manifest;
};

enum class StoreErrorKind {
  kNotDone,    // the store said so, or nothing was sent
  kUnknown,    // no answer: the call may have been executed
  kForgotten,  // the records asked for are gone
};

struct StoreError {
  StoreErrorKind kind = StoreErrorKind::kNotDone;
  std::string detail;

  bool operator==(const StoreError&) const = default;
};

// The newest manifest in the store; no document when there is none or, for a
// wait, when nothing new came. `end` is where the next wait begins.
struct StoredManifest {
  std::optional<std::string> document;
  std::uint64_t end = 0;
  // False when the store holds records beyond `end`.
  bool is_caught_up = true;

  bool operator==(const StoredManifest&) const = default;
};

// A daemon's record by its key.
struct StoredMember {
  std::string key;
  std::string value;

  bool operator==(const StoredMember&) const = default;
};

template <typename Value>
using StoreCallback = std::function<void(std::variant<Value, StoreError>)>;

struct Done {
  bool operator==(const Done&) const = default;
};

// The platform's store. Calls return at once; callbacks run on the event loop.
struct StoreHooks {
  std::function<void(StoreCallback<StoredManifest>)> read_manifest;
  // Waits up to `wait` for records from `from` on.
  std::function<void(std::uint64_t from, core::Duration wait,
                     StoreCallback<StoredManifest>)>
      await_manifest;
  std::function<void(const StoredMember&, StoreCallback<Done>)> put_member;
  std::function<void(StoreCallback<std::vector<StoredMember>>)> list_members;
};

}  // namespace lycheewell::sidecar

#endif  // LYCHEEWELL_SIDECAR_HOOKS_H_
