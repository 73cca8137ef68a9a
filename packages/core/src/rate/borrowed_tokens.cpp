#include "lycheewell/core/rate/borrowed_tokens.h"

#include <algorithm>

namespace lycheewell::core::rate {
namespace {

// The unspent part of a loan is returned this long before the loan expires.
constexpr Duration kReturnBeforeExpiry = std::chrono::milliseconds(100);

}  // namespace

void BorrowedTokens::ExpectLoan(std::uint64_t loan_id, const DaemonRef& lender,
                                Instant sent_at) {
  this->loans[loan_id] = {.lender = lender,
                          .expires_at = sent_at + kLoanLifetime};
}

void BorrowedTokens::AddLoan(std::uint64_t loan_id, MicroTokens amount,
                             Instant now) {
  const auto found = this->loans.find(loan_id);
  if (found == this->loans.end() || found->second.answered) {
    return;
  }
  if (amount <= 0 || now >= found->second.expires_at) {
    this->loans.erase(found);
    return;
  }
  found->second.answered = true;
  found->second.amount = amount;
}

bool BorrowedTokens::Spend(MicroTokens amount, Instant now) {
  if (this->Available(now) < amount) {
    return false;
  }
  MicroTokens remaining = amount;
  for (auto& [id, loan] : this->loans) {
    if (remaining == 0) {
      break;
    }
    if (now >= loan.expires_at || loan.unspent() == 0) {
      continue;
    }
    const MicroTokens part = std::min(remaining, loan.unspent());
    loan.spent += part;
    loan.settlement_due = true;
    remaining -= part;
  }
  return true;
}

std::vector<LoanSettlement> BorrowedTokens::TakeSettlements(
    const std::string& account, Instant now) {
  std::vector<LoanSettlement> settlements;
  for (auto entry = this->loans.begin(); entry != this->loans.end();) {
    Loan& loan = entry->second;
    const bool is_expiring = now + kReturnBeforeExpiry >= loan.expires_at;
    const bool is_spent = loan.answered && loan.unspent() == 0;
    if (loan.answered && (loan.settlement_due || is_expiring)) {
      const bool may_return = is_expiring && now < loan.expires_at;
      settlements.push_back({.account = account,
                             .lender = loan.lender,
                             .loan_id = entry->first,
                             .spent = loan.spent,
                             .returned = may_return ? loan.unspent() : 0});
      loan.settlement_due = false;
    }
    const bool is_finished =
        is_spent || (loan.answered && is_expiring) || now >= loan.expires_at;
    entry = is_finished ? this->loans.erase(entry) : std::next(entry);
  }
  return settlements;
}

MicroTokens BorrowedTokens::Available(Instant now) const {
  MicroTokens sum = 0;
  for (const auto& [id, loan] : this->loans) {
    if (now < loan.expires_at) {
      sum += loan.unspent();
    }
  }
  return sum;
}

bool BorrowedTokens::HasPendingRequest(const DaemonRef& lender,
                                       Instant since) const {
  return std::any_of(this->loans.begin(), this->loans.end(),
                     [&](const auto& entry) {
                       const Loan& loan = entry.second;
                       return loan.lender == lender && !loan.answered &&
                              loan.expires_at - kLoanLifetime >= since;
                     });
}

}  // namespace lycheewell::core::rate
