// A TCP connection between two daemons that carries length-prefixed messages.
#ifndef LYCHEEWELL_SIDECAR_LINKS_LINK_H_
#define LYCHEEWELL_SIDECAR_LINKS_LINK_H_

#include <mesh.pb.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "lycheewell/core/types.h"
#include "lycheewell/sidecar/links/frame_codec.h"
#include "lycheewell/sidecar/links/frame_reader.h"

namespace lycheewell::sidecar::links {

// Not thread-safe: used on the event loop's thread only.
//
// Frames of more than kMaxWholeFrameBytes are sent in slices between the other
// frames, so that a short call does not wait behind a body. Few bytes are
// handed to the kernel at a time; the rest can still be withdrawn.
class Link : public std::enable_shared_from_this<Link> {
 public:
  static constexpr std::size_t kMaxWholeFrameBytes = 32 * 1024;

  struct Hooks {
    std::function<void(const std::shared_ptr<Link>&, mesh::Frame&)> on_frame;
    // Called at most once, when the connection fails or the peer closes it, but
    // not after a call to Close.
    std::function<void(const std::shared_ptr<Link>&, const std::string& reason)>
        on_closed;
    std::function<void(const std::shared_ptr<Link>&)> on_connected;
    // A frame could not be read. The link goes on.
    std::function<void(const std::shared_ptr<Link>&, const UnreadableFrame&)>
        on_unreadable;
    // Fields of the frame that comes next could not be read.
    std::function<void(const std::shared_ptr<Link>&,
                       const std::vector<std::string_view>& fields)>
        on_left_out;
  };

  Link(boost::asio::io_context& context, Hooks hooks);
  // Takes ownership of an accepted connection.
  Link(boost::asio::ip::tcp::socket socket, Hooks hooks);

  // Commands.

  // Connects and then starts the link.
  void Connect(const boost::asio::ip::tcp::endpoint& endpoint);
  // Starts reading from the connected socket.
  void Start();
  // Drops the frame when the link is not open. A Cancel also drops what is left
  // of its call here.
  void Send(const mesh::Frame& frame);
  // Takes back the call `call_id` if no byte of it has been handed to the
  // kernel. Returns whether it did: the call has then not run and never will.
  bool Withdraw(std::uint64_t call_id);
  // Resets the connection and discards unsent frames.
  void Close();
  // Takes the peer's clock as the peer sent it in its latest message.
  void RecordPeerClock(std::uint64_t clock_us);

  // Queries.

  bool is_open() const { return this->open; }
  core::Instant last_received() const { return this->received_at; }
  // Bytes that have not been handed to the kernel.
  std::size_t unsent_bytes() const { return this->queued_bytes; }
  // When the oldest unsent frame was queued; nothing if there is none.
  std::optional<core::Instant> oldest_unsent_since() const;
  // Calls that were queued before `before` and are not sent in any part.
  std::vector<std::uint64_t> CallsHeldSince(core::Instant before) const;
  // `when` on the peer's clock, as microseconds since its VM booted. Early by
  // the shortest transit time of a message. Nothing until the peer has sent its
  // clock.
  std::optional<std::uint64_t> PeerTime(core::Instant when) const;

  // Name of the member at the other end. Empty on an accepted link until its
  // Hello has arrived.
  std::string member;
  // Identifies the link among those that its owner dialled.
  std::uint64_t id = 0;
  // The latest ping that was received; 0: none.
  std::uint64_t received_ping = 0;
  core::Instant ping_received_at;
  // Whether the peer accepts text that is not valid UTF-8, as its Hello says.
  bool peer_accepts_non_utf8 = false;

 private:
  // A frame that waits, with its length prefix.
  struct Outgoing {
    std::string bytes;
    std::uint64_t call_id = 0;  // 0: the frame is not a call
    core::Instant queued_at;
    std::uint32_t stream = 0;
    std::size_t sent = 0;  // bytes that have gone out in slices
  };

  void Read();
  void Flush();
  // Moves frames and slices into `in_flight`.
  void FillInFlight();
  void AppendNextSlice();
  void ScheduleFlush();
  // Drops the rest of a call that has been sent in part; false if there is none
  // of this id.
  bool AbortPartlySent(std::uint64_t call_id);
  void Fail(const std::string& reason);
  // Returns whether the link is still open.
  bool Dispatch(FrameReader::Message& message);

  boost::asio::ip::tcp::socket socket;
  Hooks hooks;
  std::deque<Outgoing> whole_frames;
  std::deque<Outgoing> sliced_frames;
  std::size_t queued_bytes = 0;
  std::string in_flight;
  std::uint32_t last_stream = 0;
  FrameReader reader;
  std::optional<std::int64_t> peer_clock_offset_us;
  core::Instant received_at;
  bool open = false;
  bool closed = false;
  bool writing = false;
  bool flush_posted = false;
};

using LinkPointer = std::shared_ptr<Link>;

}  // namespace lycheewell::sidecar::links

#endif  // LYCHEEWELL_SIDECAR_LINKS_LINK_H_
