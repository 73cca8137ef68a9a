#include "lycheewell/core/membership/failure_detector.h"

#include <algorithm>

namespace lycheewell::core::membership {
namespace {

constexpr std::size_t kIndirectPings = 2;

// An update is sent this many times, and as many more for each doubling of the
// member count.
constexpr int kTransmitsPerDoubling = 4;

int TransmitLimit(std::size_t member_count) {
  int doublings = 1;
  while (member_count > 1) {
    member_count /= 2;
    ++doublings;
  }
  return doublings * kTransmitsPerDoubling;
}

}  // namespace

FailureDetector::FailureDetector(Options new_options)
    : options(std::move(new_options)) {}

void FailureDetector::SetMembers(const std::vector<DaemonRef>& new_members) {
  const std::set<DaemonRef> wanted(new_members.begin(), new_members.end());
  std::erase_if(this->members, [&](const auto& entry) {
    return !wanted.contains(entry.first);
  });
  std::erase_if(this->probes, [&](const auto& entry) {
    return !wanted.contains(entry.first);
  });
  for (const DaemonRef& daemon : wanted) {
    if (daemon != this->options.self && !this->members.contains(daemon)) {
      this->members[daemon].update = {.daemon = daemon};
      this->members[daemon].transmit_count = TransmitLimit(wanted.size());
    }
  }
}

std::vector<OutgoingPing> FailureDetector::Tick(Instant now) {
  std::vector<OutgoingPing> pings;
  this->EscalateProbes(now, pings);
  for (auto& [daemon, entry] : this->members) {
    if (entry.update.health == Health::kSuspected &&
        now - entry.changed_at >= this->options.suspicion_timeout) {
      this->Store({daemon, Health::kDead, entry.update.refutation_number}, now);
    }
  }
  const bool is_due = !this->last_ping_at ||
                      now - *this->last_ping_at >= this->options.ping_interval;
  if (!is_due) {
    return pings;
  }
  this->last_ping_at = now;
  const auto next = this->NextToPing();
  if (next) {
    this->probes.try_emplace(*next, Probe{now, false});
    pings.push_back({.to = *next});
  }
  return pings;
}

void FailureDetector::EscalateProbes(Instant now,
                                     std::vector<OutgoingPing>& pings) {
  for (auto probe = this->probes.begin(); probe != this->probes.end();) {
    if (now - probe->second.sent_at < this->options.ping_timeout) {
      ++probe;
      continue;
    }
    const DaemonRef subject = probe->first;
    if (probe->second.is_indirect) {
      const Entry& entry = this->members.at(subject);
      if (entry.update.health != Health::kDead) {
        this->RecordUpdate(
            {subject, Health::kSuspected, entry.update.refutation_number}, now);
      }
      probe = this->probes.erase(probe);
      continue;
    }
    probe->second = {now, true};
    std::vector<DaemonRef> helpers;
    for (const auto& [daemon, entry] : this->members) {
      const bool is_healthy = entry.update.health == Health::kAlive ||
                              entry.update.health == Health::kDraining;
      if (daemon != subject && is_healthy) {
        helpers.push_back(daemon);
      }
    }
    for (std::size_t count = 0; count < kIndirectPings && !helpers.empty();
         ++count) {
      const std::size_t index = this->options.random() % helpers.size();
      pings.push_back({.to = helpers[index], .subject = subject});
      helpers.erase(helpers.begin() + static_cast<std::ptrdiff_t>(index));
    }
    ++probe;
  }
}

std::optional<DaemonRef> FailureDetector::NextToPing() {
  while (true) {
    if (this->ping_queue.empty()) {
      for (const auto& [daemon, entry] : this->members) {
        this->ping_queue.push_back(daemon);
      }
      for (std::size_t last = this->ping_queue.size(); last > 1; --last) {
        std::swap(this->ping_queue[last - 1],
                  this->ping_queue[this->options.random() % last]);
      }
    }
    if (this->ping_queue.empty()) {
      return std::nullopt;
    }
    const DaemonRef next = this->ping_queue.back();
    this->ping_queue.pop_back();
    if (this->members.contains(next)) {
      return next;
    }
  }
}

void FailureDetector::RecordAnswer(const DaemonRef& daemon) {
  this->probes.erase(daemon);
  const auto found = this->members.find(daemon);
  if (found == this->members.end()) {
    return;
  }
  // The refutation number stays: only the daemon itself increments it, and
  // other members learn from its own update that it is alive. For this daemon,
  // the answer suffices to route to it again.
  Entry& entry = found->second;
  if (entry.update.health == Health::kSuspected ||
      entry.update.health == Health::kDead) {
    entry.update.health = Health::kAlive;
    entry.transmit_count = 0;
  }
}

void FailureDetector::RecordUpdate(const Update& update, Instant now) {
  if (update.daemon == this->options.self) {
    const bool claims_failure =
        update.health == Health::kSuspected || update.health == Health::kDead;
    if (claims_failure &&
        update.refutation_number >= this->own_refutation_number) {
      this->own_refutation_number = update.refutation_number + 1;
      this->own_update_pending = true;
      this->own_transmit_count = 0;
    }
    return;
  }
  const auto found = this->members.find(update.daemon);
  if (found == this->members.end()) {
    return;
  }
  const Update& known = found->second.update;
  const bool is_newer = update.refutation_number > known.refutation_number ||
                        (update.refutation_number == known.refutation_number &&
                         update.health > known.health);
  if (is_newer) {
    this->Store(update, now);
  }
}

void FailureDetector::Store(const Update& update, Instant now) {
  Entry& entry = this->members[update.daemon];
  entry.update = update;
  entry.changed_at = now;
  entry.transmit_count = 0;
}

void FailureDetector::BeginDrain() {
  this->draining = true;
  this->own_update_pending = true;
  this->own_transmit_count = 0;
  ++this->own_refutation_number;
}

std::vector<Update> FailureDetector::TakeUpdates(std::size_t max_count) {
  const int limit = TransmitLimit(this->members.size() + 1);
  std::vector<Update> updates;
  if (this->own_update_pending) {
    updates.push_back({this->options.self,
                       this->draining ? Health::kDraining : Health::kAlive,
                       this->own_refutation_number});
    this->own_update_pending = ++this->own_transmit_count < limit;
  }
  std::vector<Entry*> candidates;
  for (auto& [daemon, entry] : this->members) {
    if (entry.transmit_count < limit) {
      candidates.push_back(&entry);
    }
  }
  std::sort(candidates.begin(), candidates.end(),
            [](const Entry* left, const Entry* right) {
              return left->transmit_count < right->transmit_count;
            });
  for (Entry* entry : candidates) {
    if (updates.size() >= max_count) {
      break;
    }
    updates.push_back(entry->update);
    ++entry->transmit_count;
  }
  return updates;
}

Health FailureDetector::HealthOf(const DaemonRef& daemon) const {
  if (daemon == this->options.self) {
    return this->draining ? Health::kDraining : Health::kAlive;
  }
  const auto found = this->members.find(daemon);
  return found == this->members.end() ? Health::kDead
                                      : found->second.update.health;
}

std::vector<DaemonRef> FailureDetector::LiveMembers() const {
  std::vector<DaemonRef> live;
  for (const auto& [daemon, entry] : this->members) {
    if (entry.update.health != Health::kDead) {
      live.push_back(daemon);
    }
  }
  return live;
}

std::vector<DaemonRef> FailureDetector::DeadSince(Instant since) const {
  std::vector<DaemonRef> dead;
  for (const auto& [daemon, entry] : this->members) {
    if (entry.update.health == Health::kDead && entry.changed_at <= since) {
      dead.push_back(daemon);
    }
  }
  return dead;
}

}  // namespace lycheewell::core::membership
