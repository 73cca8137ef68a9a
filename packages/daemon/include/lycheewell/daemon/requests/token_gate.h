// Takes one token of an account's rate for each request, from the tokens at
// hand or from other daemons.
#ifndef LYCHEEWELL_DAEMON_REQUESTS_TOKEN_GATE_H_
#define LYCHEEWELL_DAEMON_REQUESTS_TOKEN_GATE_H_

#include <boost/asio/awaitable.hpp>
#include <string>

#include "lycheewell/daemon/services.h"

namespace lycheewell::daemon::requests {

struct TokenDecision {
  bool admitted = false;
  std::chrono::milliseconds retry_after{0};

  bool operator==(const TokenDecision&) const = default;
};

class TokenGate {
 public:
  explicit TokenGate(Services& services);

  // Commands.

  // Waits a short time for tokens held elsewhere before it refuses.
  boost::asio::awaitable<TokenDecision> Acquire(std::string account);

  // Takes over accounts and rosters from the configuration.
  void ApplyConfiguration(const core::configuration::State& state);

  // Fetches tokens ahead and settles loans. Called every few milliseconds.
  void Tick();

  // Another daemon's messages.
  void HandleLoanRequest(const peers::Incoming& message);
  void HandleSettlement(const peers::LoanSettlement& settlement);

 private:
  void SendLoanRequests(const std::vector<core::rate::LoanRequest>& requests);
  void ReceiveLoan(const std::string& account, std::uint64_t loan_id,
                   const peers::Answer& answer);

  Services& services;
};

}  // namespace lycheewell::daemon::requests

#endif  // LYCHEEWELL_DAEMON_REQUESTS_TOKEN_GATE_H_
