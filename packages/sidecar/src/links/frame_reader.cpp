#include "lycheewell/sidecar/links/frame_reader.h"

#include <algorithm>
#include <cstring>
#include <utility>

namespace lycheewell::sidecar::links {

namespace {

constexpr std::size_t kInitialBufferBytes = 16 * 1024;

// A buffer that has grown beyond this size is freed when it is empty.
constexpr std::size_t kMaxIdleBufferBytes = 16 * kInitialBufferBytes;

}  // namespace

FrameReader::FrameReader(OnMessage new_on_message)
    : on_message(std::move(new_on_message)) {}

std::span<char> FrameReader::Buffer() {
  if (this->incoming.empty()) {
    this->incoming.resize(kInitialBufferBytes);
  }
  return std::span(this->incoming).subspan(this->incoming_size);
}

bool FrameReader::Take(std::size_t size) {
  this->incoming_size += size;
  std::size_t parsed_size = 0;
  while (this->incoming_size - parsed_size >= kLengthPrefixBytes) {
    const std::string_view rest(this->incoming.data() + parsed_size,
                                this->incoming_size - parsed_size);
    const std::size_t length = DecodeLength(rest.substr(0, kLengthPrefixBytes));
    if (length > kMaxFrameBytes) {
      this->stream_error =
          "frame too long: " + std::to_string(length) + " bytes";
      return false;
    }
    if (rest.size() < kLengthPrefixBytes + length) {
      if (this->incoming.size() < kLengthPrefixBytes + length) {
        this->incoming.resize(kLengthPrefixBytes + length);
      }
      break;
    }
    parsed_size += kLengthPrefixBytes + length;
    if (!this->OnFrame(rest.substr(kLengthPrefixBytes, length))) {
      return false;
    }
  }
  std::memmove(this->incoming.data(), this->incoming.data() + parsed_size,
               this->incoming_size - parsed_size);
  this->incoming_size -= parsed_size;
  if (this->incoming_size == 0 && this->incoming.size() > kMaxIdleBufferBytes) {
    this->incoming.resize(kInitialBufferBytes);
    this->incoming.shrink_to_fit();
  }
  return true;
}

bool FrameReader::OnFrame(std::string_view bytes) {
  Message message = DecodeFrame(bytes);
  if (auto* unreadable = std::get_if<UnreadableFrame>(&message)) {
    return this->OnUnreadable(std::move(*unreadable));
  }
  const mesh::Frame& frame = std::get<DecodedFrame>(message).frame;
  if (frame.has_slice()) {
    return this->OnSlice(frame.slice());
  }
  return this->on_message(message);
}

bool FrameReader::OnUnreadable(UnreadableFrame unreadable) {
  if (unreadable.kind == UnreadableFrame::Kind::kSlice) {
    this->Forget(unreadable.stream);
  }
  Message message = std::move(unreadable);
  return this->on_message(message);
}

bool FrameReader::OnSlice(const mesh::Slice& slice) {
  if (slice.is_withdrawn()) {
    this->Forget(slice.stream());
    return true;
  }
  Joined& frame = this->joined[slice.stream()];
  frame.size += slice.bytes().size();
  if (!frame.is_dropped) {
    frame.bytes += slice.bytes();
    this->joined_bytes += slice.bytes().size();
  }
  if (this->joined_bytes > kMaxJoinedBytes) {
    this->joined_bytes -= frame.bytes.size();
    frame.bytes.resize(
        std::min(frame.bytes.size(), kLengthPrefixBytes + kFrameHeadBytes));
    frame.bytes.shrink_to_fit();
    this->joined_bytes += frame.bytes.size();
    frame.is_dropped = true;
  }
  if (!slice.is_last()) {
    return true;
  }
  const Joined whole = std::move(frame);
  this->joined_bytes -= whole.bytes.size();
  this->joined.erase(slice.stream());
  return this->OnJoined(whole);
}

bool FrameReader::OnJoined(const Joined& frame) {
  const std::string_view bytes = frame.bytes;
  const std::string_view prefix = bytes.substr(0, kLengthPrefixBytes);
  // Otherwise nothing shows where the frame begins.
  if (prefix.size() < kLengthPrefixBytes ||
      DecodeLength(prefix) + kLengthPrefixBytes != frame.size) {
    return this->OnUnreadable({.reason = "slices of a frame are missing"});
  }
  const std::string_view content = bytes.substr(kLengthPrefixBytes);
  if (frame.is_dropped) {
    return this->OnUnreadable(
        IdentifyFrame(content, "too many bytes in slices"));
  }
  Message message = DecodeFrame(content);
  const auto* unreadable = std::get_if<UnreadableFrame>(&message);
  if (unreadable == nullptr
          ? std::get<DecodedFrame>(message).frame.has_slice()
          : unreadable->kind == UnreadableFrame::Kind::kSlice) {
    return this->OnUnreadable({.reason = "slices within a slice"});
  }
  return this->on_message(message);
}

void FrameReader::Forget(std::uint32_t stream) {
  const auto found = this->joined.find(stream);
  if (found != this->joined.end()) {
    this->joined_bytes -= found->second.bytes.size();
    this->joined.erase(found);
  }
}

}  // namespace lycheewell::sidecar::links
