// What a daemon accepts of the messages of its peers and of the store's
// records.
#ifndef LYCHEEWELL_SIDECAR_LINKS_MESSAGE_CHECKS_H_
#define LYCHEEWELL_SIDECAR_LINKS_MESSAGE_CHECKS_H_

#include <mesh.pb.h>

#include <string_view>
#include <vector>

namespace lycheewell::sidecar::links {

// Whether the names and the address of `member` are valid.
bool IsMember(const mesh::Member& member);

// Removes invalid marks. Returns a name for each of them.
std::vector<std::string_view> RemoveInvalid(mesh::CrashMarks& marks);

}  // namespace lycheewell::sidecar::links

#endif  // LYCHEEWELL_SIDECAR_LINKS_MESSAGE_CHECKS_H_
