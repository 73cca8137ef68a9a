#include "harness/working_target.h"

#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <iterator>

#include "harness/raw_socket.h"

namespace lycheewell::harness {
namespace {
using Clock = std::chrono::steady_clock;
using std::chrono::milliseconds;

// Returns whether the peer has closed or reset the connection within the time.
bool IsClosedWithin(int connection, int wait_ms) {
  pollfd watched{.fd = connection, .events = POLLRDHUP, .revents = 0};
  return poll(&watched, 1, wait_ms) > 0;
}

}  // namespace

WorkingTarget::WorkingTarget(int port)
    : listener(port, [this](int connection) { this->Serve(connection); }) {}

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

void WorkingTarget::Serve(int connection) {
  std::string bytes;
  std::array<char, 4096> block{};
  pollfd watched{.fd = connection, .events = POLLIN, .revents = 0};
  while (!this->listener.has_ended()) {
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
  while (!is_closed && !this->listener.has_ended() &&
         (this->work_ms < 0 ||
          Clock::now() - begin < milliseconds(this->work_ms))) {
    is_closed = IsClosedWithin(connection, kPollMs);
  }
  if (call >= 0) {
    close(call);
  }
  --this->working;
  if (is_closed || this->listener.has_ended()) {
    return false;
  }
  SendAll(connection,
          "HTTP/1.1 200 OK\r\nRequest-Id: " + HeaderOf(head, "Request-Id") +
              "\r\nResponse-Signature: signed\r\n" + this->HeaderLines() +
              "Content-Length: 4\r\n\r\ndone");
  return true;
}

}  // namespace lycheewell::harness
