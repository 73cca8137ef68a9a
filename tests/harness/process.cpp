#include "harness/process.h"

#include <fcntl.h>
#include <signal.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

#include <array>
#include <stdexcept>
#include <utility>

extern char** environ;

namespace lycheewell::harness {
namespace {

constexpr int kSignalBase = 128;

pid_t Spawn(const std::vector<std::string>& arguments,
            posix_spawn_file_actions_t& actions) {
  std::vector<char*> pointers;
  pointers.reserve(arguments.size() + 1);
  for (const std::string& argument : arguments) {
    pointers.push_back(const_cast<char*>(argument.c_str()));
  }
  pointers.push_back(nullptr);
  // The child would keep the ports of the test's own servers.
  posix_spawn_file_actions_addclosefrom_np(&actions, STDERR_FILENO + 1);
  pid_t id = -1;
  const int error = posix_spawn(&id, pointers[0], &actions, nullptr,
                                pointers.data(), environ);
  posix_spawn_file_actions_destroy(&actions);
  if (error != 0) {
    throw std::runtime_error("cannot start " + arguments[0]);
  }
  return id;
}

int DecodeStatus(int status) {
  return WIFEXITED(status) ? WEXITSTATUS(status)
                           : kSignalBase + WTERMSIG(status);
}

}  // namespace

CommandResult RunCommand(const std::vector<std::string>& arguments) {
  int ends[2];
  if (pipe2(ends, O_CLOEXEC) != 0) {
    throw std::runtime_error("cannot make a pipe");
  }
  posix_spawn_file_actions_t actions;
  posix_spawn_file_actions_init(&actions);
  posix_spawn_file_actions_adddup2(&actions, ends[1], STDOUT_FILENO);
  posix_spawn_file_actions_adddup2(&actions, ends[1], STDERR_FILENO);
  const pid_t id = Spawn(arguments, actions);
  close(ends[1]);
  CommandResult result;
  std::array<char, 4096> chunk{};
  ssize_t count = 0;
  while ((count = read(ends[0], chunk.data(), chunk.size())) > 0) {
    result.output.append(chunk.data(), static_cast<std::size_t>(count));
  }
  close(ends[0]);
  int status = 0;
  waitpid(id, &status, 0);
  result.exit_code = DecodeStatus(status);
  return result;
}

Process::Process(const std::vector<std::string>& arguments,
                 const std::string& output_path) {
  posix_spawn_file_actions_t actions;
  posix_spawn_file_actions_init(&actions);
  constexpr mode_t kMode = 0644;
  posix_spawn_file_actions_addopen(&actions, STDOUT_FILENO, output_path.c_str(),
                                   O_WRONLY | O_CREAT | O_APPEND, kMode);
  posix_spawn_file_actions_adddup2(&actions, STDOUT_FILENO, STDERR_FILENO);
  this->id = Spawn(arguments, actions);
}

Process::Process(Process&& other) noexcept
    : id(std::exchange(other.id, -1)), exit_code(other.exit_code) {}

Process::~Process() { this->Kill(); }

void Process::Signal(int number) {
  if (this->id > 0) {
    kill(this->id, number);
  }
}

void Process::Kill() {
  if (this->id > 0) {
    this->Signal(SIGKILL);
    this->Wait();
  }
}

int Process::Wait() {
  if (this->id > 0) {
    int status = 0;
    waitpid(this->id, &status, 0);
    this->exit_code = DecodeStatus(status);
    this->id = -1;
  }
  return this->exit_code;
}

bool Process::IsRunning() {
  if (this->id <= 0) {
    return false;
  }
  int status = 0;
  if (waitpid(this->id, &status, WNOHANG) == this->id) {
    this->exit_code = DecodeStatus(status);
    this->id = -1;
    return false;
  }
  return true;
}

}  // namespace lycheewell::harness
