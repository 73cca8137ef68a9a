// Stand-in for another daemon, one of an earlier version or one that sends
// prescribed bytes.
#ifndef LYCHEEWELL_TESTS_HARNESS_PEER_H_
#define LYCHEEWELL_TESTS_HARNESS_PEER_H_

#include <mesh.pb.h>

#include <atomic>
#include <chrono>
#include <list>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <vector>

#include "harness/raw_socket.h"

namespace lycheewell::harness {

// The frame with its length prefix.
std::string FrameBytes(const mesh::Frame& frame);

// A member with a target of its own. It answers pings, and calls with status
// 200; calls of paths that begin with /long/ after their time at work.
class Peer {
 public:
  struct Options {
    int port = 0;  // where daemons dial it
    std::string name = "peer";
    std::string instance = "i-peer";
    // If not, it closes a link over text that is not valid UTF-8, as daemons of
    // an earlier version do.
    bool accepts_non_utf8 = false;
    std::chrono::milliseconds work{0};
  };

  explicit Peer(Options options);
  ~Peer();

  Peer(const Peer&) = delete;
  Peer& operator=(const Peer&) = delete;

  // Commands.

  // Opens a link to a daemon's port for links.
  void Dial(int daemon_port);
  // Sends on all links, those that daemons dialled and those that it dialled.
  void Send(const std::string& bytes);
  void Send(const mesh::Frame& frame) { this->Send(FrameBytes(frame)); }

  // Queries.

  // Its record in the store.
  std::string Record() const;
  std::size_t open_links();
  // Links that it closed over a text, and those that daemons closed.
  int refused_texts() const { return this->refused; }
  int lost_links() const { return this->lost; }
  std::vector<mesh::Call> calls();
  std::vector<mesh::Reply> replies();

 private:
  struct Connection;

  mesh::Member Member() const;
  mesh::Target Target() const;
  void Serve(int socket);
  // Handles what has come; returns whether the link is still open.
  bool Read(Connection& connection);
  bool OnFrame(Connection& connection, const std::string& bytes);
  void SendDueReplies(Connection& connection);

  Options options;
  std::mutex mutex;
  std::list<int> open_sockets;
  std::vector<mesh::Call> received_calls;
  std::vector<mesh::Reply> received_replies;
  std::atomic<int> refused = 0;
  std::atomic<int> lost = 0;
  std::atomic<bool> has_ended = false;
  std::vector<std::thread> dialled;
  std::optional<ThreadedListener> listener;  // last, since it serves
};

}  // namespace lycheewell::harness

#endif  // LYCHEEWELL_TESTS_HARNESS_PEER_H_
