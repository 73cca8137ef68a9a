// Fake of a target that shows for how long it is at work on each request. It
// ignores time limits and stops only when the connection closes.
#ifndef LYCHEEWELL_TESTS_HARNESS_WORKING_TARGET_H_
#define LYCHEEWELL_TESTS_HARNESS_WORKING_TARGET_H_

#include <atomic>
#include <chrono>
#include <mutex>
#include <string>
#include <vector>

#include "harness/raw_socket.h"

namespace lycheewell::harness {

class WorkingTarget {
 public:
  explicit WorkingTarget(int port);

  WorkingTarget(const WorkingTarget&) = delete;
  WorkingTarget& operator=(const WorkingTarget&) = delete;

  // Header lines of every answer from now on.
  void SetHeaderLines(const std::string& lines) {
    const std::lock_guard lock(this->mutex);
    this->header_lines = lines;
  }

  // How long a request is worked on before it is answered; a negative time
  // means that it never is.
  std::atomic<int> work_ms = -1;
  // Whether a request's body is read before the work on it begins.
  std::atomic<bool> reads_bodies = true;
  // A request whose path contains "/calls/" makes a call through the daemon's
  // port for clients here, and ends it when its own connection closes.
  std::atomic<int> calls_port = 0;

  // Requests that reached the target, and those that it is at work on.
  int arrivals() const { return this->arrived; }
  int at_work() const { return this->working; }
  // The largest number of arrivals within any one second from `begin` on.
  int MostInASecond(std::chrono::steady_clock::time_point begin);

 private:
  void Serve(int connection);
  // Works on one request; returns whether the connection is still open.
  bool Work(int connection, const std::string& head);
  int Call(const std::string& head) const;

  std::string HeaderLines() {
    const std::lock_guard lock(this->mutex);
    return this->header_lines;
  }

  std::mutex mutex;
  std::string header_lines;
  std::vector<std::chrono::steady_clock::time_point> arrival_times;
  std::atomic<int> arrived = 0;
  std::atomic<int> working = 0;
  ThreadedListener listener;  // last, since it serves with all the others
};

}  // namespace lycheewell::harness

#endif  // LYCHEEWELL_TESTS_HARNESS_WORKING_TARGET_H_
