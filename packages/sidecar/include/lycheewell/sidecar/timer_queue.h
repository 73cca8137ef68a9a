// Many deadlines on one timer of the event loop.
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

// Used on the event loop's thread only. A cancelled deadline costs no system
// call; the timer is armed anew only for an earlier deadline.
class TimerQueue {
 public:
  using Id = std::uint64_t;  // 0 names no deadline

  explicit TimerQueue(boost::asio::io_context& context) : timer(context) {}

  Id At(core::Instant when, std::function<void()> action);
  Id After(core::Duration delay, std::function<void()> action);

  // Sets `id` to 0. A deadline that has passed or that is 0 is no error.
  void Cancel(Id& id);

 private:
  using Key = std::pair<core::Instant, Id>;

  void Arm();
  void RunDue();

  boost::asio::steady_timer timer;
  core::Instant armed_for = core::Instant::max();
  Id last_id = 0;
  std::map<Key, std::function<void()>> actions;
  std::unordered_map<Id, core::Instant> times;
};

}  // namespace lycheewell::sidecar

#endif  // LYCHEEWELL_SIDECAR_TIMER_QUEUE_H_
