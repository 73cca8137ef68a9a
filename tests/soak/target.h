// Stand-in for a target that writes raw bytes, also wrong ones.
#ifndef LYCHEEWELL_TESTS_SOAK_TARGET_H_
#define LYCHEEWELL_TESTS_SOAK_TARGET_H_

#include <atomic>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <thread>

#include "soak/promises.h"

namespace lycheewell::soak {

enum class TargetFault {
  kNone,
  kLoseAnswers,     // runs the request and closes the connection
  kSecondAnswers,   // sends each answer again a little later
  kEndlessAnswers,  // sends bytes that are no answer until the caller closes
};

class Target {
 public:
  Target(int port, Observations& observations);
  ~Target();

  // Commands.

  // Requests that name another instance are not run.
  void SetInstance(const std::string& name);
  void SetFault(TargetFault new_fault) { this->fault = new_fault; }
  // Answers name this limit in requests per second; 0: they name none.
  void SetLimit(int per_second);
  // Health answers say that the target is cold until then.
  void SetColdUntil(Clock::time_point end);
  // Ends all connections at once, as a crash does.
  void DropConnections();

  // Queries.

  std::chrono::milliseconds cold_left();
  // When an answer named the current limit first.
  std::optional<Clock::time_point> named_at();

 private:
  using SocketPointer = std::shared_ptr<boost::asio::ip::tcp::socket>;

  void RecordNamedLimit();
  boost::asio::awaitable<void> Accept();
  boost::asio::awaitable<void> Serve(SocketPointer socket);
  boost::asio::awaitable<void> ServeAll(SocketPointer socket);
  // Returns whether the connection can be used again.
  boost::asio::awaitable<bool> Run(SocketPointer socket, std::string id);
  std::string instance();

  Observations& observations;
  boost::asio::io_context context;
  boost::asio::ip::tcp::acceptor acceptor;
  std::set<SocketPointer> sockets;
  std::mutex mutex;
  std::string instance_name;
  std::optional<Clock::time_point> limit_named_at;
  Clock::time_point cold_until;
  std::atomic<TargetFault> fault = TargetFault::kNone;
  std::atomic<int> limit = 0;
  std::thread thread;
};

}  // namespace lycheewell::soak

#endif  // LYCHEEWELL_TESTS_SOAK_TARGET_H_
