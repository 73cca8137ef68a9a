// Several daemons' decision cores on a fake clock, with a fake log and a fake
// network that loses, delays, repeats and cuts. Equal seeds give equal runs.
#ifndef LYCHEEWELL_TESTS_FAKES_FAKE_FLEET_H_
#define LYCHEEWELL_TESTS_FAKES_FAKE_FLEET_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "lycheewell/core/attempts/ballot.h"
#include "lycheewell/core/configuration/state.h"
#include "lycheewell/core/rate/account_limiter.h"
#include "lycheewell/core/rate/share_issuer.h"

namespace lycheewell::fakes {

struct FakeFleetOptions {
  std::uint64_t seed = 1;
  std::size_t daemons = 5;
  std::size_t data_centres = 3;
  double rate = 50;
  double burst = 10;
  double loss = 0;         // part of the messages that are lost
  double duplication = 0;  // part of the messages that arrive twice
  double long_delay = 0;   // part of the messages that take up to a second
  bool clocks_drift = false;
  bool has_attempts = false;  // also runs the attempt recorders
};

class FakeFleet {
 public:
  explicit FakeFleet(const FakeFleetOptions& options);
  ~FakeFleet();

  // Commands.

  // Lets `time` pass.
  void Run(core::Duration time);

  // A request of the account arrives. It is admitted at once, after gathering
  // tokens for a while, or refused; `admissions` and `refusals` count them.
  void Request(std::size_t daemon);

  // A request with an idempotency key arrives. Its dispatches are counted.
  void Attempt(std::size_t daemon, const std::string& key);

  void Crash(std::size_t daemon);
  void Restart(std::size_t daemon);
  void Pause(std::size_t daemon);
  void Resume(std::size_t daemon);
  void Evict(std::size_t daemon);
  void Leave(std::size_t daemon);
  void CutBetween(std::size_t left, std::size_t right, bool is_cut);
  void CutFromLog(std::size_t daemon, bool is_cut);
  void SetLogDown(bool is_down) { this->log_is_down = is_down; }

  // Queries.

  std::uint64_t Random(std::uint64_t below);
  bool IsRunning(std::size_t daemon) const;
  std::size_t size() const { return this->nodes.size(); }
  int admissions() const { return this->admitted; }
  int refusals() const { return this->refused; }
  // Refused although a single bucket of rate and burst had a token.
  int wrongful_refusals() const { return this->refused_wrongly; }
  int remote_waits() const { return this->waited; }
  // Tokens that were spent beyond rate and burst, at worst; 0 is right.
  double overshoot() const { return this->largest_overshoot; }
  // Largest number of dispatches of one key; 1 is right.
  int most_dispatches() const;
  int dispatches() const;
  int unsure_attempts() const { return this->unsure; }
  std::size_t LogSize() const { return this->log.size(); }
  std::string DescribeShares() const;

 private:
  struct Node;
  struct PendingBallot;
  using Task = std::function<void(Node&)>;

  core::Instant LocalTime(const Node& node) const;
  core::Duration MessageDelay();
  void Post(std::size_t from, std::size_t to, Task task);
  void PostLate(std::size_t to, core::Duration delay, Task task);
  void Start(Node& node);
  void StepNode(Node& node);
  void ReadLog(Node& node);
  void Fold(Node& node, std::size_t end);
  void SendHeartbeats(Node& node);
  void AnswerHeartbeat(Node& node, std::size_t peer, core::Instant sent_at);
  void Append(Node& node, const core::configuration::Record& record);
  void SendLoanRequests(Node& node,
                        const std::vector<core::rate::LoanRequest>& requests);
  void SendSettlements(Node& node);
  void RetryWaiting(Node& node);
  void FetchRecords(Node& node);
  void CountVote(Node& node, const std::shared_ptr<PendingBallot>& ballot,
                 std::size_t index, const core::attempts::Vote& vote);
  void NoteAdmission();
  void NoteRefusal();
  void RefillReference();
  std::optional<std::size_t> IndexOf(const core::DaemonRef& daemon) const;
  core::RandomSource MakeRandom();

  FakeFleetOptions options;
  std::mt19937_64 generator;
  core::Duration now{};  // true time since the start
  std::vector<std::unique_ptr<Node>> nodes;
  std::multimap<core::Duration, std::pair<std::size_t, Task>> messages;
  std::set<std::pair<std::size_t, std::size_t>> cuts;
  std::vector<std::string> log;
  bool log_is_down = false;
  int admitted = 0;
  int refused = 0;
  int refused_wrongly = 0;
  int waited = 0;
  int unsure = 0;
  double reference_level = 0;  // one bucket of rate and burst, in tokens
  core::Duration reference_at{};
  double largest_overshoot = 0;
  std::map<std::string, int> dispatched;  // by key
};

}  // namespace lycheewell::fakes

#endif  // LYCHEEWELL_TESTS_FAKES_FAKE_FLEET_H_
