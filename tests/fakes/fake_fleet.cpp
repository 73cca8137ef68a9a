#include "fakes/fake_fleet.h"

#include <algorithm>
#include <sstream>

#include "lycheewell/core/configuration/commands/apply_record.h"

namespace lycheewell::fakes {

namespace attempts = core::attempts;
namespace configuration = core::configuration;
namespace rate = core::rate;

using core::DaemonRef;
using core::Duration;
using core::Instant;
using std::chrono::milliseconds;

namespace {

constexpr const char* kAccount = "club";
constexpr Duration kStep = milliseconds(5);
constexpr Duration kReadTime = milliseconds(50);
constexpr Duration kHeartbeatTime = milliseconds(300);
constexpr Duration kIssueTime = milliseconds(100);
constexpr Duration kFetchTime = milliseconds(100);
constexpr Duration kGatherTime = milliseconds(30);
constexpr Duration kSuspectTime = milliseconds(1500);
constexpr double kLargestDrift = rate::kMaxClockDrift;
constexpr double kTolerance = 1e-4;

double Seconds(Duration time) {
  return std::chrono::duration<double>(time).count();
}

}  // namespace

struct FakeFleet::PendingBallot {
  explicit PendingBallot(std::size_t size) : ballot(size) {}

  attempts::Ballot ballot;
  attempts::Proposal proposal;
  bool is_decided = false;
};

struct FakeFleet::Node {
  std::size_t index = 0;
  double clock_speed = 1;
  std::uint64_t incarnation = 0;
  bool is_running = false;
  bool is_paused = false;
  bool is_cut_from_log = false;
  std::vector<Task> inbox;  // what arrived while paused

