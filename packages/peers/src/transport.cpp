#include "lycheewell/peers/transport.h"

#include <algorithm>
#include <array>
#include <atomic>
#include <deque>
#include <map>
#include <mutex>
#include <thread>
#include <unordered_map>
#include <vector>
#include <zmq.hpp>

namespace lycheewell::peers {
namespace {

using Clock = std::chrono::steady_clock;

constexpr int kSendQueueMessages = 20'000;
constexpr int kReceiveQueueMessages = 20'000;
constexpr int kReconnectMs = 50;
constexpr int kLongestReconnectMs = 500;
constexpr int kHeartbeatMs = 500;
constexpr int kHeartbeatTimeoutMs = 1'500;
constexpr auto kConnectTime = std::chrono::milliseconds(200);
constexpr auto kSendRetryTime = std::chrono::milliseconds(2);
constexpr int kHandshakeMs = 2'000;
constexpr std::int64_t kLargestMessage = 80LL * 1024 * 1024;
constexpr auto kPollTime = std::chrono::milliseconds(20);
constexpr const char* kWakeAddress = "inproc://wake";
constexpr const char* kAuthenticationAddress = "inproc://zeromq.zap.01";
constexpr std::size_t kZ85KeyLength = 40;

// Answers ZeroMQ's authentication requests: only the fleet's key may connect.
class Authenticator {
 public:
  Authenticator(zmq::context_t& context, const std::string& allowed_key)
      : socket(context, zmq::socket_type::rep) {
    std::array<std::uint8_t, 32> decoded{};
    if (zmq_z85_decode(decoded.data(), allowed_key.c_str()) == nullptr) {
      throw std::invalid_argument("the fleet's public key is not Z85 text");
    }
    this->allowed.assign(decoded.begin(), decoded.end());
    this->socket.bind(kAuthenticationAddress);
  }

  zmq::socket_ref handle() { return this->socket; }

  void Answer() {
    std::vector<std::string> frames;
    zmq::message_t frame;
    do {
      if (!this->socket.recv(frame, zmq::recv_flags::none)) {
        return;
      }
      frames.push_back(frame.to_string());
    } while (frame.more());
    constexpr std::size_t kKeyFrame = 6;
    const bool accepted = frames.size() > kKeyFrame && frames[5] == "CURVE" &&
                          frames[kKeyFrame] == this->allowed;
    const std::string request_id = frames.size() > 1 ? frames[1] : "";
    const std::array<std::string, 6> reply = {"1.0",
                                              request_id,
                                              accepted ? "200" : "400",
                                              accepted ? "OK" : "unknown key",
                                              "",
                                              ""};
    for (std::size_t index = 0; index < reply.size(); ++index) {
      const auto flags = index + 1 < reply.size() ? zmq::send_flags::sndmore
                                                  : zmq::send_flags::none;
      this->socket.send(zmq::buffer(reply[index]), flags);
    }
  }

 private:
  zmq::socket_t socket;
  std::string allowed;
};

}  // namespace

KeyPair GenerateKeyPair() {
  std::array<char, kZ85KeyLength + 1> public_key{};
  std::array<char, kZ85KeyLength + 1> secret_key{};
  if (zmq_curve_keypair(public_key.data(), secret_key.data()) != 0) {
    throw zmq::error_t();
  }
  return {public_key.data(), secret_key.data()};
}

// Owns the sockets on one thread; other threads hand it what to send.
class Transport::Worker {
 public:
  explicit Worker(Options new_options)
      : options(std::move(new_options)),
        authenticator(this->context, this->options.fleet_key.public_key),
        router(this->context, zmq::socket_type::router),
        wake_receiver(this->context, zmq::socket_type::pull),
        wake_sender(this->context, zmq::socket_type::push) {
    this->router.set(zmq::sockopt::curve_server, true);
    this->router.set(zmq::sockopt::curve_secretkey,
                     this->options.fleet_key.secret_key);
    this->router.set(zmq::sockopt::linger, 0);
    this->router.set(zmq::sockopt::sndhwm, kSendQueueMessages);
    this->router.set(zmq::sockopt::rcvhwm, kReceiveQueueMessages);
    this->router.set(zmq::sockopt::maxmsgsize, kLargestMessage);
    this->router.set(zmq::sockopt::handshake_ivl, kHandshakeMs);
    this->router.bind("tcp://" + this->options.bind_address);
    this->wake_receiver.bind(kWakeAddress);
    this->wake_sender.connect(kWakeAddress);
    this->thread = std::thread([this] { this->Run(); });
  }

  ~Worker() { this->Stop(); }

