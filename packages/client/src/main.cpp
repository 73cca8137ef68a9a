// lycheewell: the operators' client.
#include <string>
#include <vector>

#include "lycheewell/client/command_line.h"

int main(int argc, char** argv) {
  const std::vector<std::string> arguments(argv, argv + argc);
  return static_cast<int>(lycheewell::client::RunCommandLine(arguments));
}
