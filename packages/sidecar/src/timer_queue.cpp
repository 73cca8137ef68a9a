#include "lycheewell/sidecar/timer_queue.h"

#include <algorithm>

#include "lycheewell/sidecar/clock.h"

namespace lycheewell::sidecar {

TimerQueue::Id TimerQueue::At(core::Instant when,
                              std::function<void()> action) {
  const Id id = ++this->last_id;
  this->actions.emplace(Key{when, id}, std::move(action));
  this->deadlines.emplace(id, when);
  this->Arm();
  return id;
}

TimerQueue::Id TimerQueue::After(core::Duration delay,
                                 std::function<void()> action) {
  return this->At(Now() + delay, std::move(action));
}

void TimerQueue::Cancel(Id& id) {
  const auto found = this->deadlines.find(id);
  if (found != this->deadlines.end()) {
    this->actions.erase(Key{found->second, id});
    this->deadlines.erase(found);
  }
  id = 0;
}

void TimerQueue::Arm() {
  if (this->actions.empty() ||
      this->actions.begin()->first.first >= this->armed_deadline) {
    return;
  }
  this->armed_deadline = this->actions.begin()->first.first;
  // The timer's own clock stands still while the VM is suspended, so it gets
  // the delay and not the deadline.
  this->timer.expires_after(
      std::max(core::Duration::zero(), this->armed_deadline - Now()));
  this->timer.async_wait([this](const boost::system::error_code& error) {
    if (!error) {
      this->RunExpired();
    }
  });
}

void TimerQueue::RunExpired() {
  const core::Instant now = Now();
  if (this->on_run) {
    this->on_run(std::max(core::Duration::zero(), now - this->armed_deadline));
  }
  while (!this->actions.empty() && this->actions.begin()->first.first <= now) {
    const auto first = this->actions.begin();
    const std::function<void()> action = std::move(first->second);
    this->deadlines.erase(first->first.second);
    this->actions.erase(first);
    action();
  }
  this->armed_deadline = core::Instant::max();
  this->Arm();
}

}  // namespace lycheewell::sidecar
