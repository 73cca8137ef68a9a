#include "lycheewell/core/membership/unconfirmed_cancels.h"

namespace lycheewell::core::membership {

void UnconfirmedCancels::Record(const std::string& peer, std::uint64_t call_id,
                                Instant now) {
  std::deque<Entry>& entries = this->cancels[peer];
  entries.push_back({.call_id = call_id, .cancelled_at = now, .sent_at = now});
  if (entries.size() > kMaxPerPeer) {
    entries.pop_front();
  }
}

void UnconfirmedCancels::Confirm(const std::string& peer, Instant sent_at) {
  const auto found = this->cancels.find(peer);
  if (found == this->cancels.end()) {
    return;
  }
  std::deque<Entry>& entries = found->second;
  while (!entries.empty() && entries.front().sent_at < sent_at) {
    entries.pop_front();
  }
  if (entries.empty()) {
    this->cancels.erase(found);
  }
}

std::vector<std::uint64_t> UnconfirmedCancels::SendAgain(
    const std::string& peer, Instant now) {
  std::vector<std::uint64_t> calls;
  const auto found = this->cancels.find(peer);
  if (found == this->cancels.end()) {
    return calls;
  }
  std::erase_if(found->second, [&](const Entry& entry) {
    return now - entry.cancelled_at > kMaxAge;
  });
  for (Entry& entry : found->second) {
    entry.sent_at = now;
    calls.push_back(entry.call_id);
  }
  return calls;
}

}  // namespace lycheewell::core::membership
