#include "harness/peer.h"

#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <deque>
#include <stdexcept>
#include <utility>

#include "harness/store.h"
#include "lycheewell/core/names.h"

namespace lycheewell::harness {
using std::chrono::steady_clock;

namespace {

constexpr std::size_t kPrefixBytes = 4;

bool AreTexts(std::initializer_list<std::string_view> texts) {
  return std::all_of(texts.begin(), texts.end(), core::IsUtf8);
}

bool AreMarksTexts(const mesh::CrashMarks& marks) {
  const auto is_text = [](const mesh::CrashMark& mark) {
    return AreTexts({mark.fingerprint(), mark.instance()});
  };
  return std::all_of(marks.marks().begin(), marks.marks().end(), is_text) &&
         std::all_of(marks.withdrawn().begin(), marks.withdrawn().end(),
                     is_text);
}

bool AreEvacuationsTexts(const mesh::Evacuations& evacuations) {
  return std::all_of(evacuations.data_centres().begin(),
                     evacuations.data_centres().end(),
                     [](const mesh::Evacuation& one) {
                       return core::IsUtf8(one.data_centre());
                     });
}

bool IsTargetText(const mesh::Target& target) {
  return AreTexts({target.instance(), target.service()});
}

bool IsMemberText(const mesh::Member& member) {
  return AreTexts({member.name(), member.address(), member.data_centre()});
}

// Whether daemons that declare texts as strings can read the frame.
bool IsReadByEarlierVersion(const mesh::Frame& frame) {
  const mesh::Call& call = frame.call();
  const mesh::Hello& hello = frame.hello();
  const auto& members = frame.members().members();
  const auto& demand = frame.pong().demand();
  return AreTexts({call.instance(), call.request_id(), call.method(),
                   call.path_and_query(), call.route(), call.origin(),
                   call.fingerprint(), frame.reply().reason(),
                   frame.token_ask().account(),
                   hello.target_limit().start()}) &&
         IsMemberText(hello.self()) && IsMemberText(frame.member()) &&
         IsTargetText(hello.target()) && IsTargetText(frame.target()) &&
         AreMarksTexts(hello.crash_marks()) &&
         AreMarksTexts(frame.crash_marks()) &&
         AreEvacuationsTexts(hello.evacuations()) &&
         AreEvacuationsTexts(frame.evacuations()) &&
         AreEvacuationsTexts(frame.pong().evacuations()) &&
         std::all_of(hello.retired_starts().begin(),
                     hello.retired_starts().end(), core::IsUtf8) &&
         std::all_of(members.begin(), members.end(), IsMemberText) &&
         std::all_of(demand.begin(), demand.end(),
                     [](const mesh::RouteDemand& route) {
                       return core::IsUtf8(route.route());
                     });
}

}  // namespace

struct Peer::Connection {
  struct DueReply {
    steady_clock::time_point at;
    mesh::Frame frame;
  };

