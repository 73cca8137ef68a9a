// The encoding of frames between two daemons.
#ifndef LYCHEEWELL_SIDECAR_LINKS_FRAME_CODEC_H_
#define LYCHEEWELL_SIDECAR_LINKS_FRAME_CODEC_H_

#include <mesh.pb.h>

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace lycheewell::sidecar::links {

// Bytes of the big-endian length ahead of a frame.
inline constexpr std::size_t kLengthPrefixBytes = 4;

// Bytes at the beginning of a frame that always hold its kind and, of a call or
// a reply, its id.
inline constexpr std::size_t kFrameHeadBytes = 64;

struct DecodedFrame {
  mesh::Frame frame;
  // Names of the invalid parts that were left out.
  std::vector<std::string_view> left_out;
};

// A frame of which only its kind and the call that it belongs to are known.
struct UnreadableFrame {
  enum class Kind { kCall, kReply, kSlice, kOther };

  Kind kind = Kind::kOther;
  // Of a call or a reply; 0 if it could not be found.
  std::uint64_t call_id = 0;
  std::uint32_t stream = 0;  // of a slice
  std::string reason;

  bool operator==(const UnreadableFrame&) const = default;
};

// The frame with its length prefix.
std::string EncodeFrame(const mesh::Frame& frame);

// Length of the frame behind the prefix; `prefix` has kLengthPrefixBytes.
std::size_t DecodeLength(std::string_view prefix);

// Decodes a frame without its length prefix. All names in the result are valid
// UTF-8, and those that become part of a record's key satisfy core::IsName or
// core::IsInstanceName, so they can be passed on to any daemon and to the
// store. Calls and replies can be passed on as HTTP.
std::variant<DecodedFrame, UnreadableFrame> DecodeFrame(std::string_view bytes);

// What is known of a frame of which `head` holds the first kFrameHeadBytes, or
// all if there are fewer.
UnreadableFrame IdentifyFrame(std::string_view head, std::string reason);

}  // namespace lycheewell::sidecar::links

#endif  // LYCHEEWELL_SIDECAR_LINKS_FRAME_CODEC_H_
