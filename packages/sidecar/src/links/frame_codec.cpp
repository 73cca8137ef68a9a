#include "lycheewell/sidecar/links/frame_codec.h"

#include <google/protobuf/io/coded_stream.h>
#include <google/protobuf/wire_format_lite.h>

#include <utility>

#include "lycheewell/sidecar/links/message_checks.h"

namespace lycheewell::sidecar::links {
namespace {

using google::protobuf::internal::WireFormatLite;
using google::protobuf::io::CodedInputStream;

// Skips fields until one of number `wanted` and of type `type` begins.
bool FindField(CodedInputStream& input, int wanted,
               WireFormatLite::WireType type) {
  while (const std::uint32_t tag = input.ReadTag()) {
    if (WireFormatLite::GetTagFieldNumber(tag) == wanted &&
        WireFormatLite::GetTagWireType(tag) == type) {
      return true;
    }
    if (!WireFormatLite::SkipField(&input, tag)) {
      return false;
    }
  }
  return false;
}

}  // namespace

std::string EncodeFrame(const mesh::Frame& frame) {
  const std::size_t length = frame.ByteSizeLong();
  std::string bytes;
  bytes.reserve(kLengthPrefixBytes + length);
  for (std::size_t i = kLengthPrefixBytes; i-- > 0;) {
    bytes += static_cast<char>((length >> (8 * i)) & 0xffU);
  }
  frame.AppendToString(&bytes);
  return bytes;
}

std::size_t DecodeLength(std::string_view prefix) {
  std::size_t length = 0;
  for (const char byte : prefix) {
    length = (length << 8U) | static_cast<unsigned char>(byte);
  }
  return length;
}

std::variant<DecodedFrame, UnreadableFrame> DecodeFrame(
    std::string_view bytes) {
  DecodedFrame decoded;
  mesh::Frame& frame = decoded.frame;
  if (!frame.ParseFromArray(bytes.data(), static_cast<int>(bytes.size()))) {
    return IdentifyFrame(bytes, "malformed frame");
  }
  if (const auto fault = FaultOf(frame)) {
    return IdentifyFrame(bytes, std::string(*fault));
  }
  decoded.left_out = RemoveInvalid(frame);
  return decoded;
}

UnreadableFrame IdentifyFrame(std::string_view head, std::string reason) {
  UnreadableFrame unreadable{.reason = std::move(reason)};
  CodedInputStream input(reinterpret_cast<const std::uint8_t*>(head.data()),
                         static_cast<int>(head.size()));
  const std::uint32_t tag = input.ReadTag();
  std::uint32_t length = 0;
  if (WireFormatLite::GetTagWireType(tag) !=
          WireFormatLite::WIRETYPE_LENGTH_DELIMITED ||
      !input.ReadVarint32(&length)) {
    return unreadable;
  }
  std::uint64_t id = 0;
  constexpr int kIdField = 1;
  const auto find_id = [&] {
    return FindField(input, kIdField, WireFormatLite::WIRETYPE_VARINT) &&
           input.ReadVarint64(&id);
  };
  switch (WireFormatLite::GetTagFieldNumber(tag)) {
    case mesh::Frame::kCallFieldNumber:
      unreadable.kind = UnreadableFrame::Kind::kCall;
      unreadable.call_id = find_id() ? id : 0;
      break;
    case mesh::Frame::kReplyFieldNumber:
      unreadable.kind = UnreadableFrame::Kind::kReply;
      unreadable.call_id = find_id() ? id : 0;
      break;
    case mesh::Frame::kSliceFieldNumber:
      unreadable.kind = UnreadableFrame::Kind::kSlice;
      unreadable.stream = find_id() ? static_cast<std::uint32_t>(id) : 0;
      break;
    default:
      break;
  }
  return unreadable;
}

}  // namespace lycheewell::sidecar::links
