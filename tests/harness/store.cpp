#include "harness/store.h"

#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/detail/base64.hpp>
#include <chrono>

namespace lycheewell::harness {
namespace asio = boost::asio;
namespace beast = boost::beast;
using io::http::Request;
using io::http::Response;
using io::http::Status;
using std::chrono::milliseconds;

namespace {

constexpr milliseconds kSlowAnswer{700};
constexpr milliseconds kFaultCheckPeriod{20};

asio::awaitable<void> WaitFor(milliseconds time) {
  asio::steady_timer timer(co_await asio::this_coro::executor, time);
  co_await timer.async_wait(asio::use_awaitable);
}

// The server writes names as they are.
void BreakAnswer(Response& response, StoreFault fault) {
  if (fault == StoreFault::kMalformedName) {
    response.set("X Line", "1");
  } else if (fault == StoreFault::kBlankLine) {
    response.set("X-Line", "1");
    response.set(" X-Line", "2");
  } else if (fault == StoreFault::kCutAnswers) {
    response.content_length(response.body().size() + 1);
    response.keep_alive(false);
  }
}

}  // namespace

std::string LoopbackAddress(int port) {
  return "127.0.0.1:" + std::to_string(port);
}

FakeServer::FakeServer(int port, io::http::Handler handler)
    : server(this->context, {.address = LoopbackAddress(port)},
             std::move(handler)) {
  this->server.Start();
  this->thread = std::thread([this] { this->context.run(); });
}

FakeServer::~FakeServer() {
  this->context.stop();
  this->thread.join();
}

Store::Store(int port)
    : fake_server(port, [this](Request request, const CancellationPointer&) {
        return this->Answer(std::move(request), this->fault);
      }) {}

std::atomic<StoreFault>& Store::OpenDoor(int port) {
  Door& door = this->doors.emplace_back();
  door.server.emplace(
      port, [this, &door](Request request, const CancellationPointer&) {
        return this->Answer(std::move(request), door.fault);
      });
  return door.fault;
}

void Store::PutManifest(const std::string& document) {
  this->Append("keyed.op", "config", document);
}

void Store::PutFleetRecord(const std::string& key, const std::string& value) {
  this->Append("keyed.lycheewell-members", key, value);
}

void Store::Evacuate(const std::string& data_centre) {
  this->Append("keyed.op", "evacuate/" + data_centre, "{}");
}

void Store::TakeBack(const std::string& data_centre) {
  this->Append("keyed.op", "evacuate/" + data_centre, "");
}

std::string Store::BigEndian(std::uint64_t value, std::size_t size) {
  std::string bytes(size, '\0');
  for (std::size_t i = size; i-- > 0; value >>= 8U) {
    bytes[i] = static_cast<char>(value & 0xffU);
  }
  return bytes;
}

void Store::Append(const std::string& topic, const std::string& key,
                   const std::string& value) {
  const std::lock_guard lock(this->mutex);
  std::string record(1, static_cast<char>(key.size()));
  record += key + value;
  if (value.empty()) {
    this->topics[topic].newest.erase(key);
  } else {
    this->topics[topic].newest[key] = value;
  }
  this->topics[topic].records.push_back(BigEndian(record.size(), 4) + record);
}

asio::awaitable<std::optional<Response>> Store::Answer(
    Request request, const std::atomic<StoreFault>& current_fault) {
  const StoreFault current = current_fault;
  if (this->is_down || current == StoreFault::kDown) {
    co_return io::http::MakeResponse(Status::service_unavailable, "text/plain",
                                     "");
  }
  while (current_fault == StoreFault::kSilent) {
    co_await WaitFor(kFaultCheckPeriod);
  }
  if (current == StoreFault::kSlow) {
    co_await WaitFor(kSlowAnswer);
  }
  auto response = co_await this->Execute(std::move(request));
  if (current == StoreFault::kLostAnswers) {
    co_return std::nullopt;
  }
  BreakAnswer(*response, current_fault);
  co_return response;
}

asio::awaitable<std::optional<Response>> Store::Execute(Request request) {
  const auto target = io::http::SplitTarget(io::http::View(request.target()));
  const std::string topic = io::http::QueryValue(target.query, "topic");
  if (target.path == "/v1/log-append") {
    // Records with a length of four bytes: a key with a length of one byte and
    // the value.
    const std::string& body = request.body();
    for (std::size_t begin = 0; begin + 4 < body.size();) {
      std::size_t size = 0;
      for (std::size_t i = 0; i < 4; ++i) {
        size = size << 8U | static_cast<unsigned char>(body.at(begin + i));
      }
      const std::string record = body.substr(begin + 4, size);
      const auto key_size = static_cast<unsigned char>(record.at(0));
      this->Append(topic, record.substr(1, key_size),
                   record.substr(1 + key_size));
      begin += 4 + size;
    }
    co_return io::http::MakeJson(Status::ok, "{}");
  }
  if (target.path == "/v1/log-newest") {
    co_return io::http::MakeJson(Status::ok, this->Newest(topic));
  }
  const auto from = std::stoul(io::http::QueryValue(target.query, "from"));
  const auto end =
      std::chrono::steady_clock::now() +
      milliseconds(std::stoi(io::http::QueryValue(target.query, "waitMs")));
  for (;;) {
    std::string body = this->Records(topic, from);
    if (!body.empty() || std::chrono::steady_clock::now() >= end) {
      co_return io::http::MakeResponse(
          Status::ok, "application/octet-stream",
          BigEndian(this->EndOf(topic), 8) + BigEndian(0, 8) + body);
    }
    asio::steady_timer timer(co_await asio::this_coro::executor,
                             milliseconds(10));
    co_await timer.async_wait(asio::use_awaitable);
  }
}

std::uint64_t Store::EndOf(const std::string& topic) {
  const std::lock_guard lock(this->mutex);
  return this->topics[topic].records.size();
}

std::string Store::Newest(const std::string& topic) {
  namespace base64 = beast::detail::base64;
  const std::lock_guard lock(this->mutex);
  std::string items;
  for (const auto& [key, value] : this->topics[topic].newest) {
    std::string encoded(base64::encoded_size(value.size()), '\0');
    encoded.resize(base64::encode(encoded.data(), value.data(), value.size()));
    items += (items.empty() ? "" : ",");
    items.append(R"({"key":")")
        .append(key)
        .append(R"(","value":")")
        .append(encoded)
        .append(R"("})");
  }
  return R"({"items":[)" + items + R"(],"hasMore":false,"endOffset":)" +
         std::to_string(this->topics[topic].records.size()) + "}";
}

std::string Store::Records(const std::string& topic, std::size_t from) {
  const std::lock_guard lock(this->mutex);
  std::string body;
  const auto& records = this->topics[topic].records;
  for (std::size_t i = from; i < records.size(); ++i) {
    body += records[i];
  }
  return body;
}

}  // namespace lycheewell::harness
