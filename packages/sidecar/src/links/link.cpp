#include "lycheewell/sidecar/links/link.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <algorithm>
#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>

#include "lycheewell/sidecar/clock.h"
#include "lycheewell/sidecar/http/socket_options.h"

namespace lycheewell::sidecar::links {
namespace asio = boost::asio;
using tcp = asio::ip::tcp;

namespace {

constexpr std::size_t kSliceBytes = 16 * 1024;

// Bytes handed to the kernel at a time, and those that it queues beside what is
// in transit. Frames behind them can still be withdrawn.
constexpr std::size_t kMaxWriteBytes = 64 * 1024;
constexpr int kMaxKernelQueueBytes = 64 * 1024;

// Unacknowledged data closes a link only after this time: the work on its calls
// goes on while the peer is silent.
constexpr int kUserTimeoutMs = 12'000;

void SetLinkOptions(tcp::socket& socket) {
  http::SetSocketOptions(socket);
  const auto set = [&socket](int name, int value) {
    setsockopt(socket.native_handle(), IPPROTO_TCP, name, &value, sizeof value);
  };
  set(TCP_USER_TIMEOUT, kUserTimeoutMs);
  set(TCP_NOTSENT_LOWAT, kMaxKernelQueueBytes);
}

std::int64_t Microseconds(core::Instant when) {
  return std::chrono::duration_cast<std::chrono::microseconds>(
             when.time_since_epoch())
      .count();
}

}  // namespace

Link::Link(asio::io_context& context, Hooks new_hooks)
    : socket(context),
      hooks(std::move(new_hooks)),
      reader([this](FrameReader::Message& message) {
        return this->Dispatch(message);
      }) {}

Link::Link(tcp::socket new_socket, Hooks new_hooks)
    : socket(std::move(new_socket)),
      hooks(std::move(new_hooks)),
      reader([this](FrameReader::Message& message) {
        return this->Dispatch(message);
      }) {
  SetLinkOptions(this->socket);
}

void Link::Connect(const tcp::endpoint& endpoint) {
  boost::system::error_code error;
  this->socket.open(tcp::v4(), error);
  if (error) {
    asio::post(this->socket.get_executor(),
               [self = this->shared_from_this(), error] {
                 self->Fail(error.message());
               });
    return;
  }
  SetLinkOptions(this->socket);
  this->socket.async_connect(endpoint,
                             [self = this->shared_from_this()](
                                 const boost::system::error_code& failure) {
                               if (self->closed) {
                                 return;
                               }
                               if (failure) {
                                 self->Fail(failure.message());
                                 return;
                               }
                               self->Start();
                               self->hooks.on_connected(self);
                             });
}

void Link::Start() {
  this->open = true;
  this->received_at = Now();
  this->Read();
}

std::optional<core::Instant> Link::oldest_unsent_since() const {
  std::optional<core::Instant> oldest;
  for (const auto* frames : {&this->whole_frames, &this->sliced_frames}) {
    if (!frames->empty() && (!oldest || frames->front().queued_at < *oldest)) {
      oldest = frames->front().queued_at;
    }
  }
  return oldest;
}

std::vector<std::uint64_t> Link::CallsHeldSince(core::Instant before) const {
  std::vector<std::uint64_t> calls;
  for (const auto* frames : {&this->whole_frames, &this->sliced_frames}) {
    for (const Outgoing& frame : *frames) {
      if (frame.call_id != 0 && frame.sent == 0 && frame.queued_at < before) {
        calls.push_back(frame.call_id);
      }
    }
  }
  return calls;
}

void Link::RecordPeerClock(std::uint64_t clock_us) {
  // Transit makes a sample too small, so the largest one is the best.
  const std::int64_t sample =
      static_cast<std::int64_t>(clock_us) - Microseconds(Now());
  this->peer_clock_offset_us =
      std::max(sample, this->peer_clock_offset_us.value_or(sample));
}

std::optional<std::uint64_t> Link::PeerTime(core::Instant when) const {
  if (!this->peer_clock_offset_us) {
    return std::nullopt;
  }
  return static_cast<std::uint64_t>(std::max<std::int64_t>(
      0, Microseconds(when) + *this->peer_clock_offset_us));
}

void Link::Send(const mesh::Frame& frame) {
  if (!this->open) {
    return;
  }
  if (frame.has_cancel() && (this->Withdraw(frame.cancel().call_id()) ||
                             this->AbortPartlySent(frame.cancel().call_id()))) {
    return;
  }
  Outgoing outgoing{.bytes = EncodeFrame(frame),
                    .call_id = frame.has_call() ? frame.call().call_id() : 0,
                    .queued_at = Now()};
  this->queued_bytes += outgoing.bytes.size();
  if (outgoing.bytes.size() <= kMaxWholeFrameBytes) {
    this->whole_frames.push_back(std::move(outgoing));
  } else {
    outgoing.stream = ++this->last_stream;
    this->sliced_frames.push_back(std::move(outgoing));
  }
  this->ScheduleFlush();
}

bool Link::Withdraw(std::uint64_t call_id) {
  for (auto* frames : {&this->whole_frames, &this->sliced_frames}) {
    const auto found = std::find_if(
        frames->begin(), frames->end(), [&](const Outgoing& frame) {
          return frame.call_id == call_id && frame.sent == 0;
        });
    if (found != frames->end()) {
      this->queued_bytes -= found->bytes.size();
      frames->erase(found);
      return true;
    }
  }
  return false;
}

bool Link::AbortPartlySent(std::uint64_t call_id) {
  const auto found = std::find_if(
      this->sliced_frames.begin(), this->sliced_frames.end(),
      [&](const Outgoing& frame) { return frame.call_id == call_id; });
  if (found == this->sliced_frames.end()) {
    return false;
  }
  mesh::Frame end;
  end.mutable_slice()->set_stream(found->stream);
  end.mutable_slice()->set_is_withdrawn(true);
  this->queued_bytes -= found->bytes.size() - found->sent;
  this->sliced_frames.erase(found);
  this->Send(end);
  return true;
}

void Link::ScheduleFlush() {
  if (!this->writing && !this->flush_posted) {
    this->flush_posted = true;
    asio::post(this->socket.get_executor(), [self = this->shared_from_this()] {
      self->flush_posted = false;
      self->Flush();
    });
  }
}

void Link::AppendNextSlice() {
  Outgoing frame = std::move(this->sliced_frames.front());
  this->sliced_frames.pop_front();
  const std::size_t size =
      std::min(kSliceBytes, frame.bytes.size() - frame.sent);
  mesh::Frame part;
  mesh::Slice& slice = *part.mutable_slice();
  slice.set_stream(frame.stream);
  slice.set_bytes(frame.bytes.data() + frame.sent, size);
  frame.sent += size;
  slice.set_is_last(frame.sent == frame.bytes.size());
  this->queued_bytes -= size;
  this->in_flight += EncodeFrame(part);
  if (!slice.is_last()) {
    // The streams take turns.
    this->sliced_frames.push_back(std::move(frame));
  }
}

void Link::FillInFlight() {
  while (!this->whole_frames.empty() &&
         this->in_flight.size() < kMaxWriteBytes) {
    const std::string& bytes = this->whole_frames.front().bytes;
    this->queued_bytes -= bytes.size();
    this->in_flight += bytes;
    this->whole_frames.pop_front();
  }
  if (!this->sliced_frames.empty()) {
    this->AppendNextSlice();
  }
}

void Link::Flush() {
  if (!this->open || this->writing) {
    return;
  }
  this->in_flight.clear();
  this->FillInFlight();
  if (this->in_flight.empty()) {
    return;
  }
  this->writing = true;
  asio::async_write(this->socket, asio::buffer(this->in_flight),
                    [self = this->shared_from_this()](
                        const boost::system::error_code& error, std::size_t) {
                      self->writing = false;
                      if (error) {
                        self->Fail(error.message());
                        return;
                      }
                      self->Flush();
                    });
}

void Link::Read() {
  const std::span<char> buffer = this->reader.Buffer();
  this->socket.async_read_some(
      asio::buffer(buffer.data(), buffer.size()),
      [self = this->shared_from_this()](const boost::system::error_code& error,
                                        std::size_t size) {
        if (self->closed) {
          return;
        }
        if (error) {
          self->Fail(error.message());
          return;
        }
        self->received_at = Now();
        const bool reads_on = self->reader.Take(size);
        if (!self->reader.error().empty()) {
          self->Fail(self->reader.error());
        } else if (reads_on && !self->closed) {
          self->Read();
        }
      });
}

bool Link::Dispatch(FrameReader::Message& message) {
  if (const auto* unreadable = std::get_if<UnreadableFrame>(&message)) {
    if (this->hooks.on_unreadable) {
      this->hooks.on_unreadable(this->shared_from_this(), *unreadable);
    }
    return !this->closed;
  }
  auto& [frame, left_out] = std::get<DecodedFrame>(message);
  if (!left_out.empty() && this->hooks.on_left_out) {
    this->hooks.on_left_out(this->shared_from_this(), left_out);
  }
  this->hooks.on_frame(this->shared_from_this(), frame);
  return !this->closed;
}

void Link::Fail(const std::string& reason) {
  if (this->closed) {
    return;
  }
  this->Close();
  this->hooks.on_closed(this->shared_from_this(), reason);
}

void Link::Close() {
  this->closed = true;
  this->open = false;
  boost::system::error_code ignored;
  // A reset discards unsent calls: they must not arrive after the sender has
  // abandoned them.
  this->socket.set_option(asio::socket_base::linger(true, 0), ignored);
  this->socket.close(ignored);
}

}  // namespace lycheewell::sidecar::links
