// What targets say of themselves in their answers.
#include <algorithm>
#include <string>

#include "lycheewell/core/membership/start_name.h"
#include "lycheewell/sidecar/clock.h"
#include "lycheewell/sidecar/requests/gate.h"

namespace lycheewell::sidecar::requests {
using core::membership::StartName;
using daemon::events::Event;

namespace {

// Starts of the target whose limits are kept until they announce themselves.
constexpr std::size_t kMaxRecalledLimits = 16;

}  // namespace

void Gate::TakeNotices(const Call& call, const TargetAnswer& answer) {
  if (answer.is_wrong_instance || !(call.start == this->starts.current())) {
    return;  // it speaks for another start
  }
  if (answer.is_leaving) {
    this->TakeDeparture(call);
  }
  this->TakeLimit(call, answer);
}

void Gate::TakeDeparture(const Call& call) {
  if (this->starts.is_retired(call.start)) {
    return;
  }
  this->starts.Retire(call.start);
  // Peers hear of it before they get the answer, so that they remember it even
  // if this daemon ends now.
  if (this->state == TargetState::kTakesWork) {
    this->SetState(TargetState::kLeaving, "an answer says that it leaves");
  }
  this->options.on_departure(call.start);
}

void Gate::TakeLimit(const Call& call, const TargetAnswer& answer) {
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
  this->OnLimitChange(was_limited);
}

void Gate::OnLimitChange(bool was_limited) {
  const auto per_second = this->limit.per_second();
  this->log.Write(
      Event::kTargetLimitChanged,
      {{"instance", this->target.instance},
       {"per_second", per_second ? std::to_string(*per_second) : "none"}});
  this->options.on_change();
  if (!was_limited && per_second) {
    // They were admitted by slots alone and may go to other targets.
    this->RefuseWaiting(kOverLimit);
  }
}

void Gate::RecallLimit(const core::DaemonRef& start, double per_second) {
  if (!(this->starts.current() == start)) {
    const auto [found, is_new] =
        this->recalled_limits.try_emplace(StartName(start), per_second);
    found->second = std::min(found->second, per_second);
    if (this->recalled_limits.size() > kMaxRecalledLimits) {
      this->recalled_limits.erase(this->recalled_limits.begin());
    }
    return;
  }
  const bool was_limited = this->limit.per_second().has_value();
  if (this->limit.Recall(per_second, Now())) {
    this->OnLimitChange(was_limited);
  }
}

}  // namespace lycheewell::sidecar::requests
