// Messages between daemons over ZeroMQ with CURVE encryption. Only daemons that
// hold the fleet's key pair can connect.
#ifndef LYCHEEWELL_PEERS_TRANSPORT_H_
#define LYCHEEWELL_PEERS_TRANSPORT_H_

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "messages.pb.h"

namespace lycheewell::peers {

// A CURVE key pair in Z85 text, 40 characters each.
struct KeyPair {
  std::string public_key;
  std::string secret_key;

  bool operator==(const KeyPair&) const = default;
};

KeyPair GenerateKeyPair();

// A message from another daemon and the way back to it.
struct Incoming {
  Envelope envelope;
  std::string route;  // for Transport::Reply
};

// What a test does to the messages to and from one peer.
struct Fault {
  bool cut = false;
  std::chrono::milliseconds delay{0};
};

enum class AnswerKind {
  kAnswered,
  kNotSent,  // the request never left this daemon
  kLost,     // no answer in time, or the peer has gone
};

struct Answer {
  AnswerKind kind = AnswerKind::kLost;
  Envelope envelope;  // with kAnswered
};

class Transport {
 public:
  struct Options {
    std::string bind_address;  // "host:port"
    KeyPair fleet_key;
    // Called on the transport's thread for every message that is no answer.
    std::function<void(Incoming)> on_message;
    // Called for every message that does not parse.
    std::function<void(std::string_view reason)> on_bad_message;
    // For tests; may be empty.
    std::function<Fault(const std::string& peer_address)> fault;
  };

  // Called once, on the transport's thread.
  using AnswerHandler = std::function<void(Answer)>;

  // Binds at once; throws zmq::error_t when it cannot.
  explicit Transport(Options options);
  ~Transport();

  // Commands. Safe to use from any thread.

  // Sends a message that has no answer. It may be lost.
  void Send(const std::string& address, Envelope envelope);

  // Sends a request. Returns its correlation id.
  std::uint64_t Request(const std::string& address, Envelope envelope,
                        std::chrono::milliseconds timeout,
                        AnswerHandler on_answer);

  // Answers `request`.
  void Reply(const Incoming& request, Envelope envelope);

  // Sends a message that refers to an earlier request by its correlation id.
  void SendAbout(const std::string& address, std::uint64_t correlation_id,
                 Envelope envelope);

  // Ends all waits for answers from `address` with kLost.
  void FailRequests(const std::string& address);

  // Closes the connection to a peer that is no longer a member.
  void Forget(const std::string& address);

  void Stop();

 private:
  class Worker;
  std::unique_ptr<Worker> worker;
};

}  // namespace lycheewell::peers

#endif  // LYCHEEWELL_PEERS_TRANSPORT_H_
