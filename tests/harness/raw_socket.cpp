#include "harness/raw_socket.h"

#include <arpa/inet.h>
#include <sys/socket.h>

#include <stdexcept>

namespace lycheewell::harness {

sockaddr_in Loopback(int port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<std::uint16_t>(port));
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  return address;
}

int ListenOnLoopback(int port, int receive_buffer_bytes) {
  const int listener = socket(AF_INET, SOCK_STREAM, 0);
  const int on = 1;
  setsockopt(listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  setsockopt(listener, SOL_SOCKET, SO_RCVBUF, &receive_buffer_bytes,
             sizeof receive_buffer_bytes);
  const sockaddr_in address = Loopback(port);
  if (bind(listener, reinterpret_cast<const sockaddr*>(&address),
           sizeof address) != 0 ||
      listen(listener, SOMAXCONN) != 0) {
    throw std::runtime_error("cannot listen on port " + std::to_string(port));
  }
  return listener;
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
