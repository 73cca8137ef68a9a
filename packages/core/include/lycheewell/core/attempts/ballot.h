// Counts the votes of a partition's group on one proposed attempt, at the
// daemon that proposes it.
#ifndef LYCHEEWELL_CORE_ATTEMPTS_BALLOT_H_
#define LYCHEEWELL_CORE_ATTEMPTS_BALLOT_H_

#include <optional>
#include <set>

#include "lycheewell/core/attempts/recorder.h"

namespace lycheewell::core::attempts {

enum class BallotOutcome {
  kOpen,          // a majority is still possible
  kGranted,       // a majority recorded the attempt: dispatch it
  kKnown,         // another attempt of the key exists; see known_attempt()
  kOtherGroup,    // a voter has another group: propose to the newest group
  kInconclusive,  // no majority can establish that the key has not run
};

class Ballot {
 public:
  explicit Ballot(std::size_t group_size);

  // Commands.

  // Counts the vote of the member at `index` of the group.
  void AddVote(std::size_t index, const Vote& vote);

  // Counts the member at `index` as not answering, unless it has recorded the
  // attempt.
  void AddMissingVote(std::size_t index);

  // Queries.

  BallotOutcome outcome() const;

  // Another attempt of the key that a voter knows. An attempt with an answer
  // takes precedence over one without.
  const std::optional<AttemptRecord>& known_attempt() const {
    return this->other;
  }

 private:
  std::size_t group_size;
  std::set<std::size_t> recorded;  // members whose vote is kRecorded
  std::set<std::size_t> refused;   // members with another vote or none
  bool saw_other_group = false;
  std::optional<AttemptRecord> other;
};

}  // namespace lycheewell::core::attempts

#endif  // LYCHEEWELL_CORE_ATTEMPTS_BALLOT_H_
