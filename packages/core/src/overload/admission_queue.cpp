#include "lycheewell/core/overload/admission_queue.h"

#include <algorithm>

namespace lycheewell::core::overload {
namespace {

std::size_t LargestAccountSize(
    const std::map<std::string, std::deque<QueueEntry>>& by_account) {
  std::size_t largest = 0;
  for (const auto& [account, entries] : by_account) {
    largest = std::max(largest, entries.size());
  }
  return largest;
}

}  // namespace

OfferResult AdmissionQueue::Offer(QueueEntry entry, std::size_t capacity) {
  const auto importance = static_cast<std::size_t>(entry.importance);
  OfferResult result;
  if (this->count >= capacity) {
    for (std::size_t lower = 0; lower < importance; ++lower) {
      if (!this->levels[lower].by_account.empty()) {
        result.displaced = this->PopNewestOfLargestAccount(this->levels[lower]);
        break;
      }
    }
    Level& level = this->levels[importance];
    if (!result.displaced) {
      const auto own = level.by_account.find(entry.account);
      const std::size_t own_size =
          own == level.by_account.end() ? 0 : own->second.size();
      if (LargestAccountSize(level.by_account) <= own_size + 1) {
        return result;
      }
      result.displaced = this->PopNewestOfLargestAccount(level);
    }
  }
  result.accepted = true;
  ++this->count;
  this->levels[importance].by_account[entry.account].push_back(
      std::move(entry));
  return result;
}

PopResult AdmissionQueue::Pop(Instant now) {
  PopResult result;
  for (auto level = this->levels.rbegin(); level != this->levels.rend();
       ++level) {
    while (auto entry = this->PopRoundRobin(*level)) {
      if (entry->deadline <= now) {
        result.expired.push_back(std::move(*entry));
        continue;
      }
      result.next = std::move(*entry);
      return result;
    }
  }
  return result;
}

bool AdmissionQueue::Remove(std::uint64_t ticket) {
  for (Level& level : this->levels) {
    for (auto account = level.by_account.begin();
         account != level.by_account.end(); ++account) {
      auto& entries = account->second;
      const auto found = std::find_if(
          entries.begin(), entries.end(),
          [&](const QueueEntry& entry) { return entry.ticket == ticket; });
      if (found == entries.end()) {
        continue;
      }
      entries.erase(found);
      --this->count;
      if (entries.empty()) {
        level.by_account.erase(account);
      }
      return true;
    }
  }
  return false;
}

Duration AdmissionQueue::OldestWait(Instant now) const {
  Duration longest{};
  for (const Level& level : this->levels) {
    for (const auto& [account, entries] : level.by_account) {
      longest = std::max(longest, now - entries.front().enqueued_at);
    }
  }
  return longest;
}

std::optional<QueueEntry> AdmissionQueue::PopRoundRobin(Level& level) {
  if (level.by_account.empty()) {
    return std::nullopt;
  }
  auto account = level.by_account.upper_bound(level.last_served);
  if (account == level.by_account.end()) {
    account = level.by_account.begin();
  }
  QueueEntry entry = std::move(account->second.front());
  account->second.pop_front();
  level.last_served = account->first;
  if (account->second.empty()) {
    level.by_account.erase(account);
  }
  --this->count;
  return entry;
}

QueueEntry AdmissionQueue::PopNewestOfLargestAccount(Level& level) {
  const auto largest =
      std::max_element(level.by_account.begin(), level.by_account.end(),
                       [](const auto& left, const auto& right) {
                         return left.second.size() < right.second.size();
                       });
  QueueEntry entry = std::move(largest->second.back());
  largest->second.pop_back();
  if (largest->second.empty()) {
    level.by_account.erase(largest);
  }
  --this->count;
  return entry;
}

}  // namespace lycheewell::core::overload
