// A TCP connection between two daemons that carries length-prefixed messages.
#ifndef LYCHEEWELL_SIDECAR_LINKS_LINK_H_
#define LYCHEEWELL_SIDECAR_LINKS_LINK_H_

#include <mesh.pb.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "lycheewell/core/types.h"

namespace lycheewell::sidecar::links {

// Not thread-safe: used on the event loop's thread only. Frames sent within one
// iteration of the loop go out in one write.
class Link : public std::enable_shared_from_this<Link> {
 public:
  struct Hooks {
    std::function<void(const std::shared_ptr<Link>&, mesh::Frame&)> on_frame;
    // Called at most once, when the connection fails or the peer closes it, but
    // not after a call to Close.
    std::function<void(const std::shared_ptr<Link>&, const std::string& reason)>
        on_closed;
    std::function<void(const std::shared_ptr<Link>&)> on_connected;
  };

  Link(boost::asio::io_context& context, Hooks hooks);
  // Takes ownership of an accepted connection.
  Link(boost::asio::ip::tcp::socket socket, Hooks hooks);

  // Commands.

  // Connects and then starts the link.
  void Connect(const boost::asio::ip::tcp::endpoint& endpoint);
  // Starts reading from the connected socket.
  void Start();
  // Drops the frame when the link is not open.
  void Send(const mesh::Frame& frame);
  // Resets the connection and discards unsent frames.
  void Close();

  // Queries.

  bool is_open() const { return this->open; }
  core::Instant last_received() const { return this->received_at; }
  std::size_t unsent_bytes() const;

  // Name of the member at the other end. Empty on an accepted link until its
  // Hello has arrived.
  std::string member;

 private:
  void Read();
  void Flush();
  void Fail(const std::string& reason);
  // Handles all complete frames; false when the link has closed.
  bool DispatchFrames();

  boost::asio::ip::tcp::socket socket;
  Hooks hooks;
  std::string outgoing;
  std::string in_flight;
  std::vector<char> incoming;
  std::size_t incoming_size = 0;  // bytes of `incoming` that hold data
  core::Instant received_at;
  bool open = false;
  bool closed = false;
  bool writing = false;
  bool flush_posted = false;
};

using LinkPointer = std::shared_ptr<Link>;

}  // namespace lycheewell::sidecar::links

#endif  // LYCHEEWELL_SIDECAR_LINKS_LINK_H_
