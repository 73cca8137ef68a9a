#include "harness/working_target.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <iterator>
#include <stdexcept>

namespace lycheewell::harness {
namespace {
using Clock = std::chrono::steady_clock;
using std::chrono::milliseconds;

constexpr int kPollMs = 10;
// Small, so that a large body does not fit.
constexpr int kReceiveBufferBytes = 16 * 1024;

sockaddr_in Loopback(int port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<std::uint16_t>(port));
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  return address;
}

// Returns whether the peer has closed or reset the connection within the time.
bool IsClosedWithin(int connection, int wait_ms) {
  pollfd watched{.fd = connection, .events = POLLRDHUP, .revents = 0};
  return poll(&watched, 1, wait_ms) > 0;
}

void SendAll(int connection, const std::string& bytes) {
  std::size_t sent = 0;
  while (sent < bytes.size()) {
    const ssize_t count = send(connection, bytes.data() + sent,
                               bytes.size() - sent, MSG_NOSIGNAL);
    if (count <= 0) {
      return;  // the next poll shows the closed connection
    }
    sent += static_cast<std::size_t>(count);
  }
}

}  // namespace

std::string HeaderOf(const std::string& head, const std::string& name) {
  const std::size_t found = head.find("\r\n" + name + ": ");
  if (found == std::string::npos) {
    return "";
  }
  const std::size_t begin = found + name.size() + 4;
  return head.substr(begin, head.find("\r\n", begin) - begin);
}

WorkingTarget::WorkingTarget(int port)
    : listener(socket(AF_INET, SOCK_STREAM, 0)) {
  const int on = 1;
  setsockopt(this->listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  setsockopt(this->listener, SOL_SOCKET, SO_RCVBUF, &kReceiveBufferBytes,
             sizeof kReceiveBufferBytes);
  const sockaddr_in address = Loopback(port);
  if (bind(this->listener, reinterpret_cast<const sockaddr*>(&address),
           sizeof address) != 0 ||
      listen(this->listener, SOMAXCONN) != 0) {
    throw std::runtime_error("cannot listen on port " + std::to_string(port));
  }
  this->acceptor = std::thread([this] { this->Accept(); });
}

WorkingTarget::~WorkingTarget() {
  this->has_ended = true;
  this->acceptor.join();
  for (std::thread& worker : this->workers) {
    worker.join();
  }
  close(this->listener);
}

int WorkingTarget::MostInASecond(Clock::time_point begin) {
  const std::lock_guard lock(this->mutex);
  std::vector<Clock::time_point> times;
  std::copy_if(this->arrival_times.begin(), this->arrival_times.end(),
               std::back_inserter(times),
               [&](const auto& time) { return time >= begin; });
  std::sort(times.begin(), times.end());
  std::ptrdiff_t most = 0;
  for (auto first = times.begin(); first != times.end(); ++first) {
    const auto end =
        std::lower_bound(first, times.end(), *first + std::chrono::seconds(1));
    most = std::max(most, end - first);
  }
  return static_cast<int>(most);
}

void WorkingTarget::Accept() {
  pollfd watched{.fd = this->listener, .events = POLLIN, .revents = 0};
  while (!this->has_ended) {
    if (poll(&watched, 1, kPollMs) <= 0) {
      continue;
    }
    const int connection = accept(this->listener, nullptr, nullptr);
    if (connection >= 0) {
      this->workers.emplace_back([this, connection] {
        this->Serve(connection);
        close(connection);
      });
    }
  }
}

void WorkingTarget::Serve(int connection) {
  std::string bytes;
  std::array<char, 4096> block{};
  pollfd watched{.fd = connection, .events = POLLIN, .revents = 0};
  while (!this->has_ended) {
    const std::size_t end = bytes.find("\r\n\r\n");
    const std::string head =
        end == std::string::npos ? "" : bytes.substr(0, end + 4);
    const std::string length = HeaderOf(head, "Content-Length");
    const std::size_t body =
        length.empty() || !this->reads_bodies ? 0 : std::stoul(length);
    if (!head.empty() && bytes.size() >= head.size() + body) {
      bytes.erase(0, head.size() + body);
      if (!this->Work(connection, head)) {
        return;
      }
      continue;
    }
    if (poll(&watched, 1, kPollMs) <= 0) {
      continue;
    }
    const ssize_t count = recv(connection, block.data(), block.size(), 0);
    if (count <= 0) {
      return;
    }
    bytes.append(block.data(), static_cast<std::size_t>(count));
  }
}

int WorkingTarget::Call(const std::string& head) const {
  const int call = socket(AF_INET, SOCK_STREAM, 0);
  const sockaddr_in address = Loopback(this->calls_port);
  if (connect(call, reinterpret_cast<const sockaddr*>(&address),
              sizeof address) == 0) {
    SendAll(call, "GET /inner/1 HTTP/1.1\r\nHost: a.example\r\nRequest-Id: " +
                      HeaderOf(head, "Request-Id") + "-call\r\nDeadline-Ms: " +
                      HeaderOf(head, "Deadline-Ms") + "\r\n\r\n");
  }
  return call;
}

bool WorkingTarget::Work(int connection, const std::string& head) {
  ++this->arrived;
  ++this->working;
  const auto begin = Clock::now();
  {
    const std::lock_guard lock(this->mutex);
    this->arrival_times.push_back(begin);
  }
  const bool makes_call = head.find("/calls/") < head.find("\r\n");
  const int call = makes_call ? this->Call(head) : -1;
  bool is_closed = false;
  while (!is_closed && !this->has_ended &&
         (this->work_ms < 0 ||
          Clock::now() - begin < milliseconds(this->work_ms))) {
    is_closed = IsClosedWithin(connection, kPollMs);
  }
  if (call >= 0) {
    close(call);
  }
  --this->working;
  if (is_closed || this->has_ended) {
    return false;
  }
  SendAll(connection,
          "HTTP/1.1 200 OK\r\nRequest-Id: " + HeaderOf(head, "Request-Id") +
              "\r\nResponse-Signature: signed\r\n" + this->HeaderLines() +
              "Content-Length: 4\r\n\r\ndone");
  return true;
}

}  // namespace lycheewell::harness
