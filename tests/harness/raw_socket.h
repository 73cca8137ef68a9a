// Plain sockets of stand-ins whose connections have to behave in ways that an
// HTTP server does not offer.
#ifndef LYCHEEWELL_TESTS_HARNESS_RAW_SOCKET_H_
#define LYCHEEWELL_TESTS_HARNESS_RAW_SOCKET_H_

#include <netinet/in.h>

#include <atomic>
#include <functional>
#include <string>
#include <thread>
#include <vector>

namespace lycheewell::harness {

// Period in which stand-ins look whether they have to end.
inline constexpr int kPollMs = 10;

// Small, so that a large body does not fit.
inline constexpr int kReceiveBufferBytes = 16 * 1024;

sockaddr_in Loopback(int port);

// Accepts connections and serves each on a thread of its own.
class ThreadedListener {
 public:
  // `serve` must return soon after has_ended() holds; the connection is closed
  // then. Connections have a receive buffer of kReceiveBufferBytes. Throws if
  // the port is taken.
  ThreadedListener(int port, std::function<void(int connection)> serve);
  ~ThreadedListener();

  ThreadedListener(const ThreadedListener&) = delete;
  ThreadedListener& operator=(const ThreadedListener&) = delete;

  bool has_ended() const { return this->ended; }

 private:
  void Accept();

  int listener = -1;
  std::function<void(int connection)> serve;
  std::atomic<bool> ended = false;
  std::vector<std::thread> workers;  // changed by `acceptor` only
  std::thread acceptor;
};

// Writes until the peer closes the connection.
void SendAll(int connection, const std::string& bytes);

// The value of a header in the head of a message; empty if it is missing.
std::string HeaderOf(const std::string& head, const std::string& name);

}  // namespace lycheewell::harness

#endif  // LYCHEEWELL_TESTS_HARNESS_RAW_SOCKET_H_
