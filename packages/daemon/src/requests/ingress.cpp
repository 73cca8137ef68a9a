#include "lycheewell/daemon/requests/ingress.h"

#include <algorithm>
#include <boost/algorithm/string/predicate.hpp>
#include <boost/json.hpp>
#include <charconv>

#include "lycheewell/core/digest.h"
#include "lycheewell/core/overload/rank.h"

namespace lycheewell::daemon::requests {
namespace asio = boost::asio;
namespace http = io::http;
namespace json = boost::json;

using core::configuration::Route;
using core::configuration::queries::KeyStatus;

namespace {

constexpr int kBadRequest = 400;
constexpr int kUnauthorized = 401;
constexpr int kForbidden = 403;
constexpr int kNotFound = 404;
constexpr int kTooManyRequests = 429;
constexpr int kUnavailable = 503;
constexpr std::size_t kRequestIdBytes = 12;
constexpr std::size_t kLongestIdempotencyKey = 255;
constexpr std::string_view kBearer = "Bearer ";
constexpr std::string_view kAnnouncePath = "/lycheewell/announce";
constexpr std::string_view kDrainPath = "/lycheewell/drain";
constexpr std::string_view kOwnHeaderPrefix = "Lycheewell-";

// The first segment of "/service/path?query".
std::string_view ServiceOf(std::string_view target) {
  if (!target.starts_with('/')) {
    return {};
  }
  target.remove_prefix(1);
  return target.substr(0, target.find_first_of("/?"));
}

// The path within the service, without the query.
std::string PathWithin(std::string_view target, std::string_view service) {
  std::string_view rest = target.substr(1 + service.size());
  rest = rest.substr(0, rest.find('?'));
  return rest.empty() ? "/" : std::string(rest);
}

// The caller's key, or nothing.
std::string KeyOf(const http::Request& request) {
  const std::string_view value =
      http::View(request[http::Field::authorization]);
  const bool is_bearer = boost::algorithm::istarts_with(value, kBearer);
  return is_bearer ? std::string(value.substr(kBearer.size()))
                   : std::string(value);
}

// Whether `field` stays at this daemon: credentials, daemons' own headers, and
// any field that repeats the caller's key.
bool IsWithheld(std::string_view name, std::string_view value,
                const std::string& key) {
  const bool carries_key =
      !key.empty() && value.find(key) != std::string_view::npos;
  return carries_key || IsHopByHop(name) ||
         boost::algorithm::iequals(name, "Authorization") ||
         boost::algorithm::istarts_with(name, kOwnHeaderPrefix);
}

std::string RouteKey(const Route& route) {
  return core::configuration::RouteObject(route);
}

// Counts a request while it is served.
class InFlightGuard {
 public:
  explicit InFlightGuard(std::atomic<int>& new_count) : count(new_count) {
    ++this->count;
  }
  ~InFlightGuard() { --this->count; }

  InFlightGuard(const InFlightGuard&) = delete;
  InFlightGuard& operator=(const InFlightGuard&) = delete;

