#include "harness/raw_target.h"

#include <poll.h>
#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <utility>

namespace lycheewell::harness {
namespace {

std::string WithRequestId(std::string bytes, const std::string& id) {
  const std::size_t mark = bytes.find(kRequestIdMark);
  if (mark != std::string::npos) {
    bytes.replace(mark, std::string(kRequestIdMark).size(), id);
  }
  return bytes;
}

void EndConnection(int connection, AnswerEnd end) {
  if (end == AnswerEnd::kHalfClose || end == AnswerEnd::kClose) {
    shutdown(connection, SHUT_WR);
  }
  if (end == AnswerEnd::kReset) {
    const linger reset{.l_onoff = 1, .l_linger = 0};
    setsockopt(connection, SOL_SOCKET, SO_LINGER, &reset, sizeof reset);
  }
}

}  // namespace

RawTarget::RawTarget(int port, std::string new_raw_path)
    : raw_path(std::move(new_raw_path)),
      listener(port, [this](int connection) { this->Serve(connection); }) {}

void RawTarget::SetAnswer(const RawAnswer& new_answer) {
  const std::lock_guard lock(this->mutex);
  this->answer = new_answer;
}

RawAnswer RawTarget::CurrentAnswer() {
  const std::lock_guard lock(this->mutex);
  return this->answer;
}

void RawTarget::Serve(int connection) {
  std::string bytes;
  std::array<char, 4096> block{};
  pollfd watched{.fd = connection, .events = POLLIN, .revents = 0};
  bool is_first = true;
  std::size_t unread_body = 0;  // of a request that has been answered
  while (!this->listener.has_ended()) {
    const std::size_t skipped = std::min(unread_body, bytes.size());
    bytes.erase(0, skipped);
    unread_body -= skipped;
    const std::size_t end = bytes.find("\r\n\r\n");
    if (unread_body == 0 && end != std::string::npos) {
      const std::string head = bytes.substr(0, end + 4);
      const std::string length = HeaderOf(head, "Content-Length");
      const std::size_t body = length.empty() ? 0 : std::stoul(length);
      const bool is_raw = head.find(this->raw_path) < head.find("\r\n");
      const bool is_early = is_raw && this->CurrentAnswer().is_early;
      if (is_early || bytes.size() >= head.size() + body) {
        bytes.erase(0, head.size());
        unread_body = body;
        this->raw_runs += is_raw ? 1 : 0;
        this->kept_runs += is_raw && !is_first ? 1 : 0;
        is_first = false;
        if (!this->Answer(connection, head, is_raw)) {
          return;
        }
        continue;
      }
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

bool RawTarget::Answer(int connection, const std::string& head, bool is_raw) {
  const std::string id = HeaderOf(head, "Request-Id");
  if (!is_raw) {
    SendAll(connection, "HTTP/1.1 200 OK\r\nRequest-Id: " + id +
                            "\r\nResponse-Signature: signed\r\n"
                            "Content-Length: 4\r\n\r\ndone");
    return true;
  }
  const RawAnswer raw = this->CurrentAnswer();
  SendAll(connection, WithRequestId(raw.bytes, id));
  std::this_thread::sleep_for(raw.end_delay);
  EndConnection(connection, raw.end);
  return raw.end == AnswerEnd::kKeepOpen || raw.end == AnswerEnd::kHalfClose;
}

}  // namespace lycheewell::harness
