#include "lycheewell/core/overload/cold_start.h"

#include <algorithm>
#include <cmath>

namespace lycheewell::core::overload {
namespace {

constexpr Duration kSecond = std::chrono::seconds(1);

// Requests that arrive together are admitted up to the rate of this time, and
// up to the minimum where that is less.
constexpr double kBurstSeconds = 0.25;
constexpr double kMinBurst = 3;

// A target that has become warm gets twice the rate, which doubles at each step
// until there is no limit any more.
constexpr Duration kWarmUpStep = std::chrono::milliseconds(200);
constexpr int kWarmUpSteps = 5;

// An announcement may have been on its way when the sign was seen; the one
// after it was not.
constexpr int kAnnouncementsAfterSign = 2;

}  // namespace

ColdStart::ColdStart(Instant started_at) : held_until(started_at + kSecond) {}

std::size_t ColdStart::MaxInWindow() const {
  return static_cast<std::size_t>(
      std::max(1.0, std::floor(this->options->rate_per_second)));
}

Duration ColdStart::Window() const {
  const double seconds =
      static_cast<double>(this->MaxInWindow()) / this->options->rate_per_second;
  return std::max(kSecond, std::chrono::duration_cast<Duration>(
                               std::chrono::duration<double>(seconds)));
}

void ColdStart::Configure(const Options& new_options, Instant now) {
  if (!this->options ||
      this->options->rate_per_second != new_options.rate_per_second) {
    // What was sent before was not counted for this rate.
    this->held_until = std::max(this->held_until, now + kSecond);
  }
  this->options = new_options;
  if (new_options.rate_per_second <= 0) {
    this->assumed_until = {};
    this->sent.clear();
    this->Refresh(now);
  }
}

void ColdStart::Refresh(Instant now) {
  const bool was_cold = this->is_cold(now);
  const Instant known_until =
      std::max(this->announced_until, this->checked_until);
  const Instant until = std::max(known_until, this->assumed_until);
  if (now < until) {
    if (!was_cold) {
      this->cold_since = now;
      this->in_flight_cold = 0;
      this->known_cold = false;
    }
    this->known_cold = this->known_cold || now < known_until;
    this->warms_up = true;
    this->cold_until = until;
  } else if (was_cold) {
    this->cold_until = now;
    this->warms_up = this->known_cold;
  }
}

void ColdStart::OnAnnouncement(Duration cold_for, bool is_new_start,
                               Instant now) {
  this->announced_until = now + cold_for;
  if (is_new_start) {
    this->checked_until = {};
    this->assumed_until = {};
    this->sent.clear();
  } else if (++this->announcements_since_sign >= kAnnouncementsAfterSign) {
    this->assumed_until = {};
  }
  this->Refresh(now);
}

void ColdStart::Assume(Instant now) {
  if (!this->options || this->options->rate_per_second <= 0) {
    return;
  }
  this->signed_at = now;
  this->announcements_since_sign = 0;
  this->assumed_until = now + this->options->duration;
  this->Refresh(now);
}

void ColdStart::ExtendAssumption(Instant now) {
  if (this->is_assumed(now)) {
    this->assumed_until = now + this->options->duration;
    this->Refresh(now);
  }
}

void ColdStart::OnWake(Instant now) {
  if (this->options && this->options->rate_per_second > 0) {
    const std::size_t arriving = std::min(this->in_flight, this->MaxInWindow());
    for (std::size_t i = 0; i < arriving; ++i) {
      this->RecordWritten(now);
    }
  }
}

void ColdStart::OnHealthAnswer(Duration cold_for, Instant checked_at,
                               Instant now) {
  if (checked_at >= this->signed_at) {
    this->assumed_until = {};
    this->checked_until = now + cold_for;
    this->announced_until =
        std::min(this->announced_until, this->checked_until);
  } else {
    this->checked_until = std::max(this->checked_until, now + cold_for);
  }
  this->Refresh(now);
}

void ColdStart::RecordWritten(Instant now) {
  if (!this->options || this->options->rate_per_second <= 0) {
    return;
  }
  this->sent.push_back(now);
  while (this->sent.size() > this->MaxInWindow()) {
    this->sent.pop_front();
  }
}

bool ColdStart::HasRoom(Instant now) const {
  if (!this->options || now < this->held_until) {
    return false;
  }
  const Instant begin = now - this->Window();
  const auto in_window = static_cast<std::size_t>(
      this->sent.end() -
      std::upper_bound(this->sent.begin(), this->sent.end(), begin));
  return std::max(in_window, this->in_flight_cold) + this->reserved <
         this->MaxInWindow();
}

bool ColdStart::Admit(int rank, Instant now) {
  const auto rate = this->per_second(now);
  if (rate && this->tokens_rate != rate) {
    const RankedTokens::Rate token_rate{
        .per_second = *rate,
        .burst = std::max(kMinBurst, *rate * kBurstSeconds)};
    if (this->tokens_rate) {
      this->tokens.SetRate(token_rate, now);
    } else {
      this->tokens.Start(token_rate, 1, now);
    }
  }
  this->tokens_rate = rate;
  const bool is_limited = this->options ? rate.has_value() : this->is_cold(now);
  if (is_limited && ((this->is_cold(now) && !this->HasRoom(now)) ||
                     !this->tokens.Take(rank, now))) {
    ++this->refusals;
    return false;
  }
  ++this->reserved;
  return true;
}

void ColdStart::Return() {
  this->reserved -= std::min<std::size_t>(this->reserved, 1);
  if (this->tokens_rate) {
    this->tokens.Return();
  }
}

void ColdStart::OnWritten(bool was_admitted, Instant now) {
  if (was_admitted) {
    this->reserved -= std::min<std::size_t>(this->reserved, 1);
  }
  this->RecordWritten(now);
  ++this->in_flight;
  this->in_flight_cold += this->is_cold(now) ? 1 : 0;
}

void ColdStart::OnDone(Instant written_at) {
  this->in_flight -= std::min<std::size_t>(this->in_flight, 1);
  if (written_at >= this->cold_since && written_at < this->cold_until) {
    this->in_flight_cold -= std::min<std::size_t>(this->in_flight_cold, 1);
  }
}

Warmth ColdStart::warmth(Instant now) const {
  if (this->is_cold(now)) {
    return Warmth::kCold;
  }
  return this->warms_up && now < this->cold_until + kWarmUpSteps * kWarmUpStep
             ? Warmth::kWarmingUp
             : Warmth::kWarm;
}

std::optional<double> ColdStart::per_second(Instant now) const {
  const Warmth current = this->warmth(now);
  if (!this->options || this->options->rate_per_second <= 0 ||
      current == Warmth::kWarm) {
    return std::nullopt;
  }
  if (current == Warmth::kCold) {
    return this->options->rate_per_second;
  }
  const auto steps = (now - this->cold_until) / kWarmUpStep;
  return this->options->rate_per_second *
         static_cast<double>(2 << static_cast<int>(steps));
}

Duration ColdStart::cold_for(Instant now) const {
  return std::max(Duration::zero(), this->cold_until - now);
}

}  // namespace lycheewell::core::overload
