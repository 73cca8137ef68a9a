#include "lycheewell/sidecar/links/message_checks.h"

#include <utility>

#include "lycheewell/core/names.h"
#include "lycheewell/io/http/address.h"

namespace lycheewell::sidecar::links {
namespace {

using core::IsInstanceName;
using core::IsName;

bool IsCrashMark(const mesh::CrashMark& mark) {
  return IsName(mark.fingerprint()) && IsInstanceName(mark.instance());
}

// Removes invalid parts of messages and collects their names.
class Filter {
 public:
  void Apply(mesh::CrashMarks& marks) {
    this->Keep(*marks.mutable_marks(), IsCrashMark, "crash mark");
    this->Keep(*marks.mutable_withdrawn(), IsCrashMark, "crash mark");
  }

  std::vector<std::string_view> TakeRemoved() {
    return std::move(this->removed);
  }

 private:
  template <typename Entries, typename Predicate>
  void Keep(Entries& entries, Predicate is_valid, std::string_view name) {
    for (int i = entries.size(); i-- > 0;) {
      if (!is_valid(entries.Get(i))) {
        entries.DeleteSubrange(i, 1);
        this->removed.push_back(name);
      }
    }
  }

  std::vector<std::string_view> removed;
};

}  // namespace

bool IsMember(const mesh::Member& member) {
  return IsName(member.name()) &&
         (member.data_centre().empty() || IsName(member.data_centre())) &&
         io::http::TryParseEndpoint(member.address());
}

std::vector<std::string_view> RemoveInvalid(mesh::CrashMarks& marks) {
  Filter filter;
  filter.Apply(marks);
  return filter.TakeRemoved();
}

}  // namespace lycheewell::sidecar::links
