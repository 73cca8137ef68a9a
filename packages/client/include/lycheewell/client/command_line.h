// The command line of the operators' client.
#ifndef LYCHEEWELL_CLIENT_COMMAND_LINE_H_
#define LYCHEEWELL_CLIENT_COMMAND_LINE_H_

#include <string>
#include <vector>

#include "lycheewell/client/session.h"

namespace lycheewell::client {

// Runs one command, for example {"lycheewell", "status", "--json"}.
ExitCode RunCommandLine(std::vector<std::string> arguments);

}  // namespace lycheewell::client

#endif  // LYCHEEWELL_CLIENT_COMMAND_LINE_H_
