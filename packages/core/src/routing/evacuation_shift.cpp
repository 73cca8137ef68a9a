#include "lycheewell/core/routing/evacuation_shift.h"

#include <algorithm>
#include <cmath>

#include "lycheewell/core/routing/rendezvous.h"

namespace lycheewell::core::routing {
namespace {

// Rendezvous key of the order in which targets leave.
constexpr std::string_view kLeavingOrder = "evacuation";

// In [0, 1).
double PlaceInOrder(std::string_view member) {
  constexpr int kFractionBits = 53;
  const std::uint64_t score =
      RendezvousScore(kLeavingOrder, member) >> (64 - kFractionBits);
  return std::ldexp(static_cast<double>(score), -kFractionBits);
}

Duration Part(Duration whole, double part) {
  return std::chrono::duration_cast<Duration>(whole * part);
}

}  // namespace

void EvacuationShift::Update(const std::map<std::string, Instant>& evacuated,
                             Instant now) {
  for (const auto& [data_centre, latest] : evacuated) {
    const auto [found, is_new] = this->moves.try_emplace(data_centre);
    Move& move = found->second;
    if (is_new || !move.is_leaving) {
      const double gone = is_new ? 0 : GonePart(move, now);
      move = {.is_leaving = true,
              .gone_before = gone,
              .begin = now,
              .end = now + Part(this->options.leave_time, 1 - gone)};
    }
    move.end = std::min(move.end, std::max(move.begin, latest));
  }
  for (auto& [data_centre, move] : this->moves) {
    if (move.is_leaving && !evacuated.contains(data_centre)) {
      const double gone = GonePart(move, now);
      move = {.is_leaving = false,
              .gone_before = gone,
              .begin = now,
              .end = now + Part(this->options.return_time, gone)};
    }
  }
  std::erase_if(this->moves, [now](const auto& entry) {
    return !entry.second.is_leaving && now >= entry.second.end;
  });
}

double EvacuationShift::GonePart(const Move& move, Instant now) {
  const double goal = move.is_leaving ? 1 : 0;
  if (now >= move.end) {
    return goal;
  }
  const double progress =
      std::chrono::duration<double>(now - move.begin).count() /
      std::chrono::duration<double>(move.end - move.begin).count();
  return move.gone_before + (goal - move.gone_before) * progress;
}

bool EvacuationShift::TakesWork(const std::string& data_centre,
                                std::string_view member, Instant now) const {
  const auto found = this->moves.find(data_centre);
  return found == this->moves.end() ||
         PlaceInOrder(member) >= GonePart(found->second, now);
}

bool EvacuationShift::IsClosed(const std::string& data_centre,
                               Instant now) const {
  const auto found = this->moves.find(data_centre);
  return found != this->moves.end() && found->second.is_leaving &&
         now >= found->second.end;
}

bool EvacuationShift::IsMoving(Instant now) const {
  return std::any_of(
      this->moves.begin(), this->moves.end(),
      [now](const auto& entry) { return now < entry.second.end; });
}

Duration EvacuationShift::TimeUntilClosed(const std::string& data_centre,
                                          Instant now) const {
  const auto found = this->moves.find(data_centre);
  return found == this->moves.end() || !found->second.is_leaving
             ? Duration::zero()
             : std::max(Duration::zero(), found->second.end - now);
}

}  // namespace lycheewell::core::routing
