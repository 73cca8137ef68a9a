// A call between daemons that a link accepts.
#ifndef LYCHEEWELL_TESTS_SIDECAR_CALL_FRAME_H_
#define LYCHEEWELL_TESTS_SIDECAR_CALL_FRAME_H_

#include <mesh.pb.h>

#include <cstddef>
#include <cstdint>
#include <string>

namespace lycheewell {

inline mesh::Frame CallFrame(std::uint64_t id, std::size_t body_size = 3) {
  mesh::Frame frame;
  mesh::Call& call = *frame.mutable_call();
  call.set_call_id(id);
  call.set_instance("i-1");
  call.set_request_id("r-1");
  call.set_method("POST");
  call.set_path_and_query("/a/b?c");
  call.set_header_lines("Host: a\r\n");
  call.set_body(std::string(body_size, 'b'));
  return frame;
}

}  // namespace lycheewell

#endif  // LYCHEEWELL_TESTS_SIDECAR_CALL_FRAME_H_
