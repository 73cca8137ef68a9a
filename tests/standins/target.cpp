// Stand-in for a target: announces itself to its daemon, keeps a journal of
// what it runs, and follows orders in the request's query:
//   sleep_ms=N  takes that long           call=/service/path  calls through its
//   crash=1     ends the process          daemon, with the request's context
//   truncate=1  sends half of its answer  calls=N             that many times
// POST /control sets {"delay_ms"} for every request.
#include <tclap/CmdLine.h>
#include <unistd.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/json.hpp>
#include <charconv>
#include <fstream>
#include <iostream>
#include <string>

#include "lycheewell/io/http/client.h"
#include "lycheewell/io/http/server.h"

namespace {

namespace asio = boost::asio;
namespace http = lycheewell::io::http;
namespace json = boost::json;
using lycheewell::io::async::CancellationPointer;

constexpr unsigned kHttpVersion = 11;
constexpr int kCrashExit = 3;
constexpr auto kAnnounceTime = std::chrono::milliseconds(500);

int NumberIn(const std::string& query, const char* name) {
  const std::string text = http::QueryValue(query, name);
  int number = 0;
  std::from_chars(text.data(), text.data() + text.size(), number);
  return number;
}

struct TargetOptions {
  std::string address;
  std::string daemon;  // the daemon's local port
  std::string service;
  int slots = 64;
  std::string journal;
};

class TargetStandin {
 public:
  TargetStandin(asio::io_context& context, TargetOptions new_options)
      : options(std::move(new_options)),
        client(context),
        journal(this->options.journal, std::ios::app) {}

  asio::awaitable<void> Announce() {
    while (true) {
      http::Request request{http::Verb::post, "/lycheewell/announce",
                            kHttpVersion};
      request.body() =
          json::serialize(json::object{{"service", this->options.service},
                                       {"address", this->options.address},
                                       {"slots", this->options.slots},
                                       {"instance", std::to_string(getpid())}});
      const http::ExchangeOptions exchange{.address = this->options.daemon};
      co_await this->client.Exchange(std::move(request), exchange);
      asio::steady_timer timer(co_await asio::this_coro::executor,
                               kAnnounceTime);
      co_await timer.async_wait(asio::use_awaitable);
    }
  }

  asio::awaitable<std::optional<http::Response>> Handle(
      http::Request request, CancellationPointer cancellation) {
    const http::Target target = http::SplitTarget(http::View(request.target()));
    if (target.path == "/control") {
      const json::value order = json::parse(request.body());
      this->delay_ms = order.as_object().at("delay_ms").to_number<int>();
      co_return http::MakeJson(http::Status::ok, "{}");
    }
    const int run = ++this->runs;
    this->Write("start", run, request);
    if (NumberIn(target.query, "crash") > 0) {
      _exit(kCrashExit);
    }
    const int pause = this->delay_ms + NumberIn(target.query, "sleep_ms");
    if (pause > 0) {
      asio::steady_timer timer(co_await asio::this_coro::executor,
                               std::chrono::milliseconds(pause));
      co_await timer.async_wait(asio::use_awaitable);
    }
    json::array calls;
    const std::string callee = http::QueryValue(target.query, "call");
    const int count = std::max(1, NumberIn(target.query, "calls"));
    for (int call = 0; !callee.empty() && call < count; ++call) {
      calls.push_back(co_await this->CallOther(request, callee, cancellation));
    }
    this->Write(cancellation->IsCancelled() ? "cancelled" : "end", run,
                request);
    http::Response response = http::MakeJson(
        http::Status::ok,
        json::serialize(json::object{{"service", this->options.service},
                                     {"path", target.path},
                                     {"body", request.body()},
                                     {"run", run},
                                     {"calls", std::move(calls)}}));
    if (NumberIn(target.query, "truncate") > 0) {
      response.content_length(response.body().size() * 2);
      response.keep_alive(false);
    }
    co_return response;
  }

 private:
  asio::awaitable<json::value> CallOther(const http::Request& parent,
                                         std::string callee,
                                         CancellationPointer cancellation) {
    http::Request request{parent.method(), callee, kHttpVersion};
    for (const char* name : {"Lycheewell-Context", "Idempotency-Key"}) {
      const auto field = parent.find(name);
      if (field != parent.end()) {
        request.set(name, field->value());
      }
    }
    request.body() = parent.body();
    const http::ExchangeOptions exchange{.address = this->options.daemon,
                                         .cancellation = cancellation};
    const auto result =
        co_await this->client.Exchange(std::move(request), exchange);
    const auto* response = std::get_if<http::Response>(&result);
    if (response == nullptr) {
      co_return json::value(nullptr);
    }
    const auto outcome = (*response)["Lycheewell-Outcome"];
    co_return json::object{
        {"status", response->result_int()},
        {"outcome", json::string(outcome.data(), outcome.size())}};
  }

  // One JSON line; the journal survives a crash of the target.
  void Write(const char* what, int run, const http::Request& request) {
    json::object headers;
    for (const auto& field : request) {
      headers[field.name_string()] = field.value();
    }
    this->journal << json::serialize(
                         json::object{{"what", what},
                                      {"run", run},
                                      {"pid", getpid()},
                                      {"method", request.method_string()},
                                      {"target", request.target()},
                                      {"body", request.body()},
                                      {"headers", std::move(headers)}})
                  << std::endl;
  }

  TargetOptions options;
  http::Client client;
  std::ofstream journal;
  int runs = 0;
  int delay_ms = 0;
};

}  // namespace

int main(int argc, char** argv) {
  TCLAP::CmdLine command("stand-in for a target", ' ', "0.1.0");
  TCLAP::ValueArg<std::string> address("", "address", "host:port", true, "",
                                       "address", command);
  TCLAP::ValueArg<std::string> daemon("", "daemon", "the daemon's local port",
                                      true, "", "address", command);
  TCLAP::ValueArg<std::string> service("", "service", "name", true, "", "name",
                                       command);
  TCLAP::ValueArg<std::string> journal("", "journal", "file", false,
                                       "/dev/null", "file", command);
  TCLAP::ValueArg<int> slots("", "slots", "requests at once", false, 64,
                             "number", command);
  command.parse(argc, argv);
  asio::io_context context;
  TargetStandin target(context, {.address = address.getValue(),
                                 .daemon = daemon.getValue(),
                                 .service = service.getValue(),
                                 .slots = slots.getValue(),
                                 .journal = journal.getValue()});
  http::Server server(
      context, {.address = address.getValue()},
      [&](http::Request request, CancellationPointer cancellation) {
        return target.Handle(std::move(request), std::move(cancellation));
      });
  server.Start();
  asio::co_spawn(context, target.Announce(), asio::detached);
  context.run();
  return 0;
}
