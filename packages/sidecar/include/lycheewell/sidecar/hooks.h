// Interface between the sidecar and the platform that it runs on. An adapter
// implements these hooks; the sidecar is independent of the platform's names.
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
#include "lycheewell/core/membership/evacuations.h"
#include "lycheewell/core/types.h"
#include "lycheewell/io/http/message.h"

namespace lycheewell::sidecar {

// The parts of a client's request that the sidecar uses.
struct ClientRequest {
  std::string id;
  std::string host;
  std::string method;
  std::string path_and_query;
  std::optional<core::Duration> time_limit;
  std::optional<std::string> key;
  // Headers to forward to the target: without hop-by-hop headers, those that
  // the system sets and, except on open routes, the key.
  std::string header_lines;

  bool operator==(const ClientRequest&) const = default;
};

// Why a message could not be decoded.
struct Unusable {
  std::string reason;

  bool operator==(const Unusable&) const = default;
};

// What a target's response says besides its status and body.
struct TargetAnswer {
  bool has_not_run = false;
  bool is_wrong_instance = false;
  // The body differs from the bytes that the target sent.
  bool is_transformed = false;
  // The target leaves: it wants no more requests.
  bool is_leaving = false;
  // Requests per second that the target takes from all daemons together, as
  // long as its answers say so; not negative.
  std::optional<double> limit_per_second;
  // A limit is named, but cannot be read; the text, for the log.
  std::optional<std::string> unreadable_limit;
  std::string header_lines;  // for the client

  bool operator==(const TargetAnswer&) const = default;
};

// A target's response to a health check.
struct HealthAnswer {
  bool is_healthy = false;
  std::string instance;  // empty if it is not named
  // How much longer the target is cold; nothing if that is unknown.
  std::optional<core::Duration> cold_for;

  bool operator==(const HealthAnswer&) const = default;
};

enum class TargetState { kTakesWork, kLeaving, kGone };

// A target's report of its own state.
struct Announcement {
  std::string instance;
  TargetState state = TargetState::kTakesWork;
  std::string service;
  std::uint32_t slots = 0;
  std::uint64_t sequence = 0;  // increases until the target restarts
  // Start time of the target in Unix milliseconds; 0 when unknown.
  std::uint64_t born_ms = 0;
  core::Duration cold_for{};

  bool operator==(const Announcement&) const = default;
};

// Decodes and encodes the platform's HTTP messages.
struct DialectHooks {
  std::function<std::variant<ClientRequest, Unusable>(const io::http::Request&)>
      decode_request;
  // Header lines that identify the caller, the same for every target.
  std::function<std::string(std::string_view account,
                            std::string_view caller_service)>
      encode_origin;
  // Header lines for one attempt at one target.
  std::function<std::string(std::string_view instance,
                            core::Duration time_left)>
      encode_send;
  std::function<bool(const io::http::Response&, std::string_view request_id)>
      is_answer_to;
  std::function<TargetAnswer(const io::http::Response&)> decode_answer;
  std::function<std::variant<Announcement, Unusable>(const io::http::Request&)>
      decode_announcement;
  std::function<HealthAnswer(const io::http::Response&)> decode_health;
  std::function<bool(const io::http::Request&)> is_readiness_check;
  std::function<std::variant<core::manifest::Manifest, Unusable>(
      std::string_view document)>
      decode_manifest;
};

enum class StoreErrorKind {
  kNotExecuted,  // the store refused the call, or nothing was sent
  kUnknown,      // no response: the call may have been executed
  kRecordsGone,  // the store no longer has the requested records
};

struct StoreError {
  StoreErrorKind kind = StoreErrorKind::kNotExecuted;
  std::string detail;

  bool operator==(const StoreError&) const = default;
};

// The newest manifest in the store. `document` is empty when there is none or
// when a long poll returned nothing new. `next_offset` is where the next long
// poll starts.
struct StoredManifest {
  std::optional<std::string> document;
  std::uint64_t next_offset = 0;
  // False when the store holds records at or after `next_offset`.
  bool is_caught_up = true;
  // The evacuations in the same records; its end is `next_offset`.
  core::membership::EvacuationRead evacuations;
  std::size_t unreadable_records = 0;

  bool operator==(const StoredManifest&) const = default;
};

// A record of the fleet in the store. The newest one of each key counts.
struct StoredRecord {
  std::string key;
  std::string value;  // empty: the key is dropped

  bool operator==(const StoredRecord&) const = default;
};

struct StoredRecords {
  std::vector<StoredRecord> records;
  std::size_t unreadable = 0;

  bool operator==(const StoredRecords&) const = default;
};

template <typename Value>
using StoreCallback = std::function<void(std::variant<Value, StoreError>)>;

struct Done {
  bool operator==(const Done&) const = default;
};

// The platform's store. Calls do not block; callbacks run on the event loop.
struct StoreHooks {
  std::function<void(StoreCallback<StoredManifest>)> read_manifest;
  // Long-polls for up to `wait` for records at or after offset `from`.
  std::function<void(std::uint64_t from, core::Duration wait,
                     StoreCallback<StoredManifest>)>
      await_manifest;
  // Writes all of the records or none.
  std::function<void(const std::vector<StoredRecord>&, StoreCallback<Done>)>
      put_records;
  // Records that cannot be read are left out.
  std::function<void(StoreCallback<StoredRecords>)> list_records;
};

}  // namespace lycheewell::sidecar

#endif  // LYCHEEWELL_SIDECAR_HOOKS_H_
