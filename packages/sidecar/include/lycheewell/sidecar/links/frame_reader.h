// Splits the bytes that come on a link into frames.
#ifndef LYCHEEWELL_SIDECAR_LINKS_FRAME_READER_H_
#define LYCHEEWELL_SIDECAR_LINKS_FRAME_READER_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <span>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "lycheewell/sidecar/links/frame_codec.h"

namespace lycheewell::sidecar::links {

// Joins the slices of large frames. A frame that cannot be read is reported as
// such; the frames behind it are read.
class FrameReader {
 public:
  // Frames with a larger length are taken for a corrupt stream.
  static constexpr std::size_t kMaxFrameBytes = 10ULL * 1024 * 1024;

  // Bytes of the slices of all incomplete frames. It exceeds the bodies for
  // which a daemon that sends has memory.
  static constexpr std::size_t kMaxJoinedBytes = 32ULL * 1024 * 1024;

  using Message = std::variant<DecodedFrame, UnreadableFrame>;
  // Called for each frame other than slices. Returns whether to read on.
  using OnMessage = std::function<bool(Message&)>;

  explicit FrameReader(OnMessage on_message);

  // Commands.

  // Room for the next bytes, at least one.
  std::span<char> Buffer();
  // Takes the first `size` bytes that were written to Buffer(). Returns false
  // if nothing more can be read: `on_message` returned false, or error() says
  // why.
  bool Take(std::size_t size);

  // Queries.

  // Why the stream cannot be read on; empty if it can.
  const std::string& error() const { return this->stream_error; }

 private:
  // The slices of one frame that have been received.
  struct Joined {
    std::string bytes;     // only the first ones if the frame is dropped
    std::size_t size = 0;  // of all slices
    bool is_dropped = false;
  };

  // Each returns whether to read on.
  bool OnFrame(std::string_view bytes);
  bool OnUnreadable(UnreadableFrame unreadable);
  bool OnSlice(const mesh::Slice& slice);
  bool OnJoined(const Joined& frame);
  // Frees the bytes of a frame that is not complete.
  void Forget(std::uint32_t stream);

  OnMessage on_message;
  std::vector<char> incoming;
  std::size_t incoming_size = 0;           // bytes of `incoming` that hold data
  std::map<std::uint32_t, Joined> joined;  // by stream
  std::size_t joined_bytes = 0;
  std::string stream_error;
};

}  // namespace lycheewell::sidecar::links

#endif  // LYCHEEWELL_SIDECAR_LINKS_FRAME_READER_H_
