// At-most-once execution: asks the recorders before a request with an
// idempotency key is dispatched, and tells them how it ended.
#ifndef LYCHEEWELL_DAEMON_REQUESTS_ATTEMPT_GATE_H_
#define LYCHEEWELL_DAEMON_REQUESTS_ATTEMPT_GATE_H_

#include <boost/asio/awaitable.hpp>
#include <optional>
#include <string>

#include "lycheewell/core/attempts/ballot.h"
#include "lycheewell/daemon/requests/call.h"
#include "lycheewell/daemon/services.h"

namespace lycheewell::daemon::requests {

class AttemptGate {
 public:
  explicit AttemptGate(Services& services);

  // Commands.

  // Records the attempt and sets its id in `call`. Empty: dispatch it.
  // Otherwise the final answer: the kept one, or a refusal.
  boost::asio::awaitable<std::optional<CallResult>> Begin(Call& call);

  // The attempt was never handed to a target and will not be.
  void Release(const Call& call);

  // The attempt has a whole answer.
  void Finish(const Call& call, const CallResult& result);

  // Fetches records that this daemon lacks as a recorder. Called now and then.
  void FetchMissing();

  // Other daemons' messages.
  void HandleProposal(const peers::Incoming& message);
  void HandleRelease(const peers::AttemptRelease& release);
  void HandleFinish(const peers::AttemptFinish& finish);
  void HandleExportRequest(const peers::Incoming& message);

 private:
  boost::asio::awaitable<core::attempts::Ballot> CollectVotes(
      const Call& call, core::attempts::Group group);
  void ImportAnswer(const peers::Answer& answer);

  Services& services;
};

}  // namespace lycheewell::daemon::requests

#endif  // LYCHEEWELL_DAEMON_REQUESTS_ATTEMPT_GATE_H_