  int socket = -1;
  std::string unread;
  std::deque<DueReply> replies;
};

std::string FrameBytes(const mesh::Frame& frame) {
  const std::string content = frame.SerializeAsString();
  std::string bytes(kPrefixBytes, '\0');
  for (std::size_t i = 0; i < kPrefixBytes; ++i) {
    bytes[kPrefixBytes - 1 - i] =
        static_cast<char>((content.size() >> (8 * i)) & 0xffU);
  }
  return bytes + content;
}

Peer::Peer(Options new_options) : options(std::move(new_options)) {
  this->listener.emplace(this->options.port,
                         [this](int socket) { this->Serve(socket); });
}

Peer::~Peer() {
  this->has_ended = true;
  for (std::thread& thread : this->dialled) {
    thread.join();
  }
  this->listener.reset();
}

mesh::Member Peer::Member() const {
  mesh::Member member;
  member.set_name(this->options.name);
  member.set_address(LoopbackAddress(this->options.port));
  member.set_incarnation(1);
  member.set_data_centre("z");
  return member;
}

mesh::Target Peer::Target() const {
  mesh::Target target;
  target.set_instance(this->options.instance);
  target.set_born_ms(1);
  target.set_service("s");
  target.set_slots(8);
  target.set_state(mesh::TAKES_WORK);
  return target;
}

std::string Peer::Record() const { return this->Member().SerializeAsString(); }

void Peer::Dial(int daemon_port) {
  const int socket = ::socket(AF_INET, SOCK_STREAM, 0);
  const sockaddr_in address = Loopback(daemon_port);
  if (connect(socket, reinterpret_cast<const sockaddr*>(&address),
              sizeof address) != 0) {
    throw std::runtime_error("cannot dial port " + std::to_string(daemon_port));
  }
  this->dialled.emplace_back([this, socket] {
    this->Serve(socket);
    close(socket);
  });
}

void Peer::Send(const std::string& bytes) {
  const std::lock_guard lock(this->mutex);
  for (const int socket : this->open_sockets) {
    SendAll(socket, bytes);
  }
}

std::size_t Peer::open_links() {
  const std::lock_guard lock(this->mutex);
  return this->open_sockets.size();
}

std::vector<mesh::Call> Peer::calls() {
  const std::lock_guard lock(this->mutex);
  return this->received_calls;
}

std::vector<mesh::Reply> Peer::replies() {
  const std::lock_guard lock(this->mutex);
  return this->received_replies;
}

void Peer::Serve(int socket) {
  mesh::Frame frame;
  mesh::Hello& hello = *frame.mutable_hello();
  *hello.mutable_self() = this->Member();
  *hello.mutable_target() = this->Target();
  hello.set_accepts_non_utf8(this->options.accepts_non_utf8);
  {
    const std::lock_guard lock(this->mutex);
    SendAll(socket, FrameBytes(frame));
    this->open_sockets.push_back(socket);
  }
  Connection connection{.socket = socket};
  while (!this->has_ended && this->Read(connection)) {
    this->SendDueReplies(connection);
  }
  const std::lock_guard lock(this->mutex);
  this->open_sockets.remove(socket);
}

bool Peer::Read(Connection& connection) {
  pollfd watched{.fd = connection.socket, .events = POLLIN, .revents = 0};
  if (poll(&watched, 1, kPollMs) <= 0) {
    return true;
  }
  std::array<char, 16 * 1024> buffer{};
  const ssize_t count =
      recv(connection.socket, buffer.data(), buffer.size(), 0);
  if (count <= 0) {
    ++this->lost;
    return false;
  }
  std::string& unread = connection.unread;
  unread.append(buffer.data(), static_cast<std::size_t>(count));
  while (unread.size() >= kPrefixBytes) {
    std::size_t length = 0;
    for (std::size_t i = 0; i < kPrefixBytes; ++i) {
      length = (length << 8U) | static_cast<unsigned char>(unread[i]);
    }
    if (unread.size() < kPrefixBytes + length) {
      break;
    }
    const std::string bytes = unread.substr(kPrefixBytes, length);
    unread.erase(0, kPrefixBytes + length);
    if (!this->OnFrame(connection, bytes)) {
      return false;
    }
  }
  return true;
}

bool Peer::OnFrame(Connection& connection, const std::string& bytes) {
  mesh::Frame frame;
  if (!frame.ParseFromString(bytes) ||
      (!this->options.accepts_non_utf8 && !IsReadByEarlierVersion(frame))) {
    ++this->refused;
    return false;
  }
  const std::lock_guard lock(this->mutex);
  mesh::Frame answer;
  if (frame.has_ping()) {
    answer.mutable_pong()->set_id(frame.ping().id());
    SendAll(connection.socket, FrameBytes(answer));
  } else if (frame.has_call()) {
    this->received_calls.push_back(frame.call());
    mesh::Reply& reply = *answer.mutable_reply();
    reply.set_call_id(frame.call().call_id());
    reply.set_outcome(mesh::ANSWERED);
    reply.set_status(200);
    reply.set_header_lines("Request-Id: " + frame.call().request_id() +
                           "\r\nResponse-Signature: signed\r\n");
    reply.set_body("done");
    const bool is_long = frame.call().path_and_query().starts_with("/long/");
    const auto work =
        is_long ? this->options.work : std::chrono::milliseconds(0);
    connection.replies.push_back(
        {.at = steady_clock::now() + work, .frame = answer});
  } else if (frame.has_reply()) {
    this->received_replies.push_back(frame.reply());
  }
  return true;
}

void Peer::SendDueReplies(Connection& connection) {
  const auto now = steady_clock::now();
  const std::lock_guard lock(this->mutex);
  std::erase_if(connection.replies, [&](const Connection::DueReply& reply) {
    if (reply.at > now) {
      return false;
    }
    SendAll(connection.socket, FrameBytes(reply.frame));
    return true;
  });
}

}  // namespace lycheewell::harness
