#include "lycheewell/sidecar/links/accepted_calls.h"

namespace lycheewell::sidecar::links {

void AcceptedCalls::SetTicket(const LinkPointer& link, std::uint64_t call_id,
                              Ticket ticket) {
  const auto calls = this->tickets.find(link);
  if (calls == this->tickets.end()) {
    return;
  }
  const auto found = calls->second.find(call_id);
  if (found != calls->second.end()) {
    found->second = ticket;
  }
}

bool AcceptedCalls::Remove(const LinkPointer& link, std::uint64_t call_id) {
  const auto calls = this->tickets.find(link);
  if (calls == this->tickets.end()) {
    return false;
  }
  calls->second.erase(call_id);
  return true;
}

std::optional<AcceptedCalls::Ticket> AcceptedCalls::Take(
    const LinkPointer& link, std::uint64_t call_id) {
  const auto calls = this->tickets.find(link);
  if (calls == this->tickets.end()) {
    return std::nullopt;
  }
  const auto found = calls->second.find(call_id);
  if (found == calls->second.end()) {
    return std::nullopt;
  }
  const Ticket ticket = found->second;
  calls->second.erase(found);
  return ticket;
}

std::optional<AcceptedCalls::Ticket> AcceptedCalls::TakeFromSender(
    const LinkPointer& link, std::uint64_t call_id) {
  for (const auto& [other, calls] : this->tickets) {
    if (other->member == link->member && calls.contains(call_id)) {
      return this->Take(other, call_id);
    }
  }
  return std::nullopt;
}

std::vector<AcceptedCalls::Ticket> AcceptedCalls::TakeAll(
    const LinkPointer& link) {
  std::vector<Ticket> taken;
  const auto calls = this->tickets.find(link);
  if (calls == this->tickets.end()) {
    return taken;
  }
  for (const auto& [call_id, ticket] : calls->second) {
    taken.push_back(ticket);
  }
  this->tickets.erase(calls);
  return taken;
}

bool AcceptedCalls::Contains(const LinkPointer& link,
                             std::uint64_t call_id) const {
  const auto calls = this->tickets.find(link);
  return calls != this->tickets.end() && calls->second.contains(call_id);
}

}  // namespace lycheewell::sidecar::links