 private:
  std::atomic<int>& count;
};

}  // namespace

Ingress::Ingress(Services& new_services, Router& new_router,
                 Dispatcher& new_dispatcher, TokenGate& new_tokens,
                 Hooks new_hooks)
    : services(new_services),
      router(new_router),
      dispatcher(new_dispatcher),
      tokens(new_tokens),
      hooks(std::move(new_hooks)) {}

asio::awaitable<std::optional<http::Response>> Ingress::HandleCaller(
    http::Request request, io::async::CancellationPointer cancellation) {
  const InFlightGuard guard(this->in_flight);
  const core::Instant started = Now();
  this->services.metrics.Count(metrics::Counter::kRequests);
  std::string request_id = core::RandomHex(kRequestIdBytes);
  const CallResult result =
      co_await this->ServeCaller(request, cancellation, request_id);
  this->CountResult(result);
  this->services.metrics.RecordRequest(Now() - started);
  this->services.events.Write(events::Event::kRequestAnswered,
                              {{"request", request_id},
                               {"outcome", OutcomeName(result.outcome)},
                               {"status", std::to_string(result.status)}});
  if (cancellation->IsCancelled()) {
    co_return std::nullopt;
  }
  co_return ToResponse(result, request_id);
}

asio::awaitable<CallResult> Ingress::ServeCaller(
    const http::Request& request, io::async::CancellationPointer cancellation,
    std::string& request_id) {
  if (!this->hooks.is_ready()) {
    co_return NotRun(kUnavailable, "this daemon has no configuration yet");
  }
  const std::string target(http::View(request.target()));
  const std::string service(ServiceOf(target));
  if (service.empty()) {
    co_return NotRun(kNotFound, "the path must begin with a service's name");
  }
  const auto view = this->services.tables.configuration.view();
  const Route route =
      view->FindRoute(service, http::View(request.method_string()),
                      PathWithin(target, service));
  const Identity identity = this->Identify(request, route);
  if (identity.refusal) {
    this->services.metrics.Count(metrics::Counter::kRefusedKey);
    this->services.events.Write(events::Event::kRequestRefused,
                                {{"request", request_id},
                                 {"service", service},
                                 {"reason", identity.refusal->reason}});
    co_return *identity.refusal;
  }
  auto call = this->MakeCall(request, service, route, identity.account);
  if (!call) {
    co_return NotRun(kBadRequest, "the idempotency key is empty or too long");
  }
  call->request_id = request_id;
  call->rank = core::overload::RankOf(call->importance, request_id);
  call->retry_credit = core::retry::kInitialCredit;
  if (!route.allows_anonymous) {
    const TokenDecision decision =
        co_await this->tokens.Acquire(identity.account);
    if (!decision.admitted) {
      this->services.metrics.Count(metrics::Counter::kRefusedRate);
      this->services.events.Write(events::Event::kRequestRefused,
                                  {{"request", request_id},
                                   {"account", identity.account},
                                   {"reason", "over the account's rate"}});
      CallResult refusal =
          NotRun(kTooManyRequests, "over the client account's rate");
      refusal.retry_after = decision.retry_after;
      co_return refusal;
    }
  }
  co_return co_await this->router.Route(*call, cancellation);
}

Ingress::Identity Ingress::Identify(const http::Request& request,
                                    const Route& route) {
  if (route.allows_anonymous) {
    return {};
  }
  const auto count = request.count(http::Field::authorization);
  if (count > 1) {
    return {.refusal = NotRun(kUnauthorized, "more than one key was sent")};
  }
  const std::string key = KeyOf(request);
  if (key.empty()) {
    return {.refusal = NotRun(kUnauthorized,
                              "a key is needed: send it as "
                              "'Authorization: Bearer KEY'")};
  }
  const auto view = this->services.tables.configuration.view();
  const auto lookup = view->FindKey(
      core::HmacSha256Hex(this->services.settings.fleet.key_hash_secret, key));
  if (lookup.status == KeyStatus::kUnknown) {
    return {.refusal = NotRun(kUnauthorized, "the key is not known")};
  }
  if (lookup.status == KeyStatus::kWithdrawn) {
    return {.refusal = NotRun(kUnauthorized, "the key was withdrawn")};
  }
  return {.account = lookup.account};
}

std::optional<Call> Ingress::MakeCall(const http::Request& request,
                                      std::string_view service,
                                      const Route& route,
                                      const std::string& account) {
  Call call{.account = account,
            .importance = route.importance,
            .deadline = Now() + this->TimeoutOf(request),
            .idempotent = route.idempotent,
            .route_key = RouteKey(route),
            .service = std::string(service),
            .method = std::string(http::View(request.method_string())),
            .target = std::string(http::View(request.target())),
            .body = request.body()};
  const std::string key = KeyOf(request);
  for (const auto& field : request) {
    const std::string_view name = http::View(field.name_string());
    const std::string_view value = http::View(field.value());
    if (!IsWithheld(name, value, key)) {
      call.headers.push_back({std::string(name), std::string(value)});
    }
  }
  std::string digest_input = call.account;
  digest_input += '\n' + call.method + ' ' + call.target + '\n' + call.body;
  call.fingerprint = core::Sha256Hex(digest_input);
  const auto idempotency = request.find(std::string(kIdempotencyHeader));
  if (idempotency != request.end()) {
    const std::string_view value = http::View(idempotency->value());
    if (value.empty() || value.size() > kLongestIdempotencyKey) {
      return std::nullopt;
    }
    call.idempotency_key = account + "/" + call.service + "/";
    call.idempotency_key += value;
  }
  return call;
}

core::Duration Ingress::TimeoutOf(const http::Request& request) const {
  const auto& limits = this->services.settings.limits;
  const auto field = request.find(std::string(kTimeoutHeader));
  if (field == request.end()) {
    return limits.default_timeout;
  }
  const std::string_view text = http::View(field->value());
  std::int64_t ms = 0;
  const auto [end, error] =
      std::from_chars(text.data(), text.data() + text.size(), ms);
  if (error != std::errc{} || end != text.data() + text.size() || ms <= 0) {
    return limits.default_timeout;
  }
  return std::min<core::Duration>(std::chrono::milliseconds(ms),
                                  limits.largest_timeout);
}

asio::awaitable<std::optional<http::Response>> Ingress::HandleLocal(
    http::Request request, io::async::CancellationPointer cancellation) {
  const InFlightGuard guard(this->in_flight);
  const std::string target(http::View(request.target()));
  if (target == kAnnouncePath) {
    co_return this->HandleAnnouncement(request);
  }
  if (target == kDrainPath) {
    this->dispatcher.BeginDrain();
    this->hooks.on_target_drain();
    co_return http::MakeJson(http::Status::ok, R"({"draining":true})");
  }
  std::string request_id;
  const CallResult result =
      co_await this->ServeLocalCall(request, cancellation, request_id);
  if (cancellation->IsCancelled()) {
    co_return std::nullopt;
  }
  co_return ToResponse(result, request_id);
}

asio::awaitable<CallResult> Ingress::ServeLocalCall(
    const http::Request& request, io::async::CancellationPointer cancellation,
    std::string& request_id) {
  const std::string target(http::View(request.target()));
  const std::string service(ServiceOf(target));
  if (service.empty()) {
    co_return NotRun(kNotFound, "the path must begin with a service's name");
  }
  const auto view = this->services.tables.configuration.view();
  const Route route =
      view->FindRoute(service, http::View(request.method_string()),
                      PathWithin(target, service));
  const auto context = request.find(std::string(kContextHeader));
  const std::string handle =
      context == request.end() ? "" : std::string(http::View(context->value()));
  tables::RunningRequest parent;
  int lent = 0;
  bool has_parent = false;
  {
    auto running = this->services.tables.running.Lock();
    const auto found = running->find(handle);
    if (found != running->end()) {
      has_parent = true;
      lent = found->second.credit.LendToCall();
      parent = found->second;
    }
  }
  if (!has_parent && (!handle.empty() || !route.allows_anonymous)) {
    this->services.metrics.Count(metrics::Counter::kContextsRefused);
    this->services.events.Write(events::Event::kContextRefused,
                                {{"service", service}});
    co_return NotRun(kForbidden,
                     "the context names no request that runs at this target");
  }
  auto call = this->MakeCall(request, service, route, parent.account);
  if (!call) {
    co_return NotRun(kBadRequest, "the idempotency key is empty or too long");
  }
  if (has_parent) {
    call->request_id = parent.request_id;
    call->importance = parent.importance;
    call->rank = parent.rank;
    call->deadline = std::min(call->deadline, parent.deadline);
    call->retry_credit = lent;
  } else {
    call->request_id = core::RandomHex(kRequestIdBytes);
    call->rank = core::overload::RankOf(call->importance, call->request_id);
  }
  request_id = call->request_id;
  const CallResult result = co_await this->router.Route(*call, cancellation);
  auto running = this->services.tables.running.Lock();
  const auto found = running->find(handle);
  if (found != running->end()) {
    found->second.credit.TakeBack(lent, result.unused_credit);
    if (result.outcome == Outcome::kNotRun) {
      found->second.refused_at_level =
          std::max(found->second.refused_at_level, result.admission_level);
    }
  }
  co_return result;
}

http::Response Ingress::HandleAnnouncement(const http::Request& request) {
  constexpr int kMostSlots = 100'000;
  TargetAnnouncement announcement;
  try {
    const json::value value = json::parse(request.body());
    const json::object& object = value.as_object();
    announcement.service = object.at("service").as_string().c_str();
    announcement.address = object.at("address").as_string().c_str();
    announcement.instance = object.at("instance").as_string().c_str();
    if (object.contains("slots")) {
      announcement.slots = object.at("slots").to_number<int>();
    }
  } catch (const std::exception& problem) {
    return http::MakeJson(
        http::Status::bad_request,
        json::serialize(json::object{
            {"detail", "an announcement needs service, address and instance"},
            {"problem", problem.what()}}));
  }
  announcement.slots = std::clamp(announcement.slots, 1, kMostSlots);
  if (this->dispatcher.Announce(announcement)) {
    this->hooks.on_new_service(announcement.service);
  }
  return http::MakeJson(http::Status::ok, R"({"announced":true})");
}

void Ingress::CountResult(const CallResult& result) {
  switch (result.outcome) {
    case Outcome::kRan:
      this->services.metrics.Count(metrics::Counter::kAnswersRan);
      return;
    case Outcome::kNotRun:
      this->services.metrics.Count(metrics::Counter::kAnswersNotRun);
      return;
    case Outcome::kMayHaveRun:
      this->services.metrics.Count(metrics::Counter::kAnswersMayHaveRun);
      return;
  }
}

}  // namespace lycheewell::daemon::requests
