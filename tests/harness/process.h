// A child process of a test.
#ifndef LYCHEEWELL_TESTS_HARNESS_PROCESS_H_
#define LYCHEEWELL_TESTS_HARNESS_PROCESS_H_

#include <sys/types.h>

#include <string>
#include <vector>

namespace lycheewell::harness {

// What a finished command printed.
struct CommandResult {
  int exit_code = 0;
  std::string output;
};

// Runs a program to its end and returns its standard output and error.
CommandResult RunCommand(const std::vector<std::string>& arguments);

// Killed when the object goes, unless it has ended.
class Process {
 public:
  // Starts `arguments[0]`; its output goes to `output_path`.
  Process(const std::vector<std::string>& arguments,
          const std::string& output_path);
  ~Process();

  Process(Process&& other) noexcept;
  Process& operator=(Process&&) = delete;

  // Commands.

  void Signal(int number);

  // Kills the process and waits for its end.
  void Kill();

  // Waits for the end; returns the exit code, or 128 + the signal's number.
  int Wait();

  // Queries.

  pid_t pid() const { return this->id; }
  bool IsRunning();

 private:
  pid_t id = -1;
  int exit_code = -1;
};

}  // namespace lycheewell::harness

#endif  // LYCHEEWELL_TESTS_HARNESS_PROCESS_H_
