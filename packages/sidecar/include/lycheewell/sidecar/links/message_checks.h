// What a daemon accepts of the messages of its peers and of the store's
// records.
#ifndef LYCHEEWELL_SIDECAR_LINKS_MESSAGE_CHECKS_H_
#define LYCHEEWELL_SIDECAR_LINKS_MESSAGE_CHECKS_H_

#include <mesh.pb.h>

#include <optional>
#include <string_view>
#include <vector>

namespace lycheewell::sidecar::links {

// Whether the names and the address of `member` are valid.
bool IsMember(const mesh::Member& member);

// Removes invalid marks. Returns a name for each of them.
std::vector<std::string_view> RemoveInvalid(mesh::CrashMarks& marks);

// Why nothing in the frame can be used; empty if something can.
std::optional<std::string_view> FaultOf(const mesh::Frame& frame);

// Removes the invalid parts of a frame without such a fault. Returns a name for
// each of them.
std::vector<std::string_view> RemoveInvalid(mesh::Frame& frame);

// Whether the call has text that is not valid UTF-8. Daemons that do not say
// accepts_non_utf8 in their Hello close the link over it.
bool HasNonUtf8Text(const mesh::Call& call);

}  // namespace lycheewell::sidecar::links

#endif  // LYCHEEWELL_SIDECAR_LINKS_MESSAGE_CHECKS_H_
