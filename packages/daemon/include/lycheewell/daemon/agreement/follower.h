// Keeps this daemon's configuration up with the platform's log: reads it, or
// hears its records from peers, and appends.
#ifndef LYCHEEWELL_DAEMON_AGREEMENT_FOLLOWER_H_
#define LYCHEEWELL_DAEMON_AGREEMENT_FOLLOWER_H_

#include <atomic>
#include <boost/asio/awaitable.hpp>

#include "lycheewell/core/configuration/record.h"
#include "lycheewell/daemon/services.h"

namespace lycheewell::daemon::agreement {

// Daemons of a data centre that read the log; the others hear from peers.
inline constexpr std::size_t kReadersPerDataCentre = 2;

class Follower {
 public:
  explicit Follower(Services& services);

  // Commands.

  // Reads the log while this daemon is one of its data centre's readers. Runs
  // until Stop.
  boost::asio::awaitable<void> Run();
  void Stop() { this->stopping = true; }

  // Appends one record, once.
  boost::asio::awaitable<io::log::AppendResult> Append(
      core::configuration::Record record);

  // Folds records and tells some peers of new ones.
  void Receive(const std::vector<tables::RawRecord>& records);

  // Asks `peer_address` for what this daemon lacks.
  void FetchFrom(const std::string& peer_address);

  // A peer's messages.
  void HandleRequest(const peers::Incoming& message);
  void HandleRecords(const peers::Records& records);

  // Queries.

  // Whether the log was read to its end at least once, here or through a peer.
  bool IsReady() const { return this->ready; }
  bool IsLogReachable() const { return this->log_reachable; }

 private:
  bool IsReader();
  void NoteLogState(bool reachable, const std::string& detail);
  void PushToPeers(const std::vector<tables::RawRecord>& records);

  Services& services;
  std::atomic<bool> stopping = false;
  std::atomic<bool> ready = false;
  std::atomic<bool> log_reachable = true;
  std::atomic<bool> fetching = false;
};

}  // namespace lycheewell::daemon::agreement

#endif  // LYCHEEWELL_DAEMON_AGREEMENT_FOLLOWER_H_
