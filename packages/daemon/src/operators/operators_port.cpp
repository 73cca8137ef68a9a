#include "lycheewell/daemon/operators/operators_port.h"

#include <boost/algorithm/string/predicate.hpp>
#include <boost/json.hpp>

#include "lycheewell/core/digest.h"
#include "lycheewell/daemon/operators/commands/plan_and_confirm.h"
#include "lycheewell/daemon/operators/queries/reports.h"

namespace lycheewell::daemon::operators {
namespace asio = boost::asio;
namespace http = io::http;
namespace json = boost::json;

namespace {

constexpr std::string_view kBearer = "Bearer ";

}  // namespace

OperatorsPort::OperatorsPort(OperatorsContext new_context,
                             FaultTable& new_faults)
    : context(new_context), faults(new_faults) {}

std::optional<std::string> OperatorsPort::Authenticate(
    const http::Request& request) {
  const std::string_view value =
      http::View(request[http::Field::authorization]);
  if (!boost::algorithm::istarts_with(value, kBearer)) {
    return std::nullopt;
  }
  const std::string digest = core::Sha256Hex(value.substr(kBearer.size()));
  for (const auto& access : this->context.services.settings.operators) {
    if (core::EqualInConstantTime(access.token_sha256, digest)) {
      return access.name;
    }
  }
  return std::nullopt;
}

asio::awaitable<std::optional<http::Response>> OperatorsPort::Handle(
    http::Request request, io::async::CancellationPointer) {
  const std::string method(http::View(request.method_string()));
  OperatorRequest operator_request{
      .target = http::SplitTarget(http::View(request.target())),
      .body = request.body()};
  const std::string& path = operator_request.target.path;
  if (path == "/metrics" && method == "GET") {
    co_return http::MakeResponse(http::Status::ok, "text/plain; version=0.0.4",
                                 this->context.services.metrics.Render());
  }
  const auto name = this->Authenticate(request);
  if (!name) {
    this->context.services.events.Write(events::Event::kOperatorRefused,
                                        {{"path", path}});
    co_return MakeError(http::Status::unauthorized, "unauthorized",
                        {"an operator's token is needed"});
  }
  operator_request.operator_name = *name;
  if (path == "/v1/plan" && method == "POST") {
    co_return commands::MakePlan(this->context, operator_request);
  }
  if (path == "/v1/confirm" && method == "POST") {
    co_return co_await commands::Confirm(this->context, operator_request);
  }
  if (path == "/v1/status" && method == "GET") {
    co_return queries::ReportStatus(this->context);
  }
  if (path == "/v1/history" && method == "GET") {
    co_return queries::ReportHistory(this->context, operator_request);
  }
  if (path == "/v1/events" && method == "GET") {
    co_return queries::ReportEvents(this->context, operator_request);
  }
  if (path == "/v1/explain" && method == "GET") {
    co_return queries::Explain(this->context, operator_request);
  }
  const bool is_fault_order = path == "/v1/test/faults" && method == "POST" &&
                              this->context.services.settings.test_faults;
  if (is_fault_order) {
    co_return this->SetFaults(operator_request.body);
  }
  co_return MakeError(http::Status::not_found, "not-found",
                      {method + " " + path + " is not offered here"});
}

// Replaces the faults by {"ADDRESS": {"cut": true, "delay_ms": 5}, ...}.
http::Response OperatorsPort::SetFaults(const std::string& body) {
  std::map<std::string, peers::Fault> wanted;
  try {
    const json::value value = json::parse(body);
    for (const auto& item : value.as_object()) {
      const json::object& entry = item.value().as_object();
      peers::Fault fault;
      if (entry.contains("cut")) {
        fault.cut = entry.at("cut").as_bool();
      }
      if (entry.contains("delay_ms")) {
        fault.delay =
            std::chrono::milliseconds(entry.at("delay_ms").to_number<int>());
      }
      wanted[item.key()] = fault;
    }
  } catch (const std::exception& problem) {
    return MakeError(http::Status::bad_request, "invalid", {problem.what()});
  }
  *this->faults.Lock() = std::move(wanted);
  return http::MakeJson(http::Status::ok, "{}");
}

}  // namespace lycheewell::daemon::operators
