// Bytes that a peer sends on a link, in pieces. The first byte chooses the size
// of the pieces.
#include <algorithm>
#include <cstdlib>
#include <variant>

#include "lycheewell/core/names.h"
#include "lycheewell/sidecar/links/frame_reader.h"

namespace {
using namespace lycheewell;
using sidecar::links::DecodedFrame;
using sidecar::links::DecodeFrame;
using sidecar::links::FrameReader;

void Require(bool condition) {
  if (!condition) {
    std::abort();
  }
}

// What has been taken is taken again as it is, also by the daemon that it is
// passed on to.
void CheckDecoded(const DecodedFrame& decoded) {
  const std::string bytes = decoded.frame.SerializeAsString();
  const auto again = DecodeFrame(bytes);
  const auto* same = std::get_if<DecodedFrame>(&again);
  Require(same != nullptr && same->left_out.empty());
  Require(same->frame.SerializeAsString() == bytes);
  if (decoded.frame.has_call()) {
    const mesh::Call& call = decoded.frame.call();
    Require(core::IsInstanceName(call.instance()));
    Require(core::IsPathAndQuery(call.path_and_query()));
    Require(core::AreHeaderLines(call.header_lines()));
  }
  if (decoded.frame.has_hello()) {
    const mesh::Hello& hello = decoded.frame.hello();
    Require(core::IsName(hello.self().name()));
    for (const std::string& start : hello.retired_starts()) {
      Require(core::IsUtf8(start));
    }
    Require(core::IsUtf8(hello.target().instance()));
  }
}

}  // namespace

extern "C" int LLVMFuzzerTestOneInput(const unsigned char* data,
                                      std::size_t size) {
  if (size == 0) {
    return 0;
  }
  const std::size_t step = 1 + data[0];
  std::string_view bytes(reinterpret_cast<const char*>(data + 1), size - 1);
  FrameReader reader([](FrameReader::Message& message) {
    if (const auto* decoded = std::get_if<DecodedFrame>(&message)) {
      CheckDecoded(*decoded);
    }
    return true;
  });
  while (!bytes.empty()) {
    const auto buffer = reader.Buffer();
    const std::size_t count = std::min({step, buffer.size(), bytes.size()});
    std::copy_n(bytes.begin(), count, buffer.begin());
    bytes.remove_prefix(count);
    if (!reader.Take(count)) {
      Require(!reader.error().empty());
      return 0;
    }
  }
  return 0;
}
