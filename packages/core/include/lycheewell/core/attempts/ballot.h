// Collects a group's votes on one attempt, at the daemon that wants to dispatch
// it.
#ifndef LYCHEEWELL_CORE_ATTEMPTS_BALLOT_H_
#define LYCHEEWELL_CORE_ATTEMPTS_BALLOT_H_

#include <optional>
#include <set>

#include "lycheewell/core/attempts/recorder.h"

namespace lycheewell::core::attempts {

enum class BallotOutcome {
  kOpen,
  kGranted,     // a majority recorded the attempt: dispatch it
  kKnown,       // another attempt of the key exists; see known()
  kOtherGroup,  // a voter has another group: try again with the newest one
  kUnsure,      // no majority can vouch that the key has not run
};

class Ballot {
 public:
  explicit Ballot(std::size_t group_size);

  // Commands.

  // The vote of the member at `index` of the group, or of none that answered.
  void AddVote(std::size_t index, const Vote& vote);
  void AddSilence(std::size_t index);

  // Queries.

  BallotOutcome outcome() const;

  // The other attempt; one with an answer goes before one without.
  const std::optional<AttemptRecord>& known() const { return this->other; }

 private:
  std::size_t group_size;
  std::set<std::size_t> recorded;
  std::set<std::size_t> refused;
  bool saw_other_group = false;
  std::optional<AttemptRecord> other;
};

}  // namespace lycheewell::core::attempts

#endif  // LYCHEEWELL_CORE_ATTEMPTS_BALLOT_H_
