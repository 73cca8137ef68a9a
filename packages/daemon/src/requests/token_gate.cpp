#include "lycheewell/daemon/requests/token_gate.h"

#include <algorithm>

namespace lycheewell::daemon::requests {
namespace asio = boost::asio;

namespace {

// How long a request waits for tokens from other daemons.
constexpr auto kGatherTime = std::chrono::milliseconds(30);
constexpr auto kLoanTimeout = std::chrono::milliseconds(50);
constexpr auto kLeastRetryAfter = std::chrono::milliseconds(1);

}  // namespace

TokenGate::TokenGate(Services& new_services) : services(new_services) {}

asio::awaitable<TokenDecision> TokenGate::Acquire(std::string account) {
  const core::Instant give_up = Now() + kGatherTime;
  const auto executor = co_await asio::this_coro::executor;
  while (true) {
    auto waiter = std::make_shared<tables::TokenWaiter>(executor);
    std::vector<core::rate::LoanRequest> requests;
    {
      auto limiters = this->services.tables.limiters.Lock();
      const auto found = limiters->by_account.find(account);
      if (found == limiters->by_account.end()) {
        co_return TokenDecision{};
      }
      tables::LimiterEntry& entry = found->second;
      const core::Instant now = Now();
      if (entry.limiter.TryAdmit(limiters->heartbeats, now)) {
        co_return TokenDecision{.admitted = true};
      }
      requests = entry.limiter.RequestLoans(entry.waiters.size() + 1, now);
      const bool nothing_to_wait_for =
          requests.empty() && !entry.limiter.HasPendingLoanRequest(now);
      if (nothing_to_wait_for || now >= give_up) {
        const auto wait = std::chrono::duration_cast<std::chrono::milliseconds>(
            entry.limiter.TimePerToken());
        co_return TokenDecision{
            .retry_after =
                std::max<std::chrono::milliseconds>(kLeastRetryAfter, wait)};
      }
      entry.waiters.push_back(waiter);
    }
    this->SendLoanRequests(requests);
    co_await waiter->Wait(give_up - Now());
    auto limiters = this->services.tables.limiters.Lock();
    const auto found = limiters->by_account.find(account);
    if (found != limiters->by_account.end()) {
      std::erase(found->second.waiters, waiter);
    }
  }
}

void TokenGate::ApplyConfiguration(const core::configuration::State& state) {
  namespace configuration = core::configuration;
  auto limiters = this->services.tables.limiters.Lock();
  std::erase_if(limiters->by_account, [&](const auto& entry) {
    return !state.objects.contains(configuration::AccountObject(entry.first));
  });
  constexpr std::string_view kPrefix = "account/";
  for (auto object = state.objects.lower_bound(kPrefix);
       object != state.objects.end() && object->first.starts_with(kPrefix);
       ++object) {
    const std::string account(configuration::ObjectName(object->first));
    const auto roster = state.rosters.find(account);
    if (roster == state.rosters.end()) {
      continue;
    }
    auto found = limiters->by_account.find(account);
    if (found == limiters->by_account.end()) {
      found = limiters->by_account
                  .try_emplace(account,
                               core::rate::AccountLimiter::Options{
                                   .account = account,
                                   .self = this->services.self,
                                   .random = this->services.random},
                               Now())
                  .first;
    }
    found->second.limiter.Configure(
        std::get<configuration::Account>(object->second.value), roster->second,
        Now());
  }
}

void TokenGate::Tick() {
  std::vector<core::rate::LoanRequest> requests;
  std::vector<core::rate::LoanSettlement> settlements;
  {
    auto limiters = this->services.tables.limiters.Lock();
    const core::Instant now = Now();
    for (auto& [account, entry] : limiters->by_account) {
      auto ahead = entry.limiter.RequestLoans(0, now);
      requests.insert(requests.end(), ahead.begin(), ahead.end());
      auto due = entry.limiter.TakeSettlements(now);
      settlements.insert(settlements.end(), due.begin(), due.end());
    }
  }
  this->SendLoanRequests(requests);
  for (const core::rate::LoanSettlement& settlement : settlements) {
    peers::Envelope envelope;
    peers::LoanSettlement* message = envelope.mutable_loan_settlement();
    message->set_account(settlement.account);
    message->set_loan_id(settlement.loan_id);
    message->set_spent(settlement.spent);
    message->set_returned(settlement.returned);
    this->services.transport->Send(settlement.lender.id, std::move(envelope));
  }
}

void TokenGate::SendLoanRequests(
    const std::vector<core::rate::LoanRequest>& requests) {
  for (const core::rate::LoanRequest& request : requests) {
    this->services.metrics.Count(metrics::Counter::kLoansRequested);
    peers::Envelope envelope;
    peers::LoanRequest* message = envelope.mutable_loan_request();
    message->set_account(request.account);
    message->set_loan_id(request.loan_id);
    message->set_micro_tokens(request.amount);
    message->set_urgent(request.urgent);
    this->services.transport->Request(
        request.lender.id, std::move(envelope), kLoanTimeout,
        [this, account = request.account,
         loan_id = request.loan_id](const peers::Answer& answer) {
          this->ReceiveLoan(account, loan_id, answer);
        });
  }
}

void TokenGate::ReceiveLoan(const std::string& account, std::uint64_t loan_id,
                            const peers::Answer& answer) {
  const core::rate::MicroTokens amount =
      answer.kind == peers::AnswerKind::kAnswered
          ? answer.envelope.loan_answer().micro_tokens()
          : 0;
  auto limiters = this->services.tables.limiters.Lock();
  const auto found = limiters->by_account.find(account);
  if (found == limiters->by_account.end()) {
    return;
  }
  found->second.limiter.AddLoan(loan_id, amount, Now());
  for (const auto& waiter : found->second.waiters) {
    waiter->Deliver(true);
  }
}

void TokenGate::HandleLoanRequest(const peers::Incoming& message) {
  const peers::LoanRequest& request = message.envelope.loan_request();
  core::rate::MicroTokens lent = 0;
  {
    auto limiters = this->services.tables.limiters.Lock();
    const auto found = limiters->by_account.find(request.account());
    if (found != limiters->by_account.end()) {
      lent = found->second.limiter.Lend({.account = request.account(),
                                         .loan_id = request.loan_id(),
                                         .amount = request.micro_tokens(),
                                         .urgent = request.urgent()},
                                        limiters->heartbeats, Now());
    }
  }
  if (lent > 0) {
    this->services.metrics.Count(metrics::Counter::kTokensLent);
  }
  peers::Envelope envelope;
  envelope.mutable_loan_answer()->set_micro_tokens(lent);
  this->services.transport->Reply(message, std::move(envelope));
}

void TokenGate::HandleSettlement(const peers::LoanSettlement& settlement) {
  auto limiters = this->services.tables.limiters.Lock();
  const auto found = limiters->by_account.find(settlement.account());
  if (found != limiters->by_account.end()) {
    found->second.limiter.SettleLoan({.account = settlement.account(),
                                      .loan_id = settlement.loan_id(),
                                      .spent = settlement.spent(),
                                      .returned = settlement.returned()},
                                     Now());
  }
}

}  // namespace lycheewell::daemon::requests
