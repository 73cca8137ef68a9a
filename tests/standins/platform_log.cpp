// Stand-in for the platform's log: records in memory, behind HTTP. POST
// /control sets {"down", "delay_ms", "lose_answers", "retention"}.
#include <tclap/CmdLine.h>

#include <algorithm>
#include <atomic>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/json.hpp>
#include <charconv>
#include <deque>
#include <iostream>
#include <memory>
#include <string>
#include <vector>

#include "lycheewell/io/http/server.h"

namespace {

namespace asio = boost::asio;
namespace http = lycheewell::io::http;
namespace json = boost::json;

std::uint64_t NumberIn(const std::string& query, const char* name) {
  const std::string text = http::QueryValue(query, name);
  std::uint64_t number = 0;
  std::from_chars(text.data(), text.data() + text.size(), number);
  return number;
}

// Used by one thread only.
class LogStandin {
 public:
  asio::awaitable<std::optional<http::Response>> Handle(
      http::Request request,
      lycheewell::io::async::CancellationPointer cancellation) {
    const http::Target target = http::SplitTarget(http::View(request.target()));
    if (target.path == "/control") {
      this->Control(request.body());
      co_return http::MakeJson(http::Status::ok, "{}");
    }
    if (this->down) {
      co_return std::nullopt;
    }
    if (this->delay_ms > 0) {
      co_await Pause(std::chrono::milliseconds(this->delay_ms));
    }
    if (request.method() == http::Verb::post) {
      co_return this->Append(request.body());
    }
    co_return co_await this->Read(target.query, cancellation);
  }

 private:
  static asio::awaitable<void> Pause(std::chrono::milliseconds time) {
    asio::steady_timer timer(co_await asio::this_coro::executor, time);
    co_await timer.async_wait(asio::use_awaitable);
  }

  void Control(const std::string& body) {
    const json::value parsed = json::parse(body);
    const json::object& order = parsed.as_object();
    if (order.contains("down")) {
      this->down = order.at("down").as_bool();
    }
    if (order.contains("delay_ms")) {
      this->delay_ms = order.at("delay_ms").to_number<int>();
    }
    if (order.contains("lose_answers")) {
      this->lose_answers = order.at("lose_answers").to_number<int>();
    }
    if (order.contains("retention")) {
      this->retention = order.at("retention").to_number<std::size_t>();
      this->DropOld();
    }
  }

  void DropOld() {
    while (this->records.size() > this->retention) {
      this->records.pop_front();
      ++this->first;
    }
  }

  std::optional<http::Response> Append(std::string body) {
    const std::uint64_t offset = this->first + this->records.size();
    this->records.push_back(std::move(body));
    this->DropOld();
    auto waiting = std::move(this->waiting);
    this->waiting.clear();
    for (const auto& timer : waiting) {
      timer->cancel();
    }
    if (this->lose_answers > 0) {
      --this->lose_answers;
      return std::nullopt;
    }
    return http::MakeJson(http::Status::created,
                          json::serialize(json::object{{"offset", offset}}));
  }

  asio::awaitable<std::optional<http::Response>> Read(
      std::string query,
      lycheewell::io::async::CancellationPointer cancellation) {
    const std::uint64_t from = NumberIn(query, "from");
    const std::uint64_t limit = NumberIn(query, "limit");
    const std::uint64_t wait_ms = NumberIn(query, "wait_ms");
    const auto end = [this] { return this->first + this->records.size(); };
    if (from >= end() && wait_ms > 0) {
      auto timer = std::make_shared<asio::steady_timer>(
          co_await asio::this_coro::executor,
          std::chrono::milliseconds(wait_ms));
      this->waiting.push_back(timer);
      co_await timer->async_wait(asio::as_tuple(asio::use_awaitable));
      std::erase(this->waiting, timer);
    }
    if (this->down || cancellation->IsCancelled()) {
      co_return std::nullopt;
    }
    const std::uint64_t start = std::max(from, this->first);
    json::array records;
    for (std::uint64_t offset = start; offset < end() && records.size() < limit;
         ++offset) {
      records.emplace_back(this->records[offset - this->first]);
    }
    co_return http::MakeJson(
        http::Status::ok,
        json::serialize(json::object{{"first", this->first},
                                     {"end", end()},
                                     {"from", start},
                                     {"records", std::move(records)}}));
  }

  std::uint64_t first = 0;
  std::deque<std::string> records;
  std::vector<std::shared_ptr<asio::steady_timer>> waiting;
  bool down = false;
  int delay_ms = 0;
  int lose_answers = 0;
  std::size_t retention = 1'000'000;
};

}  // namespace

int main(int argc, char** argv) {
  TCLAP::CmdLine command("stand-in for the platform's log", ' ', "0.1.0");
  TCLAP::ValueArg<std::string> address("", "address", "host:port", true, "",
                                       "address", command);
  command.parse(argc, argv);
  asio::io_context context;
  LogStandin log;
  http::Server server(
      context, {.address = address.getValue(), .body_limit = 64 * 1024 * 1024},
      [&](http::Request request,
          lycheewell::io::async::CancellationPointer cancellation) {
        return log.Handle(std::move(request), std::move(cancellation));
      });
  server.Start();
  context.run();
  return 0;
}
