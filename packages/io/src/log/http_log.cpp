#include "lycheewell/io/log/http_log.h"

#include <boost/json.hpp>

namespace lycheewell::io::log {
namespace asio = boost::asio;
namespace json = boost::json;

namespace {

using OptionsPointer = std::shared_ptr<const HttpLogOptions>;

constexpr unsigned kHttpVersion = 11;

std::uint64_t ReadOffset(const json::object& object, std::string_view field) {
  return object.at(field).to_number<std::uint64_t>();
}

ReadResult DecodeBatch(const std::string& body) {
  try {
    const json::value value = json::parse(body);
    const json::object& object = value.as_object();
    LogBatch batch{.first = ReadOffset(object, "first"),
                   .end = ReadOffset(object, "end")};
    std::uint64_t offset = ReadOffset(object, "from");
    for (const json::value& record : object.at("records").as_array()) {
      const json::string& text = record.as_string();
      batch.records.push_back({offset++, {text.data(), text.size()}});
    }
    return batch;
  } catch (const std::exception& problem) {
    return LogError{LogErrorKind::kRefused, problem.what()};
  }
}

AppendResult DecodeAppend(const std::string& body) {
  try {
    return ReadOffset(json::parse(body).as_object(), "offset");
  } catch (const std::exception& problem) {
    return LogError{LogErrorKind::kUnknown, problem.what()};
  }
}

LogError TurnError(const http::ExchangeError& error) {
  const bool was_sent = error.kind != http::ExchangeErrorKind::kNotConnected;
  return {was_sent ? LogErrorKind::kUnknown : LogErrorKind::kUnreachable,
          error.detail};
}

asio::awaitable<ReadResult> Read(std::shared_ptr<http::Client> client,
                                 OptionsPointer options, std::uint64_t from,
                                 std::size_t limit,
                                 std::chrono::milliseconds wait) {
  const std::string target = "/records?from=" + std::to_string(from) +
                             "&limit=" + std::to_string(limit) +
                             "&wait_ms=" + std::to_string(wait.count());
  http::Request request{http::Verb::get, target, kHttpVersion};
  constexpr std::size_t kLargestBatch = 64 * 1024 * 1024;
  const http::ExchangeOptions exchange{.address = options->address,
                                       .timeout = options->timeout + wait,
                                       .body_limit = kLargestBatch};
  auto result = co_await client->Exchange(std::move(request), exchange);
  if (const auto* error = std::get_if<http::ExchangeError>(&result)) {
    co_return TurnError(*error);
  }
  const auto& response = std::get<http::Response>(result);
  if (response.result() != http::Status::ok) {
    co_return LogError{LogErrorKind::kRefused,
                       "status " + std::to_string(response.result_int())};
  }
  co_return DecodeBatch(response.body());
}

asio::awaitable<AppendResult> Append(std::shared_ptr<http::Client> client,
                                     OptionsPointer options, std::string body) {
  http::Request request{http::Verb::post, "/records", kHttpVersion};
  request.set(http::Field::content_type, "application/json");
  request.body() = std::move(body);
  const http::ExchangeOptions exchange{.address = options->address,
                                       .timeout = options->timeout};
  auto result = co_await client->Exchange(std::move(request), exchange);
  if (const auto* error = std::get_if<http::ExchangeError>(&result)) {
    co_return TurnError(*error);
  }
  const auto& response = std::get<http::Response>(result);
  if (response.result() != http::Status::created) {
    co_return LogError{LogErrorKind::kRefused,
                       "status " + std::to_string(response.result_int())};
  }
  co_return DecodeAppend(response.body());
}

}  // namespace

LogService MakeHttpLog(const std::shared_ptr<http::Client>& client,
                       HttpLogOptions new_options) {
  const auto options =
      std::make_shared<const HttpLogOptions>(std::move(new_options));
  return {.read =
              [client, options](std::uint64_t from, std::size_t limit,
                                std::chrono::milliseconds wait) {
                return Read(client, options, from, limit, wait);
              },
          .append =
              [client, options](std::string body) {
                return Append(client, options, std::move(body));
              }};
}

}  // namespace lycheewell::io::log
