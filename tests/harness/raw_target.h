// Stand-in for a target that writes prescribed bytes as its answer and ends the
// connection in a prescribed way.
#ifndef LYCHEEWELL_TESTS_HARNESS_RAW_TARGET_H_
#define LYCHEEWELL_TESTS_HARNESS_RAW_TARGET_H_

#include <atomic>
#include <chrono>
#include <mutex>
#include <string>

#include "harness/raw_socket.h"

namespace lycheewell::harness {

// Replaced by the id of the request that is answered.
inline constexpr const char* kRequestIdMark = "{id}";

// What follows the bytes of an answer.
enum class AnswerEnd {
  kKeepOpen,   // the connection stays open
  kHalfClose,  // an end of stream; the rest of the request is read
  kClose,      // an end of stream, then a reset by what is not read
  kReset,      // a reset without an end of stream
};

struct RawAnswer {
  std::string bytes;
  AnswerEnd end = AnswerEnd::kKeepOpen;
  // Written as soon as the request's head has been read. The sender goes on
  // writing: little of the body fits into the buffers on its way.
  bool is_early = false;
  std::chrono::milliseconds end_delay{0};  // from the bytes to the end

  bool operator==(const RawAnswer&) const = default;
};

// Gives the prescribed answer to requests whose path contains `raw_path`, and
// "done" to all others.
class RawTarget {
 public:
  explicit RawTarget(int port, std::string raw_path = "/raw/");

  RawTarget(const RawTarget&) = delete;
  RawTarget& operator=(const RawTarget&) = delete;

  // Commands.

  void SetAnswer(const RawAnswer& new_answer);

  // Queries.

  // Requests that got the prescribed answer, and those of them that were not
  // the first ones on their connections.
  int runs() const { return this->raw_runs; }
  int runs_on_kept_connections() const { return this->kept_runs; }

 private:
  void Serve(int connection);
  // Answers one request; returns whether the connection is read on.
  bool Answer(int connection, const std::string& head, bool is_raw);
  RawAnswer CurrentAnswer();

  std::string raw_path;
  std::mutex mutex;
  RawAnswer answer;
  std::atomic<int> raw_runs = 0;
  std::atomic<int> kept_runs = 0;
  ThreadedListener listener;  // last, since it serves with all the others
};

}  // namespace lycheewell::harness

#endif  // LYCHEEWELL_TESTS_HARNESS_RAW_TARGET_H_
