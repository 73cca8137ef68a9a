#include "lycheewell/core/membership/detector.h"

#include <algorithm>

namespace lycheewell::core::membership {
namespace {

constexpr std::size_t kIndirectPings = 2;

// An update is told this many times for each doubling of the member count.
constexpr int kTellsPerDoubling = 4;

int TellLimit(std::size_t member_count) {
  int doublings = 1;
  while (member_count > 1) {
    member_count /= 2;
    ++doublings;
  }
  return doublings * kTellsPerDoubling;
}

}  // namespace

Detector::Detector(Options new_options) : options(std::move(new_options)) {}

void Detector::SetMembers(const std::vector<DaemonRef>& new_members) {
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
      this->members[daemon].told = TellLimit(wanted.size());
    }
  }
}

std::vector<PingOrder> Detector::Tick(Instant now) {
  std::vector<PingOrder> orders;
  this->EscalateProbes(now, orders);
  for (auto& [daemon, entry] : this->members) {
    if (entry.update.health == Health::kSuspected &&
        now - entry.changed_at >= this->options.suspicion_time) {
      this->Store({daemon, Health::kDead, entry.update.refutation}, now);
    }
  }
  const bool is_due =
      !this->pinged_at || now - *this->pinged_at >= this->options.ping_interval;
  if (!is_due) {
    return orders;
  }
  this->pinged_at = now;
  const auto next = this->NextToPing();
  if (next) {
    this->probes.try_emplace(*next, Probe{now, false});
    orders.push_back({.to = *next});
  }
  return orders;
}

void Detector::EscalateProbes(Instant now, std::vector<PingOrder>& orders) {
  for (auto probe = this->probes.begin(); probe != this->probes.end();) {
    if (now - probe->second.sent_at < this->options.answer_time) {
      ++probe;
      continue;
    }
    const DaemonRef subject = probe->first;
    if (probe->second.is_indirect) {
      const Entry& entry = this->members.at(subject);
      if (entry.update.health != Health::kDead) {
        this->RecordUpdate(
            {subject, Health::kSuspected, entry.update.refutation}, now);
      }
      probe = this->probes.erase(probe);
      continue;
    }
    probe->second = {now, true};
    std::vector<DaemonRef> helpers;
    for (const auto& [daemon, entry] : this->members) {
      const bool is_well = entry.update.health == Health::kAlive ||
                           entry.update.health == Health::kDraining;
      if (daemon != subject && is_well) {
        helpers.push_back(daemon);
      }
    }
    for (std::size_t count = 0; count < kIndirectPings && !helpers.empty();
         ++count) {
      const std::size_t index = this->options.random() % helpers.size();
      orders.push_back({.to = helpers[index], .subject = subject});
      helpers.erase(helpers.begin() + static_cast<std::ptrdiff_t>(index));
    }
    ++probe;
  }
}

std::optional<DaemonRef> Detector::NextToPing() {
  while (true) {
    if (this->round.empty()) {
      for (const auto& [daemon, entry] : this->members) {
        this->round.push_back(daemon);
      }
      for (std::size_t last = this->round.size(); last > 1; --last) {
        std::swap(this->round[last - 1],
                  this->round[this->options.random() % last]);
      }
    }
    if (this->round.empty()) {
      return std::nullopt;
    }
    const DaemonRef next = this->round.back();
    this->round.pop_back();
    if (this->members.contains(next)) {
      return next;
    }
  }
}

void Detector::RecordAnswer(const DaemonRef& daemon) {
  this->probes.erase(daemon);
  const auto found = this->members.find(daemon);
  if (found == this->members.end()) {
    return;
  }
  // Only the daemon itself refutes; others learn it from its own update. Here
  // its answer is proof enough to route to it again.
  Entry& entry = found->second;
  if (entry.update.health == Health::kSuspected ||
      entry.update.health == Health::kDead) {
    entry.update.health = Health::kAlive;
    entry.told = 0;
  }
}

void Detector::RecordUpdate(const Update& update, Instant now) {
  if (update.daemon == this->options.self) {
    const bool is_wrong =
        update.health == Health::kSuspected || update.health == Health::kDead;
    if (is_wrong && update.refutation >= this->own_refutation) {
      this->own_refutation = update.refutation + 1;
      this->must_tell_self = true;
      this->own_told = 0;
    }
    return;
  }
  const auto found = this->members.find(update.daemon);
  if (found == this->members.end()) {
    return;
  }
  const Update& known = found->second.update;
  const bool is_newer =
      update.refutation > known.refutation ||
      (update.refutation == known.refutation && update.health > known.health);
  if (is_newer) {
    this->Store(update, now);
  }
}

void Detector::Store(const Update& update, Instant now) {
  Entry& entry = this->members[update.daemon];
  entry.update = update;
  entry.changed_at = now;
  entry.told = 0;
}

void Detector::BeginDrain() {
  this->draining = true;
  this->must_tell_self = true;
  this->own_told = 0;
  ++this->own_refutation;
}

std::vector<Update> Detector::TakeUpdates(std::size_t most) {
  const int limit = TellLimit(this->members.size() + 1);
  std::vector<Update> updates;
  if (this->must_tell_self) {
    updates.push_back({this->options.self,
                       this->draining ? Health::kDraining : Health::kAlive,
                       this->own_refutation});
    this->must_tell_self = ++this->own_told < limit;
  }
  std::vector<Entry*> candidates;
  for (auto& [daemon, entry] : this->members) {
    if (entry.told < limit) {
      candidates.push_back(&entry);
    }
  }
  std::sort(candidates.begin(), candidates.end(),
            [](const Entry* left, const Entry* right) {
              return left->told < right->told;
            });
  for (Entry* entry : candidates) {
    if (updates.size() >= most) {
      break;
    }
    updates.push_back(entry->update);
    ++entry->told;
  }
  return updates;
}

Health Detector::HealthOf(const DaemonRef& daemon) const {
  if (daemon == this->options.self) {
    return this->draining ? Health::kDraining : Health::kAlive;
  }
  const auto found = this->members.find(daemon);
  return found == this->members.end() ? Health::kDead
                                      : found->second.update.health;
}

std::vector<DaemonRef> Detector::LiveMembers() const {
  std::vector<DaemonRef> live;
  for (const auto& [daemon, entry] : this->members) {
    if (entry.update.health != Health::kDead) {
      live.push_back(daemon);
    }
  }
  return live;
}

std::vector<DaemonRef> Detector::DeadSince(Instant since) const {
  std::vector<DaemonRef> dead;
  for (const auto& [daemon, entry] : this->members) {
    if (entry.update.health == Health::kDead && entry.changed_at <= since) {
      dead.push_back(daemon);
    }
  }
  return dead;
}

}  // namespace lycheewell::core::membership
