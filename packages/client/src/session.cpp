#include "lycheewell/client/session.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <chrono>
#include <ctime>
#include <iostream>

#include "lycheewell/io/http/client.h"

namespace lycheewell::client {
namespace asio = boost::asio;
namespace http = io::http;
namespace json = boost::json;

namespace {

constexpr unsigned kHttpVersion = 11;
constexpr auto kTimeout = std::chrono::seconds(15);
constexpr std::int64_t kMillisecondsPerSecond = 1000;

std::variant<Answer, CallError> TurnResult(const http::ExchangeResult& result) {
  if (const auto* error = std::get_if<http::ExchangeError>(&result)) {
    return CallError{error->detail};
  }
  const auto& response = std::get<http::Response>(result);
  boost::system::error_code error;
  json::value value = json::parse(response.body(), error);
  if (error || !value.is_object()) {
    return CallError{"the daemon's answer is not a JSON object"};
  }
  return Answer{static_cast<int>(response.result_int()),
                std::move(value.get_object())};
}

}  // namespace

std::variant<Answer, CallError> Call(const Session& session,
                                     const std::string& method,
                                     const std::string& target,
                                     const std::string& body) {
  asio::io_context context;
  http::Client client(context);
  http::Request request;
  request.version(kHttpVersion);
  request.method_string(method);
  request.target(target);
  request.set(http::Field::authorization, "Bearer " + session.token);
  request.set(http::Field::content_type, "application/json");
  request.keep_alive(false);
  request.body() = body;
  http::ExchangeResult result = http::ExchangeError{};
  const http::ExchangeOptions options{.address = session.address,
                                      .timeout = kTimeout};
  asio::co_spawn(
      context, client.Exchange(std::move(request), options),
      [&](const std::exception_ptr& failure, http::ExchangeResult exchanged) {
        if (!failure) {
          result = std::move(exchanged);
        }
      });
  context.run();
  client.CloseIdle();
  return TurnResult(result);
}

ExitCode ReportProblems(const Answer& answer) {
  const std::string kind = FieldText(answer.body, "error");
  std::cerr << "refused (" << kind << "):\n";
  if (const json::value* problems = answer.body.if_contains("problems")) {
    for (const json::value& problem : problems->as_array()) {
      std::cerr << "  " << problem.as_string().c_str() << "\n";
    }
  }
  if (kind == "rejected") {
    std::cerr << "Nothing was changed. Make a new plan and look at it again.\n";
    return ExitCode::kRejected;
  }
  if (kind == "disruptive") {
    std::cerr << "Nothing was changed. Pass --accept-disruption to confirm.\n";
    return ExitCode::kDisruptive;
  }
  return ExitCode::kFailed;
}

ExitCode ReportCallError(const Session& session, const CallError& error) {
  std::cerr << "no answer from the daemon at " << session.address << ": "
            << error.detail << "\n";
  return ExitCode::kFailed;
}

std::string FormatTime(std::int64_t time_ms) {
  const std::time_t seconds = time_ms / kMillisecondsPerSecond;
  std::tm parts{};
  gmtime_r(&seconds, &parts);
  char text[32];
  std::strftime(text, sizeof text, "%Y-%m-%d %H:%M:%S UTC", &parts);
  return text;
}

std::string FieldText(const json::object& object, std::string_view field) {
  const json::value* value = object.if_contains(field);
  if (value == nullptr) {
    return {};
  }
  if (value->is_string()) {
    return {value->get_string().data(), value->get_string().size()};
  }
  return json::serialize(*value);
}

}  // namespace lycheewell::client
