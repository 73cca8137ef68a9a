#include "lycheewell/daemon/requests/attempt_gate.h"

#include <boost/asio/steady_timer.hpp>
#include <map>
#include <mutex>

#include "lycheewell/core/digest.h"

namespace lycheewell::daemon::requests {
namespace asio = boost::asio;
namespace attempts = core::attempts;

using attempts::AttemptRecord;
using attempts::Ballot;
using attempts::BallotOutcome;
using attempts::Vote;
using attempts::VoteKind;

namespace {

constexpr std::size_t kAttemptIdBytes = 16;
constexpr int kConflict = 409;
constexpr int kUnprocessable = 422;
constexpr int kUnavailable = 503;
constexpr auto kVoteTimeout = std::chrono::milliseconds(500);
constexpr auto kOtherGroupPause = std::chrono::milliseconds(20);
constexpr int kMostVotings = 25;
constexpr auto kExportTimeout = std::chrono::milliseconds(1000);
constexpr auto kUnsureRetryAfter = std::chrono::seconds(1);

core::DaemonRef TurnDaemon(const peers::Daemon& daemon) {
  return {daemon.id(), daemon.incarnation()};
}

void FillDaemon(const core::DaemonRef& daemon, peers::Daemon* message) {
  message->set_id(daemon.id);
  message->set_incarnation(daemon.incarnation);
}

void FillRecord(const AttemptRecord& record, peers::AttemptRecord* message) {
  message->set_attempt_id(record.attempt_id);
  message->set_request_digest(record.request_digest);
  if (!record.answer) {
    return;
  }
  peers::KeptAnswer* answer = message->mutable_answer();
  answer->set_status(static_cast<std::uint32_t>(record.answer->status));
  answer->set_content_type(record.answer->content_type);
  answer->set_body(record.answer->body);
  answer->set_body_kept(record.answer->body_kept);
}

AttemptRecord TurnRecord(const peers::AttemptRecord& message) {
  AttemptRecord record{.attempt_id = message.attempt_id(),
                       .request_digest = message.request_digest()};
  if (message.has_answer()) {
    record.answer = attempts::KeptAnswer{
        .status = static_cast<int>(message.answer().status()),
        .content_type = message.answer().content_type(),
        .body = message.answer().body(),
        .body_kept = message.answer().body_kept()};
  }
  return record;
}

Vote TurnVote(const peers::AttemptVote& message) {
  static const std::map<peers::VoteKind, VoteKind> kKinds = {
      {peers::VOTE_RECORDED, VoteKind::kRecorded},
      {peers::VOTE_KNOWN, VoteKind::kKnown},
      {peers::VOTE_OTHER_GROUP, VoteKind::kOtherGroup},
      {peers::VOTE_CANNOT_VOUCH, VoteKind::kNotAuthoritative},
      {peers::VOTE_FULL, VoteKind::kFull}};
  const auto kind = kKinds.find(message.kind());
  Vote vote{kind == kKinds.end() ? VoteKind::kNotAuthoritative : kind->second,
            {}};
  if (message.has_record()) {
    vote.record = TurnRecord(message.record());
  }
  return vote;
}

peers::VoteKind TurnKind(VoteKind kind) {
  switch (kind) {
    case VoteKind::kRecorded:
      return peers::VOTE_RECORDED;
    case VoteKind::kKnown:
      return peers::VOTE_KNOWN;
    case VoteKind::kOtherGroup:
      return peers::VOTE_OTHER_GROUP;
    case VoteKind::kNotAuthoritative:
      return peers::VOTE_CANNOT_VOUCH;
    case VoteKind::kFull:
      return peers::VOTE_FULL;
  }
  return peers::VOTE_CANNOT_VOUCH;
}

std::string ContentTypeOf(const CallResult& result) {
  for (const HeaderField& header : result.headers) {
    if (header.name == "Content-Type" || header.name == "content-type") {
      return header.value;
    }
  }
  return {};
}

// What a resend gets when its key's attempt is known.
CallResult AnswerForKnown(const Call& call, const AttemptRecord& record) {
  const bool differs = !record.request_digest.empty() &&
                       record.request_digest != call.fingerprint;
  if (differs) {
    return NotRun(kUnprocessable,
                  "the idempotency key was used for another request");
  }
  if (!record.answer) {
    return MayHaveRun(kConflict,
                      "an attempt with this idempotency key has begun and its "
                      "answer is not known yet");
  }
  if (!record.answer->body_kept) {
    return MayHaveRun(kConflict,
                      "the request ran; its answer was too large to keep");
  }
  CallResult result{.outcome = Outcome::kRan, .status = record.answer->status};
  if (!record.answer->content_type.empty()) {
    result.headers.push_back({"Content-Type", record.answer->content_type});
  }
  result.headers.push_back({std::string(kReplayedHeader), "true"});
  result.body = record.answer->body;
  return result;
}

}  // namespace

AttemptGate::AttemptGate(Services& new_services) : services(new_services) {}

asio::awaitable<std::optional<CallResult>> AttemptGate::Begin(Call& call) {
  const std::uint32_t partition = attempts::PartitionOf(call.idempotency_key);
  for (int voting = 0; voting < kMostVotings && Now() < call.deadline;
       ++voting) {
    const attempts::Group group =
        this->services.tables.attempts.Lock()->group(partition);
    if (group.empty()) {
      break;
    }
    // Each voting has its own id: a late release of an earlier one must not
    // take back a vote of this one.
    call.attempt_id = core::RandomHex(kAttemptIdBytes);
    const Ballot ballot = co_await this->CollectVotes(call, group);
    const BallotOutcome outcome = ballot.outcome();
    if (outcome == BallotOutcome::kGranted) {
      co_return std::nullopt;
    }
    this->Release(call);
    if (outcome == BallotOutcome::kKnown) {
      this->services.metrics.Count(metrics::Counter::kReplayed);
      this->services.events.Write(
          events::Event::kRequestReplayed,
          {{"request", call.request_id}, {"service", call.service}});
      co_return AnswerForKnown(call, *ballot.known_attempt());
    }
    if (outcome == BallotOutcome::kInconclusive) {
      break;
    }
    asio::steady_timer timer(co_await asio::this_coro::executor,
                             kOtherGroupPause);
    co_await timer.async_wait(asio::use_awaitable);
  }
  this->services.events.Write(
      events::Event::kAttemptUnsure,
      {{"request", call.request_id}, {"partition", std::to_string(partition)}});
  CallResult unsure = MayHaveRun(
      kUnavailable,
      "this request was not started now; whether an earlier one with the same "
      "idempotency key ran is not known");
  unsure.retry_after = kUnsureRetryAfter;
  co_return unsure;
}

asio::awaitable<Ballot> AttemptGate::CollectVotes(const Call& call,
                                                  attempts::Group group) {
  using BallotWaiter = io::async::Waiter<bool>;
  struct Shared {
    explicit Shared(std::size_t size) : ballot(size) {}
    std::mutex mutex;
    Ballot ballot;
  };
  auto shared = std::make_shared<Shared>(group.size());
  auto waiter =
      std::make_shared<BallotWaiter>(co_await asio::this_coro::executor);
  const attempts::Proposal proposal{.key = call.idempotency_key,
                                    .attempt_id = call.attempt_id,
                                    .request_digest = call.fingerprint,
                                    .group = group};
  peers::Envelope envelope;
  peers::AttemptProposal* message = envelope.mutable_attempt_proposal();
  message->set_key(proposal.key);
  message->set_attempt_id(proposal.attempt_id);
  message->set_request_digest(proposal.request_digest);
  for (const attempts::GroupMember& member : group) {
    peers::GroupMember* added = message->add_group();
    FillDaemon(member.daemon, added->mutable_daemon());
    added->set_joined_at(member.joined_at);
  }
  for (std::size_t index = 0; index < group.size(); ++index) {
    if (group[index].daemon == this->services.self) {
      const Vote vote =
          this->services.tables.attempts.Lock()->Record(proposal, Now());
      const std::lock_guard lock(shared->mutex);
      shared->ballot.AddVote(index, vote);
      continue;
    }
    this->services.transport->Request(
        group[index].daemon.id, envelope, kVoteTimeout,
        [shared, waiter, index](const peers::Answer& answer) {
          const std::lock_guard lock(shared->mutex);
          if (answer.kind == peers::AnswerKind::kAnswered) {
            shared->ballot.AddVote(index,
                                   TurnVote(answer.envelope.attempt_vote()));
          } else {
            shared->ballot.AddMissingVote(index);
          }
          if (shared->ballot.outcome() != BallotOutcome::kOpen) {
            waiter->Deliver(true);
          }
        });
  }
  bool is_open = true;
  {
    const std::lock_guard lock(shared->mutex);
    is_open = shared->ballot.outcome() == BallotOutcome::kOpen;
  }
  if (is_open) {
    co_await waiter->Wait(kVoteTimeout + std::chrono::milliseconds(100));
  }
  const std::lock_guard lock(shared->mutex);
  co_return shared->ballot;
}

void AttemptGate::Release(const Call& call) {
  const std::uint32_t partition = attempts::PartitionOf(call.idempotency_key);
  attempts::Group group;
  {
    auto recorder = this->services.tables.attempts.Lock();
    recorder->Release(call.idempotency_key, call.attempt_id);
    group = recorder->group(partition);
  }
  peers::Envelope envelope;
  envelope.mutable_attempt_release()->set_key(call.idempotency_key);
  envelope.mutable_attempt_release()->set_attempt_id(call.attempt_id);
  for (const attempts::GroupMember& member : group) {
    if (member.daemon != this->services.self) {
      this->services.transport->Send(member.daemon.id, envelope);
    }
  }
}

void AttemptGate::Finish(const Call& call, const CallResult& result) {
  const AttemptRecord record{
      .attempt_id = call.attempt_id,
      .request_digest = call.fingerprint,
      .answer = attempts::KeptAnswer{.status = result.status,
                                     .content_type = ContentTypeOf(result),
                                     .body = result.body,
                                     .body_kept = true}};
  const std::uint32_t partition = attempts::PartitionOf(call.idempotency_key);
  attempts::Group group;
  {
    auto recorder = this->services.tables.attempts.Lock();
    group = recorder->group(partition);
    for (const attempts::GroupMember& member : group) {
      if (member.daemon == this->services.self) {
        recorder->Finish(call.idempotency_key, record, Now());
      }
    }
  }
  peers::Envelope envelope;
  envelope.mutable_attempt_finish()->set_key(call.idempotency_key);
  FillRecord(record, envelope.mutable_attempt_finish()->mutable_record());
  for (const attempts::GroupMember& member : group) {
    if (member.daemon != this->services.self) {
      this->services.transport->Send(member.daemon.id, envelope);
    }
  }
}

void AttemptGate::FetchMissing() {
  std::map<core::DaemonRef, std::vector<std::uint32_t>> wanted;
  {
    auto recorder = this->services.tables.attempts.Lock();
    recorder->Expire(Now());
    for (const auto& [partition, daemons] : recorder->MissingPartitions()) {
      for (const core::DaemonRef& daemon : daemons) {
        wanted[daemon].push_back(partition);
      }
    }
  }
  for (const auto& [daemon, partitions] : wanted) {
    if (daemon.id == this->services.self.id) {
      continue;  // an earlier incarnation of this daemon
    }
    peers::Envelope envelope;
    for (const std::uint32_t partition : partitions) {
      envelope.mutable_attempt_export_request()->add_partitions(partition);
    }
    this->services.transport->Request(
        daemon.id, std::move(envelope), kExportTimeout,
        [this](const peers::Answer& answer) { this->ImportAnswer(answer); });
  }
}

void AttemptGate::ImportAnswer(const peers::Answer& answer) {
  if (answer.kind != peers::AnswerKind::kAnswered) {
    return;
  }
  const peers::AttemptExport& exported = answer.envelope.attempt_export();
  const core::DaemonRef sender = TurnDaemon(exported.sender());
  auto recorder = this->services.tables.attempts.Lock();
  for (const peers::ExportedPartition& partition : exported.partitions()) {
    std::vector<attempts::KeyedRecord> records;
    for (const peers::KeyedRecord& record : partition.records()) {
      records.push_back({record.key(), TurnRecord(record.record())});
    }
    recorder->Import(partition.partition(), sender, exported.log_offset(),
                     records, Now());
  }
}

void AttemptGate::HandleProposal(const peers::Incoming& message) {
  const peers::AttemptProposal& body = message.envelope.attempt_proposal();
  attempts::Proposal proposal{.key = body.key(),
                              .attempt_id = body.attempt_id(),
                              .request_digest = body.request_digest()};
  for (const peers::GroupMember& member : body.group()) {
    proposal.group.push_back({TurnDaemon(member.daemon()), member.joined_at()});
  }
  const Vote vote =
      this->services.tables.attempts.Lock()->Record(proposal, Now());
  peers::Envelope envelope;
  peers::AttemptVote* answer = envelope.mutable_attempt_vote();
  answer->set_kind(TurnKind(vote.kind));
  if (vote.record) {
    FillRecord(*vote.record, answer->mutable_record());
  }
  this->services.transport->Reply(message, std::move(envelope));
}

void AttemptGate::HandleRelease(const peers::AttemptRelease& release) {
  this->services.tables.attempts.Lock()->Release(release.key(),
                                                 release.attempt_id());
}

void AttemptGate::HandleFinish(const peers::AttemptFinish& finish) {
  this->services.tables.attempts.Lock()->Finish(
      finish.key(), TurnRecord(finish.record()), Now());
}

void AttemptGate::HandleExportRequest(const peers::Incoming& message) {
  const peers::AttemptExportRequest& request =
      message.envelope.attempt_export_request();
  peers::Envelope envelope;
  peers::AttemptExport* exported = envelope.mutable_attempt_export();
  FillDaemon(this->services.self, exported->mutable_sender());
  // Read before the records: they are then at least as new as this offset.
  exported->set_log_offset(this->services.tables.configuration.next());
  {
    auto recorder = this->services.tables.attempts.Lock();
    for (const std::uint32_t partition : request.partitions()) {
      const auto records = recorder->Export(partition);
      if (!records) {
        continue;
      }
      peers::ExportedPartition* added = exported->add_partitions();
      added->set_partition(partition);
      for (const attempts::KeyedRecord& record : *records) {
        peers::KeyedRecord* item = added->add_records();
        item->set_key(record.key);
        FillRecord(record.record, item->mutable_record());
      }
    }
  }
  this->services.transport->Reply(message, std::move(envelope));
}

}  // namespace lycheewell::daemon::requests
