#include "lycheewell/core/attempts/ballot.h"

namespace lycheewell::core::attempts {

Ballot::Ballot(std::size_t new_group_size) : group_size(new_group_size) {}

void Ballot::AddVote(std::size_t index, const Vote& vote) {
  if (vote.kind == VoteKind::kRecorded) {
    this->recorded.insert(index);
    return;
  }
  this->refused.insert(index);
  if (vote.kind == VoteKind::kOtherGroup) {
    this->saw_other_group = true;
  }
  if (vote.kind == VoteKind::kKnown && vote.record) {
    if (!this->other || (!this->other->answer && vote.record->answer)) {
      this->other = vote.record;
    }
  }
}

void Ballot::AddMissingVote(std::size_t index) {
  if (!this->recorded.contains(index)) {
    this->refused.insert(index);
  }
}

BallotOutcome Ballot::outcome() const {
  if (this->other) {
    return BallotOutcome::kKnown;
  }
  if (this->group_size > 0 &&
      this->recorded.size() >= MajorityOf(this->group_size)) {
    return BallotOutcome::kGranted;
  }
  const std::size_t possible = this->group_size - this->refused.size();
  if (this->group_size > 0 && possible >= MajorityOf(this->group_size)) {
    return BallotOutcome::kOpen;
  }
  return this->saw_other_group ? BallotOutcome::kOtherGroup
                               : BallotOutcome::kInconclusive;
}

}  // namespace lycheewell::core::attempts
