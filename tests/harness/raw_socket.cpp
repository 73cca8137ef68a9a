#include "harness/raw_socket.h"

#include <arpa/inet.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <stdexcept>
#include <utility>

namespace lycheewell::harness {

sockaddr_in Loopback(int port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<std::uint16_t>(port));
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  return address;
}

ThreadedListener::ThreadedListener(int port, std::function<void(int)> new_serve)
    : listener(socket(AF_INET, SOCK_STREAM, 0)), serve(std::move(new_serve)) {
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

ThreadedListener::~ThreadedListener() {
  this->ended = true;
  this->acceptor.join();
  for (std::thread& worker : this->workers) {
    worker.join();
  }
  close(this->listener);
}

void ThreadedListener::Accept() {
  pollfd watched{.fd = this->listener, .events = POLLIN, .revents = 0};
  while (!this->ended) {
    if (poll(&watched, 1, kPollMs) <= 0) {
      continue;
    }
    const int connection = accept(this->listener, nullptr, nullptr);
    if (connection >= 0) {
      this->workers.emplace_back([this, connection] {
        this->serve(connection);
        close(connection);
      });
    }
  }
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

std::string HeaderOf(const std::string& head, const std::string& name) {
  const std::size_t found = head.find("\r\n" + name + ": ");
  if (found == std::string::npos) {
    return "";
  }
  const std::size_t begin = found + name.size() + 4;
  return head.substr(begin, head.find("\r\n", begin) - begin);
}

}  // namespace lycheewell::harness