  // Lost with a crash.
  DaemonRef self;
  configuration::State state;
  rate::HeartbeatTable heartbeats;
  std::unique_ptr<rate::AccountLimiter> limiter;
  std::unique_ptr<rate::ShareIssuer> issuer;
  std::unique_ptr<attempts::Recorder> recorder;
  std::map<DaemonRef, Instant> heard;  // last heartbeat answered
  std::vector<Instant> waiting;        // requests that wait for tokens
  Instant started_at;
  Instant read_at;
  Instant heartbeats_at;
  Instant issued_at;
  Instant fetched_at;
};

FakeFleet::FakeFleet(const FakeFleetOptions& new_options)
    : options(new_options),
      generator(new_options.seed),
      reference_level(new_options.burst) {
  for (std::size_t index = 0; index < this->options.daemons; ++index) {
    auto node = std::make_unique<Node>();
    node->index = index;
    if (this->options.clocks_drift) {
      std::uniform_real_distribution<double> drift(-kLargestDrift,
                                                   kLargestDrift);
      node->clock_speed = 1.0 + drift(this->generator);
    }
    this->nodes.push_back(std::move(node));
  }
  this->log.push_back(configuration::EncodeRecord(configuration::ChangeRecord{
      .command_id = "first",
      .operator_name = "test",
      .reason = "test",
      .changes = {{.object = configuration::AccountObject(kAccount),
                   .value = configuration::Account{this->options.rate,
                                                   this->options.burst}}}}));
  for (auto& node : this->nodes) {
    this->Start(*node);
  }
}

FakeFleet::~FakeFleet() = default;

std::uint64_t FakeFleet::Random(std::uint64_t below) {
  return this->generator() % below;
}

core::RandomSource FakeFleet::MakeRandom() {
  return [this] { return this->generator(); };
}

Instant FakeFleet::LocalTime(const Node& node) const {
  const double local =
      static_cast<double>(this->now.count()) * node.clock_speed;
  return Instant(Duration(static_cast<Duration::rep>(local)));
}

Duration FakeFleet::MessageDelay() {
  const bool is_late = static_cast<double>(this->Random(1'000'000)) <
                       this->options.long_delay * 1'000'000;
  return is_late ? milliseconds(this->Random(1000))
                 : milliseconds(1 + this->Random(3));
}

void FakeFleet::Post(std::size_t from, std::size_t to, Task task) {
  const auto happens = [this](double part) {
    return static_cast<double>(this->Random(1'000'000)) < part * 1'000'000;
  };
  const bool is_cut = this->cuts.contains(std::minmax(from, to));
  if (is_cut || happens(this->options.loss)) {
    return;
  }
  if (happens(this->options.duplication)) {
    this->PostLate(to, this->MessageDelay(), task);
  }
  this->PostLate(to, this->MessageDelay(), std::move(task));
}

void FakeFleet::PostLate(std::size_t to, Duration delay, Task task) {
  const std::uint64_t incarnation = this->nodes[to]->incarnation;
  this->messages.emplace(
      this->now + delay,
      std::pair{to, [incarnation, task = std::move(task)](Node& node) {
                  if (node.incarnation == incarnation) {
                    task(node);
                  }
                }});
}

void FakeFleet::Start(Node& node) {
  ++node.incarnation;
  node.is_running = true;
  node.self = {"d" + std::to_string(node.index), node.incarnation};
  node.state = {};
  node.heartbeats = {};
  node.heard.clear();
  node.waiting.clear();
  node.inbox.clear();
  const Instant local = this->LocalTime(node);
  node.started_at = local;
  node.read_at = node.heartbeats_at = node.issued_at = node.fetched_at = local;
  node.limiter = std::make_unique<rate::AccountLimiter>(
      rate::AccountLimiter::Options{
          .account = kAccount, .self = node.self, .random = this->MakeRandom()},
      local);
  const auto is_running = [this, &node](const DaemonRef& daemon) {
    const Instant time = this->LocalTime(node);
    const auto heard = node.heard.find(daemon);
    const Instant last =
        heard == node.heard.end() ? node.started_at : heard->second;
    const auto member = node.state.members.find(daemon.id);
    return daemon == node.self ||
           (member != node.state.members.end() &&
            member->second.daemon == daemon && time - last < kSuspectTime);
  };
  node.issuer = std::make_unique<rate::ShareIssuer>(rate::ShareIssuer::Options{
      .self = node.self, .is_running = is_running, .takes_shares = is_running});
  node.recorder = std::make_unique<attempts::Recorder>(node.self);
  const std::size_t data_centre = node.index % this->options.data_centres;
  this->Append(node, configuration::MemberJoined{
                         {.daemon = node.self,
                          .data_centre = "c" + std::to_string(data_centre)}});
}

void FakeFleet::Run(Duration time) {
  const Duration end = this->now + time;
  while (this->now < end) {
    this->now += kStep;
    while (!this->messages.empty() &&
           this->messages.begin()->first <= this->now) {
      auto message = this->messages.extract(this->messages.begin());
      auto& [to, task] = message.mapped();
      Node& node = *this->nodes[to];
      if (node.is_paused) {
        node.inbox.push_back(std::move(task));
      } else if (node.is_running) {
        task(node);
      }
    }
    for (auto& node : this->nodes) {
      if (node->is_running && !node->is_paused) {
        this->StepNode(*node);
      }
    }
  }
}

void FakeFleet::StepNode(Node& node) {
  const Instant local = this->LocalTime(node);
  if (local - node.read_at >= kReadTime) {
    node.read_at = local;
    this->ReadLog(node);
  }
  if (local - node.heartbeats_at >= kHeartbeatTime) {
    node.heartbeats_at = local;
    this->SendHeartbeats(node);
  }
  if (local - node.issued_at >= kIssueTime && node.state.next_offset > 0) {
    node.issued_at = local;
    for (const auto& record :
         node.issuer->Propose(node.state, node.heartbeats, local)) {
      this->Append(node, record);
    }
  }
  if (this->options.has_attempts && local - node.fetched_at >= kFetchTime) {
    node.fetched_at = local;
    this->FetchRecords(node);
  }
  this->SendLoanRequests(node, node.limiter->RequestLoans(0, local));
  this->SendSettlements(node);
  this->RetryWaiting(node);
}

// The answer holds the log as it was when the read was served.
void FakeFleet::ReadLog(Node& node) {
  if (this->log_is_down || node.is_cut_from_log) {
    return;
  }
  const Instant started = this->LocalTime(node);
  const std::size_t end = this->log.size();
  this->PostLate(node.index, this->MessageDelay(),
                 [this, started, end](Node& reader) {
                   this->Fold(reader, end);
                   if (reader.state.next_offset <= end) {
                     reader.heartbeats.RecordLogRead(started);
                   }
                 });
}

void FakeFleet::Fold(Node& node, std::size_t end) {
  bool changed = false;
  while (node.state.next_offset < end) {
    const core::Offset offset = node.state.next_offset;
    const auto record = configuration::DecodeRecord(this->log[offset]);
    configuration::commands::ApplyRecord(node.state, offset, record);
    if (this->options.has_attempts) {
      node.recorder->ApplyMembers(node.state, this->LocalTime(node));
    }
    changed = true;
  }
  const auto roster = node.state.rosters.find(kAccount);
  if (changed && roster != node.state.rosters.end()) {
    node.limiter->Configure({this->options.rate, this->options.burst},
                            roster->second, this->LocalTime(node));
  }
}

void FakeFleet::SendHeartbeats(Node& node) {
  const Instant sent_at = this->LocalTime(node);
  for (const auto& peer : this->nodes) {
    if (peer->index != node.index) {
      this->Post(node.index, peer->index,
                 [this, from = node.index, sent_at](Node& receiver) {
                   this->AnswerHeartbeat(receiver, from, sent_at);
                 });
    }
  }
}

void FakeFleet::AnswerHeartbeat(Node& node, std::size_t peer, Instant sent_at) {
  const DaemonRef self = node.self;
  const core::Offset offset = node.state.next_offset;
  this->Post(node.index, peer, [this, self, offset, sent_at](Node& sender) {
    sender.heartbeats.RecordAnswer(self, sent_at, offset,
                                   sender.state.next_offset);
    sender.heard[self] = std::max(sender.heard[self], sent_at);
    if (offset > sender.state.next_offset) {
      this->Fold(sender, offset);  // hears the missing records from the peer
    }
  });
}

void FakeFleet::Append(Node& node, const configuration::Record& record) {
  if (this->log_is_down || node.is_cut_from_log) {
    return;
  }
  // The write may take effect long after it was sent, also after its sender
  // has gone, and its answer is never relied on.
  const Duration delay = this->MessageDelay();
  this->messages.emplace(
      this->now + delay,
      std::pair{node.index, [this, text = configuration::EncodeRecord(record)](
                                Node&) { this->log.push_back(text); }});
}

void FakeFleet::SendLoanRequests(
    Node& node, const std::vector<rate::LoanRequest>& requests) {
  for (const rate::LoanRequest& request : requests) {
    const auto lender = this->IndexOf(request.lender);
    if (!lender) {
      continue;
    }
    this->Post(
        node.index, *lender, [this, request, from = node.index](Node& holder) {
          const rate::MicroTokens lent = holder.limiter->Lend(
              request, holder.heartbeats, this->LocalTime(holder));
          this->Post(holder.index, from, [this, request, lent](Node& borrower) {
            borrower.limiter->AddLoan(request.loan_id, lent,
                                      this->LocalTime(borrower));
            this->RetryWaiting(borrower);
          });
        });
  }
}

void FakeFleet::SendSettlements(Node& node) {
  for (const rate::LoanSettlement& settlement :
       node.limiter->TakeSettlements(this->LocalTime(node))) {
    const auto lender = this->IndexOf(settlement.lender);
    if (lender) {
      this->Post(node.index, *lender, [this, settlement](Node& holder) {
        holder.limiter->SettleLoan(settlement, this->LocalTime(holder));
      });
    }
  }
}

void FakeFleet::Request(std::size_t daemon) {
  Node& node = *this->nodes[daemon];
  if (!node.is_running || node.is_paused) {
    return;
  }
  const Instant local = this->LocalTime(node);
  if (node.limiter->TryAdmit(node.heartbeats, local)) {
    this->NoteAdmission();
    return;
  }
  ++this->waited;
  node.waiting.push_back(local);
  this->SendLoanRequests(
      node, node.limiter->RequestLoans(node.waiting.size(), local));
}

void FakeFleet::RetryWaiting(Node& node) {
  const Instant local = this->LocalTime(node);
  std::vector<Instant> still;
  for (const Instant since : node.waiting) {
    if (node.limiter->TryAdmit(node.heartbeats, local)) {
      this->NoteAdmission();
    } else if (local - since >= kGatherTime) {
      this->NoteRefusal();
    } else {
      still.push_back(since);
    }
  }
  node.waiting = std::move(still);
}

void FakeFleet::RefillReference() {
  const double gained =
      Seconds(this->now - this->reference_at) * this->options.rate;
  this->reference_level =
      std::min(this->options.burst, this->reference_level + gained);
  this->reference_at = this->now;
}

void FakeFleet::NoteAdmission() {
  ++this->admitted;
  this->RefillReference();
  this->reference_level -= 1;
  if (this->reference_level < -kTolerance) {
    this->largest_overshoot =
        std::max(this->largest_overshoot, -this->reference_level);
  }
}

void FakeFleet::NoteRefusal() {
  ++this->refused;
  this->RefillReference();
  this->refused_wrongly += this->reference_level >= 1 ? 1 : 0;
}

void FakeFleet::FetchRecords(Node& node) {
  for (const auto& [partition, daemons] : node.recorder->MissingPartitions()) {
    for (const DaemonRef& daemon : daemons) {
      const auto peer = this->IndexOf(daemon);
      if (!peer) {
        continue;
      }
      this->Post(
          node.index, *peer,
          [this, from = node.index, partition = partition](Node& exporter) {
            const auto records = exporter.recorder->Export(partition);
            if (!records) {
              return;
            }
            this->Post(
                exporter.index, from,
                [this, partition, records = *records, sender = exporter.self,
                 offset = exporter.state.next_offset](Node& importer) {
                  importer.recorder->Import(partition, sender, offset, records,
                                            this->LocalTime(importer));
                });
          });
    }
  }
}

void FakeFleet::Attempt(std::size_t daemon, const std::string& key) {
  Node& node = *this->nodes[daemon];
  if (!node.is_running || node.is_paused) {
    return;
  }
  const attempts::Group group =
      node.recorder->group(attempts::PartitionOf(key));
  auto ballot = std::make_shared<PendingBallot>(group.size());
  ballot->proposal = {.key = key,
                      .attempt_id = std::to_string(this->generator()),
                      .request_digest = "same",
                      .group = group};
  for (std::size_t index = 0; index < group.size(); ++index) {
    const auto voter = this->IndexOf(group[index].daemon);
    if (!voter) {
      continue;
    }
    const auto ask = [this, ballot, index, from = node.index](Node& recorder) {
      const attempts::Vote vote = recorder.recorder->Record(
          ballot->proposal, this->LocalTime(recorder));
      this->Post(recorder.index, from,
                 [this, ballot, index, vote](Node& proposer) {
                   this->CountVote(proposer, ballot, index, vote);
                 });
    };
    if (*voter == node.index) {
      this->PostLate(node.index, kStep, ask);
    } else {
      this->Post(node.index, *voter, ask);
    }
  }
}

void FakeFleet::CountVote(Node& node,
                          const std::shared_ptr<PendingBallot>& ballot,
                          std::size_t index, const attempts::Vote& vote) {
  if (ballot->is_decided) {
    return;
  }
  ballot->ballot.AddVote(index, vote);
  const attempts::BallotOutcome outcome = ballot->ballot.outcome();
  if (outcome == attempts::BallotOutcome::kOpen) {
    return;
  }
  ballot->is_decided = true;
  const attempts::Proposal& proposal = ballot->proposal;
  if (outcome == attempts::BallotOutcome::kGranted) {
    ++this->dispatched[proposal.key];
    return;
  }
  this->unsure += outcome == attempts::BallotOutcome::kInconclusive ? 1 : 0;
  for (const attempts::GroupMember& member : proposal.group) {
    const auto voter = this->IndexOf(member.daemon);
    if (voter) {
      this->Post(node.index, *voter, [proposal](Node& recorder) {
        recorder.recorder->Release(proposal.key, proposal.attempt_id);
      });
    }
  }
}

std::optional<std::size_t> FakeFleet::IndexOf(const DaemonRef& daemon) const {
  for (const auto& node : this->nodes) {
    if (node->self == daemon) {
      return node->index;
    }
  }
  return std::nullopt;
}

void FakeFleet::Crash(std::size_t daemon) {
  Node& node = *this->nodes[daemon];
  node.is_running = false;
  node.is_paused = false;
  ++node.incarnation;  // what is on its way to the old one is lost
}

void FakeFleet::Restart(std::size_t daemon) {
  Node& node = *this->nodes[daemon];
  if (!node.is_running) {
    this->Start(node);
  }
}

void FakeFleet::Pause(std::size_t daemon) {
  this->nodes[daemon]->is_paused = this->nodes[daemon]->is_running;
}

// Before anything else a request is tried, on what the daemon believes it has.
void FakeFleet::Resume(std::size_t daemon) {
  Node& node = *this->nodes[daemon];
  if (!node.is_paused) {
    return;
  }
  node.is_paused = false;
  this->Request(daemon);
  std::vector<Task> arrived = std::move(node.inbox);
  node.inbox.clear();
  for (const Task& task : arrived) {
    task(node);
  }
}

void FakeFleet::Evict(std::size_t daemon) {
  const std::size_t other = (daemon + 1) % this->nodes.size();
  this->Append(*this->nodes[other],
               configuration::MemberLeft{this->nodes[daemon]->self});
}

void FakeFleet::Leave(std::size_t daemon) {
  Node& node = *this->nodes[daemon];
  if (!node.is_running || node.is_paused) {
    return;
  }
  while (auto release = node.limiter->ReleaseShare(this->LocalTime(node))) {
    this->Append(node, *release);
  }
  this->Append(node, configuration::MemberLeft{node.self});
}

void FakeFleet::CutBetween(std::size_t left, std::size_t right, bool is_cut) {
  if (is_cut) {
    this->cuts.insert(std::minmax(left, right));
  } else {
    this->cuts.erase(std::minmax(left, right));
  }
}

void FakeFleet::CutFromLog(std::size_t daemon, bool is_cut) {
  this->nodes[daemon]->is_cut_from_log = is_cut;
}

bool FakeFleet::IsRunning(std::size_t daemon) const {
  return this->nodes[daemon]->is_running && !this->nodes[daemon]->is_paused;
}

int FakeFleet::most_dispatches() const {
  int most = 0;
  for (const auto& [key, count] : this->dispatched) {
    most = std::max(most, count);
  }
  return most;
}

int FakeFleet::dispatches() const {
  int sum = 0;
  for (const auto& [key, count] : this->dispatched) {
    sum += count;
  }
  return sum;
}

std::string FakeFleet::DescribeShares() const {
  std::ostringstream text;
  const auto& state = this->nodes.front()->state;
  const auto roster = state.rosters.find(kAccount);
  if (roster != state.rosters.end()) {
    text << "epoch " << roster->second.epoch << ":";
    for (const auto& share : roster->second.shares) {
      text << " " << share.holder.id << "#" << share.holder.incarnation;
    }
  }
  return text.str();
}

}  // namespace lycheewell::fakes
