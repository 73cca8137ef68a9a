#include "lycheewell/daemon/requests/call.h"

#include <algorithm>
#include <array>
#include <boost/algorithm/string/predicate.hpp>
#include <boost/json.hpp>

namespace lycheewell::daemon::requests {
namespace {

namespace http = io::http;

constexpr int kMillisecondsPerSecond = 1000;

http::Response MakeProblem(const CallResult& result) {
  const auto status = static_cast<http::Status>(result.status);
  const auto title = boost::beast::http::obsolete_reason(status);
  const boost::json::object problem{
      {"type", "about:blank"},
      {"title", std::string_view(title.data(), title.size())},
      {"status", result.status},
      {"detail", result.reason},
      {"outcome", OutcomeName(result.outcome)}};
  return http::MakeResponse(status, "application/problem+json",
                            boost::json::serialize(problem));
}

}  // namespace

std::string_view OutcomeName(Outcome outcome) {
  switch (outcome) {
    case Outcome::kRan:
      return "ran";
    case Outcome::kNotRun:
      return "not-run";
    case Outcome::kMayHaveRun:
      return "may-have-run";
  }
  return "may-have-run";
}

CallResult NotRun(int status, std::string reason) {
  return {.outcome = Outcome::kNotRun,
          .status = status,
          .reason = std::move(reason)};
}

CallResult MayHaveRun(int status, std::string reason) {
  return {.outcome = Outcome::kMayHaveRun,
          .status = status,
          .reason = std::move(reason)};
}

bool IsHopByHop(std::string_view name) {
  static constexpr std::array<std::string_view, 10> kNames = {
      "Connection",
      "Keep-Alive",
      "Proxy-Authenticate",
      "TE",
      "Proxy-Authorization",
      "Trailer",
      "Upgrade",
      "Transfer-Encoding",
      "Content-Length",
      "Proxy-Connection"};
  return std::any_of(kNames.begin(), kNames.end(), [&](std::string_view known) {
    return boost::algorithm::iequals(known, name);
  });
}

http::Response ToResponse(const CallResult& result,
                          const std::string& request_id) {
  http::Response response;
  if (result.outcome == Outcome::kRan) {
    response.result(static_cast<unsigned>(result.status));
    for (const HeaderField& header : result.headers) {
      if (!IsHopByHop(header.name)) {
        response.insert(header.name, header.value);
      }
    }
    response.body() = result.body;
    response.prepare_payload();
  } else {
    response = MakeProblem(result);
  }
  const std::string_view outcome = OutcomeName(result.outcome);
  response.set(std::string(kOutcomeHeader), std::string(outcome));
  response.set(std::string(kRequestIdHeader), request_id);
  if (result.retry_after.count() > 0) {
    const auto seconds =
        (result.retry_after.count() + kMillisecondsPerSecond - 1) /
        kMillisecondsPerSecond;
    response.set(http::Field::retry_after, std::to_string(seconds));
  }
  return response;
}

peers::Forward ToForward(const Call& call, core::Instant now) {
  const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(
      call.deadline - now);
  peers::Forward forward;
  forward.set_request_id(call.request_id);
  forward.set_attempt_id(call.attempt_id);
  forward.set_account(call.account);
  forward.set_importance(static_cast<std::uint32_t>(call.importance));
  forward.set_rank(static_cast<std::uint32_t>(call.rank));
  forward.set_timeout_ms(
      static_cast<std::uint64_t>(std::max<std::int64_t>(0, left.count())));
  forward.set_retry_credit(call.retry_credit);
  forward.set_service(call.service);
  forward.set_method(call.method);
  forward.set_target(call.target);
  for (const HeaderField& header : call.headers) {
    peers::Header* added = forward.add_headers();
    added->set_name(header.name);
    added->set_value(header.value);
  }
  forward.set_body(call.body);
  forward.set_fingerprint(call.fingerprint);
  forward.set_idempotency_key(call.idempotency_key);
  forward.set_route_key(call.route_key);
  return forward;
}

Call FromForward(const peers::Forward& forward, core::Instant now) {
  const auto highest = static_cast<std::uint32_t>(core::Importance::kCritical);
  Call call{.request_id = forward.request_id(),
            .account = forward.account(),
            .importance = static_cast<core::Importance>(
                std::min(forward.importance(), highest)),
            .rank = static_cast<int>(forward.rank()),
            .deadline = now + std::chrono::milliseconds(forward.timeout_ms()),
            .retry_credit = forward.retry_credit(),
            .route_key = forward.route_key(),
            .service = forward.service(),
            .method = forward.method(),
            .target = forward.target(),
            .body = forward.body(),
            .fingerprint = forward.fingerprint(),
            .idempotency_key = forward.idempotency_key(),
            .attempt_id = forward.attempt_id()};
  for (const peers::Header& header : forward.headers()) {
    call.headers.push_back({header.name(), header.value()});
  }
  return call;
}

peers::ForwardAnswer ToForwardAnswer(const CallResult& result) {
  peers::ForwardAnswer answer;
  switch (result.outcome) {
    case Outcome::kRan:
      answer.set_outcome(peers::OUTCOME_RAN);
      break;
    case Outcome::kNotRun:
      answer.set_outcome(peers::OUTCOME_NOT_RUN);
      break;
    case Outcome::kMayHaveRun:
      answer.set_outcome(peers::OUTCOME_MAY_HAVE_RUN);
      break;
  }
  answer.set_status(static_cast<std::uint32_t>(result.status));
  for (const HeaderField& header : result.headers) {
    peers::Header* added = answer.add_headers();
    added->set_name(header.name);
    added->set_value(header.value);
  }
  answer.set_body(result.body);
  answer.set_reason(result.reason);
  answer.set_other_target_may_help(result.other_target_may_help);
  answer.set_admission_level(
      static_cast<std::uint32_t>(std::max(0, result.admission_level)));
  answer.set_unused_credit(result.unused_credit);
  answer.set_retry_after_ms(
      static_cast<std::uint32_t>(result.retry_after.count()));
  return answer;
}

CallResult FromForwardAnswer(const peers::ForwardAnswer& answer) {
  CallResult result{
      .outcome = Outcome::kMayHaveRun,
      .status = static_cast<int>(answer.status()),
      .body = answer.body(),
      .reason = answer.reason(),
      .other_target_may_help = answer.other_target_may_help(),
      .admission_level = static_cast<int>(answer.admission_level()),
      .unused_credit = answer.unused_credit(),
      .retry_after = std::chrono::milliseconds(answer.retry_after_ms())};
  if (answer.outcome() == peers::OUTCOME_RAN) {
    result.outcome = Outcome::kRan;
  } else if (answer.outcome() == peers::OUTCOME_NOT_RUN) {
    result.outcome = Outcome::kNotRun;
  }
  for (const peers::Header& header : answer.headers()) {
    result.headers.push_back({header.name(), header.value()});
  }
  return result;
}

}  // namespace lycheewell::daemon::requests
