#include "lycheewell/daemon/agreement/follower.h"

#include <algorithm>
#include <boost/asio/steady_timer.hpp>

#include "lycheewell/core/routing/rendezvous.h"

namespace lycheewell::daemon::agreement {
namespace asio = boost::asio;

using io::log::AppendResult;
using io::log::LogBatch;
using io::log::LogError;
using io::log::LogRecord;

namespace {

constexpr std::size_t kBatchRecords = 500;
constexpr auto kLongPoll = std::chrono::milliseconds(400);
constexpr auto kFirstPause = std::chrono::milliseconds(100);
constexpr auto kLongestPause = std::chrono::milliseconds(1000);
constexpr auto kNoReaderPause = std::chrono::milliseconds(200);
constexpr std::size_t kPeersToTell = 4;
constexpr auto kFetchTimeout = std::chrono::milliseconds(1000);

void FillRecords(const std::vector<tables::RawRecord>& records,
                 peers::Records* message) {
  for (const tables::RawRecord& record : records) {
    peers::LogRecord* added = message->add_records();
    added->set_offset(record.offset);
    added->set_body(record.body);
  }
}

std::vector<tables::RawRecord> TurnRecords(const peers::Records& message) {
  std::vector<tables::RawRecord> records;
  for (const peers::LogRecord& record : message.records()) {
    records.push_back({record.offset(), record.body()});
  }
  return records;
}

std::vector<tables::RawRecord> TurnBatch(const LogBatch& batch) {
  std::vector<tables::RawRecord> records;
  for (const LogRecord& record : batch.records) {
    records.push_back({record.offset, record.body});
  }
  return records;
}

}  // namespace

Follower::Follower(Services& new_services) : services(new_services) {}

asio::awaitable<void> Follower::Run() {
  const auto executor = co_await asio::this_coro::executor;
  std::chrono::milliseconds pause = kFirstPause;
  while (!this->stopping) {
    if (this->ready && !this->IsReader()) {
      asio::steady_timer timer(executor, kNoReaderPause);
      co_await timer.async_wait(asio::use_awaitable);
      continue;
    }
    const core::Instant started = Now();
    const core::Offset from = this->services.tables.configuration.next();
    auto result = co_await this->services.log.read(
        from, kBatchRecords,
        this->ready ? kLongPoll : std::chrono::milliseconds(0));
    const auto* error = std::get_if<LogError>(&result);
    if (error != nullptr) {
      this->services.metrics.Count(metrics::Counter::kLogErrors);
      this->NoteLogState(false, error->detail);
      asio::steady_timer timer(executor, pause);
      co_await timer.async_wait(asio::use_awaitable);
      pause = std::min<std::chrono::milliseconds>(pause * 2, kLongestPause);
      continue;
    }
    pause = kFirstPause;
    this->NoteLogState(true, "");
    const auto& batch = std::get<LogBatch>(result);
    this->Receive(TurnBatch(batch));
    const bool is_at_end =
        this->services.tables.configuration.next() >= batch.end;
    if (is_at_end) {
      this->services.tables.limiters.Lock()->heartbeats.RecordLogRead(started);
      this->ready = true;
    } else if (this->services.tables.configuration.has_gap()) {
      this->services.events.Write(
          events::Event::kRecordsMissing,
          {{"next", std::to_string(this->services.tables.configuration.next())},
           {"oldest", std::to_string(batch.first)}});
      asio::steady_timer timer(executor, kLongestPause);
      co_await timer.async_wait(asio::use_awaitable);
    }
  }
}

bool Follower::IsReader() {
  const auto view = this->services.tables.configuration.view();
  std::vector<core::routing::Candidate> candidates;
  {
    auto membership = this->services.tables.membership.Lock();
    for (const auto& [id, member] : view->state().members) {
      const bool is_here =
          member.data_centre == this->services.settings.data_centre;
      if (is_here && membership->IsLive(member.daemon)) {
        candidates.push_back({member.daemon, {}});
      }
    }
  }
  const auto ranked = core::routing::RankAcrossDataCentres(
      "log-readers/" + this->services.settings.data_centre,
      std::move(candidates));
  const std::size_t readers = std::min(kReadersPerDataCentre, ranked.size());
  const auto end = ranked.begin() + static_cast<std::ptrdiff_t>(readers);
  const bool is_member = std::find(ranked.begin(), ranked.end(),
                                   this->services.self) != ranked.end();
  return !is_member ||
         std::find(ranked.begin(), end, this->services.self) != end;
}

void Follower::NoteLogState(bool reachable, const std::string& detail) {
  if (this->log_reachable.exchange(reachable) == reachable) {
    return;
  }
  this->services.events.Write(
      reachable ? events::Event::kLogReachable : events::Event::kLogUnreachable,
      {{"log", this->services.settings.log.address}, {"detail", detail}});
}

asio::awaitable<AppendResult> Follower::Append(
    core::configuration::Record record) {
  AppendResult result = co_await this->services.log.append(
      core::configuration::EncodeRecord(record));
  const auto* error = std::get_if<LogError>(&result);
  if (error != nullptr) {
    this->services.metrics.Count(metrics::Counter::kLogErrors);
    this->NoteLogState(false, error->detail);
  }
  co_return result;
}

void Follower::Receive(const std::vector<tables::RawRecord>& records) {
  const core::Offset before = this->services.tables.configuration.next();
  if (this->services.tables.configuration.Fold(records) == 0) {
    return;
  }
  std::vector<tables::RawRecord> fresh;
  for (const tables::RawRecord& record : records) {
    if (record.offset >= before) {
      fresh.push_back(record);
    }
  }
  if (this->ready) {
    this->PushToPeers(fresh);
  }
}

void Follower::PushToPeers(const std::vector<tables::RawRecord>& records) {
  std::vector<core::DaemonRef> live =
      this->services.tables.membership.Lock()->LiveMembers();
  peers::Envelope envelope;
  FillRecords(records, envelope.mutable_records());
  for (std::size_t told = 0; told < kPeersToTell && !live.empty(); ++told) {
    const std::size_t index = this->services.random() % live.size();
    this->services.transport->Send(live[index].id, envelope);
    live.erase(live.begin() + static_cast<std::ptrdiff_t>(index));
  }
}

void Follower::FetchFrom(const std::string& peer_address) {
  if (this->fetching.exchange(true)) {
    return;
  }
  peers::Envelope envelope;
  envelope.mutable_records_request()->set_from(
      this->services.tables.configuration.next());
  this->services.transport->Request(
      peer_address, std::move(envelope), kFetchTimeout,
      [this](const peers::Answer& answer) {
        this->fetching = false;
        if (answer.kind == peers::AnswerKind::kAnswered) {
          this->HandleRecords(answer.envelope.records());
        }
      });
}

void Follower::HandleRequest(const peers::Incoming& message) {
  const core::Offset from = message.envelope.records_request().from();
  peers::Envelope envelope;
  peers::Records* answer = envelope.mutable_records();
  const auto records =
      this->services.tables.configuration.RecordsFrom(from, kBatchRecords);
  if (records) {
    FillRecords(*records, answer);
  } else {
    const auto view = this->services.tables.configuration.view();
    answer->set_state(core::configuration::EncodeState(view->state()));
  }
  this->services.transport->Reply(message, std::move(envelope));
}

void Follower::HandleRecords(const peers::Records& records) {
  if (!records.state().empty()) {
    this->services.tables.configuration.AdoptState(records.state());
    return;
  }
  this->Receive(TurnRecords(records));
}

}  // namespace lycheewell::daemon::agreement
