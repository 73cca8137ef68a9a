// One call of the client: where the daemon is, who asks, how to print.
#ifndef LYCHEEWELL_CLIENT_SESSION_H_
#define LYCHEEWELL_CLIENT_SESSION_H_

#include <boost/json.hpp>
#include <string>
#include <variant>
#include <vector>

namespace lycheewell::client {

// Exit codes; they never change their meaning.
enum class ExitCode : int {
  kOk = 0,
  kFailed = 1,         // the daemon cannot be reached or answered an error
  kUsage = 2,          // the command line or the plan file is wrong
  kRejected = 3,       // a newer change of the same object is in force
  kDisruptive = 4,     // --accept-disruption is needed
  kUnknown = 5,        // the change may or may not be in force: confirm again
  kNotEverywhere = 6,  // accepted, but not yet in force at every daemon
};

struct Session {
  std::string address;  // "host:port" of a daemon's operators' port
  std::string token;
  bool as_json = false;
};

struct Answer {
  int status = 0;
  boost::json::object body;
};

struct CallError {
  std::string detail;
};

// Sends one request to the operators' port and waits for its answer.
std::variant<Answer, CallError> Call(const Session& session,
                                     const std::string& method,
                                     const std::string& target,
                                     const std::string& body);

// Prints an answer's problems to standard error and returns the exit code.
ExitCode ReportProblems(const Answer& answer);
ExitCode ReportCallError(const Session& session, const CallError& error);

// "2026-01-31 09:30:00 UTC".
std::string FormatTime(std::int64_t time_ms);

// A field's text; numbers and truth values as JSON writes them.
std::string FieldText(const boost::json::object& object,
                      std::string_view field);

}  // namespace lycheewell::client

#endif  // LYCHEEWELL_CLIENT_SESSION_H_
