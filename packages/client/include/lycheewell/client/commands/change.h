// Commands that lead to a change: plan, undo, confirm.
#ifndef LYCHEEWELL_CLIENT_COMMANDS_CHANGE_H_
#define LYCHEEWELL_CLIENT_COMMANDS_CHANGE_H_

#include <string>

#include "lycheewell/client/session.h"

namespace lycheewell::client::commands {

// Asks for a plan with `body`, prints it and writes it to `plan_path`.
ExitCode MakePlan(const Session& session, const boost::json::object& body,
                  const std::string& plan_path);

struct Confirmation {
  std::string plan_path;
  std::string reason;
  bool accept_disruption = false;
};

// Confirms the plan in the file. Safe to repeat.
ExitCode Confirm(const Session& session, const Confirmation& confirmation);

}  // namespace lycheewell::client::commands

#endif  // LYCHEEWELL_CLIENT_COMMANDS_CHANGE_H_
