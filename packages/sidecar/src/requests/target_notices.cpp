// What targets say of themselves in their answers.
#include <boost/asio/post.hpp>
#include <string>

#include "lycheewell/sidecar/clock.h"
#include "lycheewell/sidecar/requests/gate.h"

namespace lycheewell::sidecar::requests {
using daemon::events::Event;

void Gate::TakeNotices(const Call& call, const TargetAnswer& answer) {
  if (answer.is_wrong_instance ||
      call.request.instance != this->target.instance) {
    return;  // it speaks for another target
  }
  if (answer.unreadable_limit) {
    this->log.Write(Event::kTargetNoticeUnreadable,
                    {{"instance", call.request.instance},
                     {"limit", *answer.unreadable_limit}});
  }
  if (answer.unreadable_limit && !answer.limit_per_second) {
    return;  // it neither confirms nor lifts the limit
  }
  const bool was_limited = this->limit.per_second().has_value();
  if (!this->limit.OnAnswer(answer.limit_per_second, call.started_at, Now())) {
    return;
  }
  const auto per_second = this->limit.per_second();
  this->log.Write(
      Event::kTargetLimitChanged,
      {{"instance", this->target.instance},
       {"per_second", per_second ? std::to_string(*per_second) : "none"}});
  boost::asio::post(this->context, [this, was_limited] {
    this->options.on_change();
    if (!was_limited && this->limit.per_second()) {
      // They were admitted by slots alone and may go to other targets.
      this->RefuseWaiting(kOverLimit);
    }
  });
}

}  // namespace lycheewell::sidecar::requests