  void Stop() {
    if (this->stopping.exchange(true)) {
      return;
    }
    this->Wake();
    if (this->thread.joinable()) {
      this->thread.join();
    }
  }

  std::uint64_t NextCorrelationId() { return this->next_correlation_id++; }

  void Post(std::function<void()> task) {
    bool was_empty = false;
    {
      const std::lock_guard lock(this->mutex);
      was_empty = this->tasks.empty();
      this->tasks.push_back(std::move(task));
    }
    if (was_empty) {
      this->Wake();
    }
  }

  const Options& settings() const { return this->options; }

  // The functions below run on the worker's thread.

  // Sends without an answer; a message that cannot be sent now is dropped.
  void SendTo(const std::string& address, const Envelope& envelope) {
    this->Transmit(address, envelope,
                   [this, address](const std::string& bytes) {
                     this->TrySend(address, bytes);
                   });
  }

  void RequestFrom(const std::string& address, std::uint64_t correlation_id,
                   const Envelope& envelope, std::chrono::milliseconds timeout,
                   AnswerHandler on_answer) {
    const auto deadline = Clock::now() + timeout;
    this->waiting.emplace(correlation_id,
                          Waiting{address, std::move(on_answer)});
    this->deadlines.emplace(deadline, correlation_id);
    const auto give_up = std::min(deadline, Clock::now() + kConnectTime);
    this->Transmit(
        address, envelope,
        [this, address, correlation_id, give_up](const std::string& bytes) {
          this->SendOrRetry(address, correlation_id, bytes, give_up);
        });
  }

  void ReplyTo(const std::string& route, const std::string& address,
               const Envelope& envelope) {
    this->Transmit(address, envelope, [this, route](const std::string& bytes) {
      this->SendToRoute(route, bytes);
    });
  }

  void FailRequestsTo(const std::string& address) {
    std::vector<std::uint64_t> ids;
    for (const auto& [id, entry] : this->waiting) {
      if (entry.address == address) {
        ids.push_back(id);
      }
    }
    for (const std::uint64_t id : ids) {
      this->Complete(id, {.kind = AnswerKind::kLost});
    }
  }

  void CloseDealer(const std::string& address) {
    this->dealers.erase(address);
    this->poll_is_stale = true;
  }

 private:
  struct Waiting {
    std::string address;
    AnswerHandler on_answer;
  };

  bool TrySend(const std::string& address, const std::string& bytes) {
    return this->DealerFor(address)
        .send(zmq::buffer(bytes), zmq::send_flags::dontwait)
        .has_value();
  }

  // A message is only handed to a connected peer, so that one that was never
  // accepted is known not to have been sent.
  void SendOrRetry(const std::string& address, std::uint64_t correlation_id,
                   const std::string& bytes, Clock::time_point give_up) {
    if (!this->waiting.contains(correlation_id) ||
        this->TrySend(address, bytes)) {
      return;
    }
    const auto next_try = Clock::now() + kSendRetryTime;
    if (next_try >= give_up) {
      this->Complete(correlation_id, {.kind = AnswerKind::kNotSent});
      return;
    }
    this->delayed.emplace(
        next_try, [this, address, correlation_id, bytes, give_up] {
          this->SendOrRetry(address, correlation_id, bytes, give_up);
        });
  }

  void Complete(std::uint64_t correlation_id, Answer answer) {
    const auto found = this->waiting.find(correlation_id);
    if (found == this->waiting.end()) {
      return;
    }
    AnswerHandler on_answer = std::move(found->second.on_answer);
    this->waiting.erase(found);
    on_answer(std::move(answer));
  }

  void Wake() {
    const std::lock_guard lock(this->wake_mutex);
    const char byte = 0;
    this->wake_sender.send(zmq::buffer(&byte, 1), zmq::send_flags::dontwait);
  }

  void Run() {
    while (!this->stopping) {
      this->PollOnce();
      this->RunTasks();
      this->SendDelayed();
      this->ExpireAnswers();
    }
    while (!this->waiting.empty()) {
      this->Complete(this->waiting.begin()->first, {.kind = AnswerKind::kLost});
    }
  }

  void AddPollItem(zmq::socket_ref socket) {
    zmq::pollitem_t item{};
    item.socket = socket.handle();
    item.events = ZMQ_POLLIN;
    this->poll_items.push_back(item);
  }

  void RebuildPollItems() {
    this->poll_items.clear();
    this->AddPollItem(this->wake_receiver);
    this->AddPollItem(this->authenticator.handle());
    this->AddPollItem(this->router);
    this->polled_dealers.clear();
    for (auto& [address, dealer] : this->dealers) {
      this->AddPollItem(dealer);
      this->polled_dealers.push_back(address);
    }
    this->poll_is_stale = false;
  }

