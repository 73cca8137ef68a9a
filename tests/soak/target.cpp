#include "soak/target.h"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <chrono>
#include <functional>

#include "harness/raw_socket.h"

namespace lycheewell::soak {
namespace asio = boost::asio;
using asio::ip::tcp;
using harness::HeaderOf;
using std::chrono::milliseconds;

namespace {

// Work of a request: between these, by its id.
constexpr int kMinWorkMs = 5;
constexpr int kWorkSpreadMs = 80;

constexpr milliseconds kSecondAnswerDelay{15};
constexpr std::size_t kEndlessBlockBytes = 16 * 1024;
constexpr std::size_t kMaxHeadBytes = 64 * 1024;

asio::awaitable<void> WaitFor(milliseconds time) {
  asio::steady_timer timer(co_await asio::this_coro::executor, time);
  co_await timer.async_wait(asio::use_awaitable);
}

std::string AnswerWith(const std::string& id, const std::string& status_line,
                       const std::string& extra_lines) {
  return status_line + "Request-Id: " + id +
         "\r\nResponse-Signature: signed\r\n" + extra_lines +
         "Content-Length: " + std::to_string(id.size()) + "\r\n\r\n" + id;
}

}  // namespace

Target::Target(int port, Observations& new_observations)
    : observations(new_observations),
      acceptor(this->context, {asio::ip::make_address("127.0.0.1"),
                               static_cast<std::uint16_t>(port)}) {
  asio::co_spawn(this->context, this->Accept(), asio::detached);
  this->thread = std::thread([this] { this->context.run(); });
}

Target::~Target() {
  this->context.stop();
  this->thread.join();
}

void Target::SetInstance(const std::string& name) {
  const std::lock_guard lock(this->mutex);
  this->instance_name = name;
}

void Target::SetLimit(int per_second) {
  const std::lock_guard lock(this->mutex);
  this->limit = per_second;
  this->limit_named_at.reset();
}

void Target::SetColdUntil(Clock::time_point end) {
  const std::lock_guard lock(this->mutex);
  this->cold_until = end;
}

milliseconds Target::cold_left() {
  const std::lock_guard lock(this->mutex);
  return std::max(milliseconds(0), std::chrono::duration_cast<milliseconds>(
                                       this->cold_until - Clock::now()));
}

std::optional<Clock::time_point> Target::named_at() {
  const std::lock_guard lock(this->mutex);
  return this->limit_named_at;
}

void Target::RecordNamedLimit() {
  const std::lock_guard lock(this->mutex);
  if (this->limit > 0 && !this->limit_named_at) {
    this->limit_named_at = Clock::now();
  }
}

std::string Target::instance() {
  const std::lock_guard lock(this->mutex);
  return this->instance_name;
}

void Target::DropConnections() {
  asio::post(this->context, [this] {
    for (const SocketPointer& socket : this->sockets) {
      boost::system::error_code ignored;
      socket->set_option(asio::socket_base::linger(true, 0), ignored);
      socket->close(ignored);
    }
  });
}

asio::awaitable<void> Target::Accept() {
  for (;;) {
    const auto socket = std::make_shared<tcp::socket>(
        co_await this->acceptor.async_accept(asio::use_awaitable));
    this->sockets.insert(socket);
    asio::co_spawn(this->context, this->Serve(socket), asio::detached);
  }
}

asio::awaitable<void> Target::Serve(SocketPointer socket) {
  try {
    co_await this->ServeAll(socket);
  } catch (const boost::system::system_error&) {
    // The caller has closed the connection.
  }
  this->sockets.erase(socket);
}

asio::awaitable<void> Target::ServeAll(SocketPointer socket) {
  std::string bytes;
  for (;;) {
    const std::size_t size = co_await asio::async_read_until(
        *socket, asio::dynamic_buffer(bytes, kMaxHeadBytes), "\r\n\r\n",
        asio::use_awaitable);
    const std::string head = bytes.substr(0, size);
    bytes.erase(0, size);
    const std::string length = HeaderOf(head, "Content-Length");
    const std::size_t body_size = length.empty() ? 0 : std::stoul(length);
    if (bytes.size() < body_size) {
      co_await asio::async_read(
          *socket, asio::dynamic_buffer(bytes),
          asio::transfer_exactly(body_size - bytes.size()),
          asio::use_awaitable);
    }
    bytes.erase(0, body_size);
    const std::string id = HeaderOf(head, "Request-Id");
    if (head.starts_with("GET /h ")) {
      const std::string answer =
          AnswerWith("health", "HTTP/1.1 200 OK\r\n",
                     "Instance-Id: " + this->instance() + "\r\nCold-Ms: " +
                         std::to_string(this->cold_left().count()) + "\r\n");
      co_await asio::async_write(*socket, asio::buffer(answer),
                                 asio::use_awaitable);
      continue;
    }
    if (HeaderOf(head, "Expected-Instance") != this->instance()) {
      const std::string answer = AnswerWith(
          id, "HTTP/1.1 421 Misdirected Request\r\n", "Not-Executed: 1\r\n");
      co_await asio::async_write(*socket, asio::buffer(answer),
                                 asio::use_awaitable);
      continue;
    }
    if (!co_await this->Run(socket, id)) {
      socket->close();
      co_return;
    }
  }
}

asio::awaitable<bool> Target::Run(SocketPointer socket, std::string id) {
  this->observations.AddRun(
      {.id = id, .instance = this->instance(), .at = Clock::now()});
  const int work = kMinWorkMs + static_cast<int>(std::hash<std::string>()(id) %
                                                 kWorkSpreadMs);
  co_await WaitFor(milliseconds(work));
  const TargetFault current = this->fault;
  if (current == TargetFault::kLoseAnswers) {
    co_return false;
  }
  if (current == TargetFault::kEndlessAnswers) {
    const std::string block(kEndlessBlockBytes, 'x');
    std::string begin = "HTTP/1.1 200 OK\r\nRequest-Id: " + id + "\r\n";
    begin += work % 2 == 0 ? "X: " : "\r\n";
    co_await asio::async_write(*socket, asio::buffer(begin),
                               asio::use_awaitable);
    for (;;) {
      co_await asio::async_write(*socket, asio::buffer(block),
                                 asio::use_awaitable);
    }
  }
  const int named = this->limit;
  const std::string answer = AnswerWith(
      id, "HTTP/1.1 200 OK\r\n",
      named > 0 ? "Server-Limit: " + std::to_string(named) + ".0\r\n" : "");
  co_await asio::async_write(*socket, asio::buffer(answer),
                             asio::use_awaitable);
  if (named > 0) {
    this->RecordNamedLimit();
  }
  if (current == TargetFault::kSecondAnswers) {
    co_await WaitFor(kSecondAnswerDelay);
    co_await asio::async_write(*socket, asio::buffer(answer),
                               asio::use_awaitable);
  }
  co_return true;
}

}  // namespace lycheewell::soak
