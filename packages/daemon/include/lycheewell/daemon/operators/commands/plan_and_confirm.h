// The operators' commands: make a plan, confirm it.
#ifndef LYCHEEWELL_DAEMON_OPERATORS_COMMANDS_PLAN_AND_CONFIRM_H_
#define LYCHEEWELL_DAEMON_OPERATORS_COMMANDS_PLAN_AND_CONFIRM_H_

#include <boost/asio/awaitable.hpp>

#include "lycheewell/daemon/operators/operators_context.h"

namespace lycheewell::daemon::operators::commands {

// POST /v1/plan with {"intents": [{"object", "value"}], "issue_key":
// {"account", "id"}, "undo_to": offset}, each optional. Changes nothing. A new
// key is made here and shown in this answer only.
io::http::Response MakePlan(OperatorsContext& context,
                            const OperatorRequest& request);

// POST /v1/confirm with {"command_id", "reason", "accept_disruption",
// "changes"}. Appends the change, waits until it is folded here and, for a
// while, until it is in force everywhere. The same command id may be sent again
// after a lost answer.
boost::asio::awaitable<io::http::Response> Confirm(
    OperatorsContext& context, const OperatorRequest& request);

}  // namespace lycheewell::daemon::operators::commands

#endif  // LYCHEEWELL_DAEMON_OPERATORS_COMMANDS_PLAN_AND_CONFIRM_H_