  std::chrono::milliseconds PollTimeout() const {
    if (this->delayed.empty() && this->deadlines.empty()) {
      return kPollTime;
    }
    return this->delayed.empty() ? kPollTime / 4 : kSendRetryTime;
  }

  void PollOnce() {
    if (this->poll_is_stale) {
      this->RebuildPollItems();
    }
    zmq::poll(this->poll_items, this->PollTimeout());
    constexpr std::size_t kFirstDealer = 3;
    if ((this->poll_items[0].revents & ZMQ_POLLIN) != 0) {
      this->DrainWakes();
    }
    if ((this->poll_items[1].revents & ZMQ_POLLIN) != 0) {
      this->authenticator.Answer();
    }
    if ((this->poll_items[2].revents & ZMQ_POLLIN) != 0) {
      this->ReceiveFromRouter();
    }
    for (std::size_t index = kFirstDealer; index < this->poll_items.size();
         ++index) {
      if ((this->poll_items[index].revents & ZMQ_POLLIN) != 0) {
        this->ReceiveFromDealer(this->polled_dealers[index - kFirstDealer]);
      }
    }
  }

  void DrainWakes() {
    zmq::message_t message;
    while (this->wake_receiver.recv(message, zmq::recv_flags::dontwait)) {
    }
  }

  void RunTasks() {
    std::deque<std::function<void()>> to_run;
    {
      const std::lock_guard lock(this->mutex);
      to_run.swap(this->tasks);
    }
    for (const auto& task : to_run) {
      task();
    }
  }

  Fault FaultFor(const std::string& address) const {
    return this->options.fault ? this->options.fault(address) : Fault{};
  }

  void Transmit(const std::string& address, const Envelope& envelope,
                std::function<void(const std::string&)> send) {
    const Fault fault = this->FaultFor(address);
    if (fault.cut) {
      return;
    }
    std::string bytes = envelope.SerializeAsString();
    if (fault.delay.count() == 0) {
      send(bytes);
      return;
    }
    this->delayed.emplace(
        Clock::now() + fault.delay,
        [send = std::move(send), bytes = std::move(bytes)] { send(bytes); });
  }

  void SendDelayed() {
    const auto now = Clock::now();
    while (!this->delayed.empty() && this->delayed.begin()->first <= now) {
      auto node = this->delayed.extract(this->delayed.begin());
      node.mapped()();
    }
  }

  void SendToRoute(const std::string& route, const std::string& bytes) {
    try {
      if (this->router.send(
              zmq::buffer(route),
              zmq::send_flags::sndmore | zmq::send_flags::dontwait)) {
        this->router.send(zmq::buffer(bytes), zmq::send_flags::dontwait);
      }
    } catch (const zmq::error_t&) {
      // The peer has gone; its request times out there.
    }
  }

  zmq::socket_t& DealerFor(const std::string& address) {
    const auto found = this->dealers.find(address);
    if (found != this->dealers.end()) {
      return found->second;
    }
    zmq::socket_t dealer(this->context, zmq::socket_type::dealer);
    const KeyPair& key = this->options.fleet_key;
    dealer.set(zmq::sockopt::curve_serverkey, key.public_key);
    dealer.set(zmq::sockopt::curve_publickey, key.public_key);
    dealer.set(zmq::sockopt::curve_secretkey, key.secret_key);
    dealer.set(zmq::sockopt::linger, 0);
    dealer.set(zmq::sockopt::sndhwm, kSendQueueMessages);
    dealer.set(zmq::sockopt::rcvhwm, kReceiveQueueMessages);
    dealer.set(zmq::sockopt::reconnect_ivl, kReconnectMs);
    dealer.set(zmq::sockopt::reconnect_ivl_max, kLongestReconnectMs);
    dealer.set(zmq::sockopt::maxmsgsize, kLargestMessage);
    dealer.set(zmq::sockopt::immediate, true);
    dealer.set(zmq::sockopt::heartbeat_ivl, kHeartbeatMs);
    dealer.set(zmq::sockopt::heartbeat_timeout, kHeartbeatTimeoutMs);
    dealer.connect("tcp://" + address);
    this->poll_is_stale = true;
    return this->dealers.emplace(address, std::move(dealer)).first->second;
  }

