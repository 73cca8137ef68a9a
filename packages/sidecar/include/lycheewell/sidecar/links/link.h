// One TCP connection between two daemons, carrying framed messages.
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

// Used on the event loop's thread only. Frames sent within one turn of the
// loop leave in one write.
class Link : public std::enable_shared_from_this<Link> {
 public:
  struct Hooks {
    std::function<void(const std::shared_ptr<Link>&, mesh::Frame&)> on_frame;
    // Called once, not when Close was called from here.
    std::function<void(const std::shared_ptr<Link>&, const std::string& reason)>
        on_closed;
    std::function<void(const std::shared_ptr<Link>&)> on_connected;
  };

  Link(boost::asio::io_context& context, Hooks hooks);
  // Takes over an accepted connection.
  Link(boost::asio::ip::tcp::socket socket, Hooks hooks);

  // Commands.

  void Connect(const boost::asio::ip::tcp::endpoint& endpoint);
  void Start();
  void Send(const mesh::Frame& frame);
  void Close();

  // Queries.

  bool is_open() const { return this->open; }
  core::Instant last_received() const { return this->received_at; }
  std::size_t unsent_bytes() const;

  // Name of the member at the other end, once it has said so.
  std::string member;

 private:
  void Read();
  void Flush();
  void Fail(const std::string& reason);
  bool Dispatch();

  boost::asio::ip::tcp::socket socket;
  Hooks hooks;
  std::string outgoing;
  std::string in_flight;
  std::vector<char> incoming;
  std::size_t filled = 0;
  core::Instant received_at;
  bool open = false;
  bool closed = false;
  bool writing = false;
  bool flush_posted = false;
};

using LinkPointer = std::shared_ptr<Link>;

}  // namespace lycheewell::sidecar::links

#endif  // LYCHEEWELL_SIDECAR_LINKS_LINK_H_
