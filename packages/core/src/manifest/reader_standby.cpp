#include "lycheewell/core/manifest/reader_standby.h"

#include <algorithm>
#include <bit>

namespace lycheewell::core::manifest {
namespace {

constexpr int kPollsPerBound = 3;

// Retries within the bound. The store charges for refused calls, too, so those
// who do not read for others make fewer.
constexpr int kReaderRetriesPerBound = 8;
constexpr int kStandbyRetriesPerBound = 2;

// As fractions of the bound. A proof that is handed on regularly is younger
// than the first takeover age: two polls and the way to a peer. The last one
// leaves time for the read itself.
constexpr double kFirstTakeoverAge = 0.72;
constexpr double kTakeoverStep = 0.03;
constexpr double kLastTakeoverAge = 0.87;

}  // namespace

ReaderStandby::ReaderStandby(const Options& new_options)
    : options(new_options) {}

// A better reader ends the turn of this one also in the middle of a poll;
// otherwise both would go on for ever.
void ReaderStandby::EndRead(bool has_succeeded) {
  this->acting = has_succeeded && !this->has_heard_of_better;
}

void ReaderStandby::RecordReadOfBetter() {
  this->acting = false;
  this->has_heard_of_better = true;
}

Duration ReaderStandby::poll_timeout() const {
  return this->options.adoption_bound / kPollsPerBound;
}

Duration ReaderStandby::RetryDelay(std::size_t rank) const {
  return this->options.adoption_bound / (this->ReadsForOthers(rank)
                                             ? kReaderRetriesPerBound
                                             : kStandbyRetriesPerBound);
}

// The daemons take over in groups, each as large as all before it: whichever of
// them are cut off from the store, few more than needed read it.
Duration ReaderStandby::TakeoverAge(std::size_t rank) const {
  const int group = rank == 0 ? 0 : static_cast<int>(std::bit_width(rank)) - 1;
  return std::chrono::duration_cast<Duration>(
      this->options.adoption_bound *
      std::min(kFirstTakeoverAge + kTakeoverStep * group, kLastTakeoverAge));
}

Duration ReaderStandby::StandbyTime(std::size_t rank,
                                    std::optional<Duration> proof_age) const {
  if (this->ReadsForOthers(rank) || !proof_age) {
    return Duration::zero();
  }
  return std::max(Duration::zero(), this->TakeoverAge(rank) - *proof_age);
}

}  // namespace lycheewell::core::manifest