  void ReceiveFromRouter() {
    zmq::message_t route;
    while (this->router.recv(route, zmq::recv_flags::dontwait)) {
      zmq::message_t body;
      if (!route.more() ||
          !this->router.recv(body, zmq::recv_flags::dontwait)) {
        continue;
      }
      while (body.more() &&
             this->router.recv(body, zmq::recv_flags::dontwait)) {
      }
      Incoming incoming{.route = route.to_string()};
      if (!this->Parse(body, incoming.envelope)) {
        continue;
      }
      if (!this->FaultFor(incoming.envelope.sender_address()).cut) {
        this->options.on_message(std::move(incoming));
      }
    }
  }

  void ReceiveFromDealer(const std::string& address) {
    const auto dealer = this->dealers.find(address);
    if (dealer == this->dealers.end()) {
      return;
    }
    zmq::message_t body;
    while (dealer->second.recv(body, zmq::recv_flags::dontwait)) {
      Envelope envelope;
      if (!this->Parse(body, envelope) || this->FaultFor(address).cut) {
        continue;
      }
      const std::uint64_t id = envelope.correlation_id();
      this->Complete(id, {AnswerKind::kAnswered, std::move(envelope)});
    }
  }

  bool Parse(const zmq::message_t& message, Envelope& envelope) {
    const bool parsed = envelope.ParseFromArray(
                            message.data(), static_cast<int>(message.size())) &&
                        envelope.body_case() != Envelope::BODY_NOT_SET;
    if (!parsed && this->options.on_bad_message) {
      this->options.on_bad_message("a message of " +
                                   std::to_string(message.size()) +
                                   " bytes does not parse");
    }
    return parsed;
  }

  void ExpireAnswers() {
    const auto now = Clock::now();
    while (!this->deadlines.empty() && this->deadlines.begin()->first <= now) {
      const std::uint64_t id = this->deadlines.begin()->second;
      this->deadlines.erase(this->deadlines.begin());
      this->Complete(id, {.kind = AnswerKind::kLost});
    }
  }

  Options options;
  zmq::context_t context;
  Authenticator authenticator;
  zmq::socket_t router;
  zmq::socket_t wake_receiver;
  zmq::socket_t wake_sender;
  std::mutex wake_mutex;
  std::mutex mutex;
  std::deque<std::function<void()>> tasks;
  std::atomic<bool> stopping = false;
  std::atomic<std::uint64_t> next_correlation_id = 1;

  // Used by the worker's thread only.
  std::map<std::string, zmq::socket_t> dealers;
  std::vector<zmq::pollitem_t> poll_items;
  std::vector<std::string> polled_dealers;
  bool poll_is_stale = true;
  std::unordered_map<std::uint64_t, Waiting> waiting;
  std::multimap<Clock::time_point, std::uint64_t> deadlines;
  std::multimap<Clock::time_point, std::function<void()>> delayed;

  std::thread thread;  // last: starts when all else is ready
};

Transport::Transport(Options options)
    : worker(std::make_unique<Worker>(std::move(options))) {}

Transport::~Transport() = default;

void Transport::Send(const std::string& address, Envelope envelope) {
  envelope.set_sender_address(this->worker->settings().bind_address);
  this->worker->Post([this, address, envelope = std::move(envelope)] {
    this->worker->SendTo(address, envelope);
  });
}

std::uint64_t Transport::Request(const std::string& address, Envelope envelope,
                                 std::chrono::milliseconds timeout,
                                 AnswerHandler on_answer) {
  const std::uint64_t id = this->worker->NextCorrelationId();
  envelope.set_correlation_id(id);
  envelope.set_sender_address(this->worker->settings().bind_address);
  this->worker->Post([this, id, address, timeout,
                      envelope = std::move(envelope),
                      on_answer = std::move(on_answer)]() mutable {
    this->worker->RequestFrom(address, id, envelope, timeout,
                              std::move(on_answer));
  });
  return id;
}

void Transport::Reply(const Incoming& request, Envelope envelope) {
  envelope.set_correlation_id(request.envelope.correlation_id());
  envelope.set_sender_address(this->worker->settings().bind_address);
  this->worker->Post([this, route = request.route,
                      address = request.envelope.sender_address(),
                      envelope = std::move(envelope)] {
    this->worker->ReplyTo(route, address, envelope);
  });
}

void Transport::SendAbout(const std::string& address,
                          std::uint64_t correlation_id, Envelope envelope) {
  envelope.set_correlation_id(correlation_id);
  this->Send(address, std::move(envelope));
}

void Transport::Forget(const std::string& address) {
  this->worker->Post([this, address] { this->worker->CloseDealer(address); });
}

void Transport::FailRequests(const std::string& address) {
  this->worker->Post(
      [this, address] { this->worker->FailRequestsTo(address); });
}

void Transport::Stop() { this->worker->Stop(); }

}  // namespace lycheewell::peers
