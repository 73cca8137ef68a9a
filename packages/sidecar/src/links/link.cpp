#include "lycheewell/sidecar/links/link.h"

#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>
#include <cstring>

#include "lycheewell/sidecar/http/socket_options.h"

namespace lycheewell::sidecar::links {
namespace asio = boost::asio;
using tcp = asio::ip::tcp;

namespace {

constexpr std::size_t kLengthPrefixBytes = 4;
constexpr std::size_t kInitialBufferBytes = 16 * 1024;

// A frame holds at most one body, so a larger length means a corrupt stream.
constexpr std::size_t kMaxFrameBytes = 80ULL * 1024 * 1024;

std::size_t ReadLength(const char* bytes) {
  std::size_t length = 0;
  for (std::size_t i = 0; i < kLengthPrefixBytes; ++i) {
    length = (length << 8U) | static_cast<unsigned char>(bytes[i]);
  }
  return length;
}

}  // namespace

Link::Link(asio::io_context& context, Hooks new_hooks)
    : socket(context), hooks(std::move(new_hooks)) {}

Link::Link(tcp::socket new_socket, Hooks new_hooks)
    : socket(std::move(new_socket)), hooks(std::move(new_hooks)) {
  http::SetSocketOptions(this->socket);
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
  http::SetSocketOptions(this->socket);
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
  this->received_at = std::chrono::steady_clock::now();
  this->incoming.resize(kInitialBufferBytes);
  this->Read();
}

std::size_t Link::unsent_bytes() const {
  return this->outgoing.size() + this->in_flight.size();
}

void Link::Send(const mesh::Frame& frame) {
  if (!this->open) {
    return;
  }
  const std::size_t length = frame.ByteSizeLong();
  for (std::size_t i = kLengthPrefixBytes; i-- > 0;) {
    this->outgoing += static_cast<char>((length >> (8 * i)) & 0xffU);
  }
  frame.AppendToString(&this->outgoing);
  if (!this->writing && !this->flush_posted) {
    this->flush_posted = true;
    asio::post(this->socket.get_executor(), [self = this->shared_from_this()] {
      self->flush_posted = false;
      self->Flush();
    });
  }
}

void Link::Flush() {
  if (!this->open || this->writing || this->outgoing.empty()) {
    return;
  }
  this->writing = true;
  this->in_flight.clear();
  std::swap(this->in_flight, this->outgoing);
  asio::async_write(this->socket, asio::buffer(this->in_flight),
                    [self = this->shared_from_this()](
                        const boost::system::error_code& error, std::size_t) {
                      self->writing = false;
                      self->in_flight.clear();
                      if (error) {
                        self->Fail(error.message());
                        return;
                      }
                      self->Flush();
                    });
}

void Link::Read() {
  this->socket.async_read_some(
      asio::buffer(this->incoming.data() + this->incoming_size,
                   this->incoming.size() - this->incoming_size),
      [self = this->shared_from_this()](const boost::system::error_code& error,
                                        std::size_t size) {
        if (self->closed) {
          return;
        }
        if (error) {
          self->Fail(error.message());
          return;
        }
        self->received_at = std::chrono::steady_clock::now();
        self->incoming_size += size;
        if (self->DispatchFrames() && !self->closed) {
          self->Read();
        }
      });
}

bool Link::DispatchFrames() {
  std::size_t parsed_size = 0;
  while (this->incoming_size - parsed_size >= kLengthPrefixBytes) {
    const std::size_t length = ReadLength(this->incoming.data() + parsed_size);
    if (length > kMaxFrameBytes) {
      this->Fail("frame too long: " + std::to_string(length) + " bytes");
      return false;
    }
    if (this->incoming_size - parsed_size < kLengthPrefixBytes + length) {
      if (this->incoming.size() < kLengthPrefixBytes + length) {
        this->incoming.resize(kLengthPrefixBytes + length);
      }
      break;
    }
    mesh::Frame frame;
    if (!frame.ParseFromArray(
            this->incoming.data() + parsed_size + kLengthPrefixBytes,
            static_cast<int>(length))) {
      this->Fail("malformed frame");
      return false;
    }
    parsed_size += kLengthPrefixBytes + length;
    this->hooks.on_frame(this->shared_from_this(), frame);
    if (this->closed) {
      return false;
    }
  }
  std::memmove(this->incoming.data(), this->incoming.data() + parsed_size,
               this->incoming_size - parsed_size);
  this->incoming_size -= parsed_size;
  if (this->incoming_size == 0 &&
      this->incoming.size() > 16 * kInitialBufferBytes) {
    this->incoming.resize(kInitialBufferBytes);
    this->incoming.shrink_to_fit();
  }
  return true;
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
