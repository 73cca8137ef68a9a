// One request on its way to a target, and how it ended.
#ifndef LYCHEEWELL_DAEMON_REQUESTS_CALL_H_
#define LYCHEEWELL_DAEMON_REQUESTS_CALL_H_

#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "lycheewell/core/types.h"
#include "lycheewell/io/http/message.h"
#include "messages.pb.h"

namespace lycheewell::daemon::requests {

struct HeaderField {
  std::string name;
  std::string value;

  bool operator==(const HeaderField&) const = default;
};

// Headers that daemons add or read.
inline constexpr std::string_view kContextHeader = "Lycheewell-Context";
inline constexpr std::string_view kOutcomeHeader = "Lycheewell-Outcome";
inline constexpr std::string_view kRequestIdHeader = "Lycheewell-Request-Id";
inline constexpr std::string_view kAccountHeader = "Lycheewell-Account";
inline constexpr std::string_view kTimeoutHeader = "Lycheewell-Timeout-Ms";
inline constexpr std::string_view kReplayedHeader = "Lycheewell-Replayed";
inline constexpr std::string_view kIdempotencyHeader = "Idempotency-Key";

struct Call {
  std::string request_id;  // of the caller's request, shared by all its calls
  std::string account;     // empty on open routes
  core::Importance importance = core::Importance::kNormal;
  int rank = 0;
  core::Instant deadline;
  int retry_credit = 0;
  bool idempotent = false;
  std::string route_key;  // names the route for admission levels
  std::string service;
  std::string method;
  std::string target;  // path and query
  std::vector<HeaderField> headers;
  std::string body;
  std::string fingerprint;      // digest of account, method, path and body
  std::string idempotency_key;  // account, service and key; empty without one
  std::string attempt_id;       // of the one attempt that a key may have

  bool operator==(const Call&) const = default;
};

enum class Outcome {
  kRan,         // the target gave a whole answer
  kNotRun,      // no target can have started the request
  kMayHaveRun,  // handed over without a whole answer
};

std::string_view OutcomeName(Outcome outcome);

struct CallResult {
  Outcome outcome = Outcome::kNotRun;
  int status = 503;
  std::vector<HeaderField> headers;
  std::string body;
  std::string reason;  // without a whole answer: why, for people
  bool other_target_may_help = false;
  int admission_level = 0;  // of the route at the target's daemon
  int unused_credit = 0;
  std::chrono::milliseconds retry_after{0};

  bool operator==(const CallResult&) const = default;
};

CallResult NotRun(int status, std::string reason);
CallResult MayHaveRun(int status, std::string reason);

// The answer for the caller: the target's own, or problem details.
io::http::Response ToResponse(const CallResult& result,
                              const std::string& request_id);

peers::Forward ToForward(const Call& call, core::Instant now);
Call FromForward(const peers::Forward& forward, core::Instant now);
peers::ForwardAnswer ToForwardAnswer(const CallResult& result);
CallResult FromForwardAnswer(const peers::ForwardAnswer& answer);

// Headers that end at one connection and are never passed on.
bool IsHopByHop(std::string_view name);

}  // namespace lycheewell::daemon::requests

#endif  // LYCHEEWELL_DAEMON_REQUESTS_CALL_H_
