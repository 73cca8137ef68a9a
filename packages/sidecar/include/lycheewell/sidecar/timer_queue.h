// Multiplexes many deadlines onto one timer of the event loop.
#ifndef LYCHEEWELL_SIDECAR_TIMER_QUEUE_H_
#define LYCHEEWELL_SIDECAR_TIMER_QUEUE_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <functional>
#include <map>
#include <unordered_map>
#include <utility>

#include "lycheewell/core/types.h"

namespace lycheewell::sidecar {

// Not thread-safe: used on the event loop's thread only. Cancelling a deadline
// makes no system call; the timer is rearmed only for an earlier deadline.
class TimerQueue {
 public:
  using Id = std::uint64_t;  // 0 is not a valid deadline

  explicit TimerQueue(boost::asio::io_context& context) : timer(context) {}

  Id At(core::Instant when, std::function<void()> action);
  Id After(core::Duration delay, std::function<void()> action);

  // Cancels the deadline and sets `id` to 0. Does nothing else when the
  // deadline has passed or `id` is 0.
  void Cancel(Id& id);

  // Called before expired deadlines run, with the time for which the earliest
  // of them has been due.
  std::function<void(core::Duration late_by)> on_run;

 private:
  using Key = std::pair<core::Instant, Id>;

  void Arm();
  void RunExpired();

  boost::asio::steady_timer timer;
  core::Instant armed_deadline = core::Instant::max();
  Id last_id = 0;
  std::map<Key, std::function<void()>> actions;
  std::unordered_map<Id, core::Instant> deadlines;
};

}  // namespace lycheewell::sidecar

#endif  // LYCHEEWELL_SIDECAR_TIMER_QUEUE_H_
