#include "lycheewell/sidecar/requests/cold_watch.h"

#include <algorithm>
#include <utility>

namespace lycheewell::sidecar::requests {
using core::overload::Warmth;
using daemon::events::Event;

namespace {

constexpr core::Duration kTickPeriod = std::chrono::milliseconds(100);

// A target that answers nothing for this long, and for this multiple of its
// usual work, while requests wait there is silent.
constexpr core::Duration kMinSilence = std::chrono::milliseconds(500);
constexpr int kSilenceFactor = 4;

// The limit doubles each time that a health check shows a silent target to be
// there, up to this many times: its requests wait for something else.
constexpr int kMaxFalseSilences = 3;

// Minimum time between two health checks after a sign of coldness. Without a
// new sign an announcement period lies between them.
constexpr core::Duration kMinCheckInterval = std::chrono::milliseconds(200);

// Time between two health checks of a silent target, which also bounds the wait
// for an answer: what is sent while the target is out of sight may be lost.
constexpr core::Duration kSilentCheckInterval = std::chrono::milliseconds(500);

std::string MillisecondsText(core::Duration duration) {
  return std::to_string(
      std::chrono::duration_cast<std::chrono::milliseconds>(duration).count());
}

}  // namespace

ColdWatch::ColdWatch(TimerQueue& new_timers, DecisionLog& new_log,
                     Options new_options)
    : timers(new_timers),
      log(new_log),
      options(std::move(new_options)),
      cold(Now()) {}

void ColdWatch::Configure(const core::manifest::Service* service) {
  this->health_path = service == nullptr ? "" : service->health_path;
  this->cold.Configure(
      service == nullptr
          ? core::overload::ColdStart::Options()
          : core::overload::ColdStart::Options{.rate_per_second =
                                                   service
                                                       ->cold_rate_per_second,
                                               .duration =
                                                   service->cold_duration},
      Now());
  if (this->has_rate() && !this->is_ticking) {
    this->is_ticking = true;
    this->Tick(Now());
  }
}

void ColdWatch::OnAnnouncement(core::Duration cold_for, bool is_new_start,
                               bool has_come_back) {
  if (is_new_start) {
    this->is_silent = false;
    this->waiting_since.reset();
  } else if (has_come_back) {
    this->is_silent = true;
  }
  this->OnHeard();
  this->cold.OnAnnouncement(cold_for, is_new_start, Now());
  this->Update("announcement");
}

void ColdWatch::Assume(std::string_view reason) {
  if (!this->has_rate()) {
    return;
  }
  this->cold.Assume(Now());
  this->has_new_sign = true;
  this->Update(reason);
  this->Check();
}

bool ColdWatch::Admit(int rank) {
  const core::Instant now = Now();
  if (this->cold.per_second(now)) {
    this->share.CountOffered();
  }
  return !this->is_closed() && this->cold.Admit(rank, now);
}

void ColdWatch::OnWritten(bool was_admitted) {
  const core::Instant now = Now();
  this->cold.OnWritten(was_admitted, now);
  if (!this->waiting_since) {
    this->waiting_since = now;
  }
}

void ColdWatch::OnAnswer() {
  this->false_silences = 0;
  this->OnHeard();
}

void ColdWatch::OnHeard() {
  this->waiting_since.reset();
  if (this->cold.unanswered() > 0) {
    this->waiting_since = Now();
  }
  if (this->is_silent) {
    this->EndSilence();
    this->Assume("back after silence");
  }
}

void ColdWatch::EndSilence() {
  this->is_silent = false;
  this->cold.OnWake(Now());
}

void ColdWatch::LookForSilence(bool is_late) {
  const core::Instant now = Now();
  if (this->is_silent) {
    this->cold.ExtendAssumption(now);
    return;
  }
  if (this->cold.unanswered() == 0) {
    this->waiting_since.reset();
  } else if (is_late || !this->waiting_since) {
    // Answers may not have been read yet.
    this->waiting_since = now;
  }
  if (this->waiting_since &&
      now - *this->waiting_since > this->SilenceLimit()) {
    this->is_silent = true;
    this->Assume("silent");
  }
}

core::Duration ColdWatch::SilenceLimit() const {
  return std::max(kMinSilence, kSilenceFactor * this->options.mean_work()) *
         (1 << std::min(this->false_silences, kMaxFalseSilences));
}

void ColdWatch::Tick(core::Instant due) {
  const core::Instant now = Now();
  if (!this->has_rate()) {
    this->is_ticking = false;
    this->Update("no rate");
    return;
  }
  this->LookForSilence(now - due > kTickPeriod);
  this->Check();
  if (const auto rate = this->cold.per_second(now)) {
    this->share.Update(*rate, this->options.daemon_count(), now);
  }
  this->Update("time");
  this->timers.After(kTickPeriod,
                     [this, next = now + kTickPeriod] { this->Tick(next); });
}

bool ColdWatch::IsCheckDue(core::Instant now) const {
  if (this->check || !this->cold.is_assumed(now) || this->health_path.empty() ||
      !this->options.takes_work()) {
    return false;
  }
  core::Duration interval = this->options.settings.announcement_period;
  if (this->has_new_sign) {
    interval = kMinCheckInterval;
  } else if (this->is_silent) {
    interval = kSilentCheckInterval;
  }
  return now - this->last_check >= interval;
}

void ColdWatch::Check() {
  const core::Instant now = Now();
  if (!this->IsCheckDue(now)) {
    return;
  }
  this->last_check = now;
  this->has_new_sign = false;
  this->check = this->options.take_connection();
  this->check_written_at = core::Instant();
  this->check_timer = this->timers.After(
      this->is_silent ? kSilentCheckInterval
                      : this->options.settings.announcement_period,
      [this] {
        this->check_timer = 0;
        this->check->Abort();
        this->OnHealth({}, http::ExchangeProblem{.detail = "no answer"});
      });
  this->check->Start(
      {.message = "GET " + this->health_path + " HTTP/1.1\r\nHost: " +
                  this->options.settings.target_address + "\r\n\r\n",
       .done =
           [this, now](http::ExchangeOutcome outcome) {
             this->OnHealth(now, std::move(outcome));
           },
       .on_written =
           [this] {
             constexpr bool kWasAdmitted = false;
             this->check_written_at = Now();
             this->OnWritten(kWasAdmitted);
           }});
}

void ColdWatch::OnHealth(core::Instant checked_at,
                         http::ExchangeOutcome outcome) {
  this->timers.Cancel(this->check_timer);
  const auto connection = std::move(this->check);
  this->check.reset();
  if (this->check_written_at != core::Instant()) {
    this->cold.OnDone(this->check_written_at);
  }
  std::string problem;
  HealthAnswer answer;
  if (const auto* response = std::get_if<io::http::Response>(&outcome)) {
    answer = this->options.dialect.decode_health(*response);
    if (answer.instance.empty() ||
        answer.instance != this->options.instance()) {
      problem = "answered by another instance";
    } else if (!answer.cold_for) {
      problem = "status " + std::to_string(response->result_int());
    }
    if (connection->is_usable()) {
      this->options.return_connection(connection);
    }
    if (this->is_silent) {
      ++this->false_silences;
      this->EndSilence();
    }
    this->OnHeard();
  } else {
    const auto& failed = std::get<http::ExchangeProblem>(outcome);
    problem = failed.detail;
    // The target may just have closed the idle connection.
    this->has_new_sign =
        this->has_new_sign || failed.failure == http::ExchangeFailure::kBroken;
  }
  if (!problem.empty()) {
    this->log.Write(
        Event::kTargetCheckFailed,
        {{"instance", this->options.instance()}, {"detail", problem}});
  } else {
    this->cold.OnHealthAnswer(*answer.cold_for, checked_at, Now());
  }
  this->Update("health check");
}

void ColdWatch::Update(std::string_view reason) {
  const core::Instant now = Now();
  // Without a rate the target is merely slow, which its announcements tell.
  const Warmth current =
      this->has_rate() ? this->cold.warmth(now) : Warmth::kWarm;
  const bool was_closed =
      std::exchange(this->reported_closed, this->is_closed());
  if (current == this->warmth && was_closed == this->reported_closed) {
    return;
  }
  const Warmth before = std::exchange(this->warmth, current);
  const auto rate = this->cold.per_second(now);
  if (current == Warmth::kCold && before != Warmth::kCold) {
    this->cold_since = now;
    this->refused_before = this->cold.refused();
    this->log.Write(Event::kTargetCold,
                    {{"instance", this->options.instance()},
                     {"reason", reason},
                     {"cold_ms", MillisecondsText(this->cold_for())},
                     {"per_second", std::to_string(rate.value_or(0))}});
  } else if (current != Warmth::kCold && before == Warmth::kCold) {
    this->log.Write(Event::kTargetWarm,
                    {{"instance", this->options.instance()},
                     {"reason", reason},
                     {"cold_ms", MillisecondsText(now - this->cold_since)},
                     {"refused", std::to_string(this->cold.refused() -
                                                this->refused_before)}});
  }
  if (rate && before == Warmth::kWarm) {
    this->share.Start(*rate, this->options.daemon_count(), now);
  }
  this->options.on_change(current);
}

void ColdWatch::DescribeLoad(mesh::Load& load) const {
  if (const auto rate = this->cold.per_second(Now())) {
    load.set_cold_per_second(this->is_closed() ? 0 : *rate);
    load.set_cold_share_per_second(
        this->is_closed() ? 0 : this->share.per_second());
  }
}

}  // namespace lycheewell::sidecar::requests
