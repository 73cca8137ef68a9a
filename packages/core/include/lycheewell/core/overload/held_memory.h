// Bounds the memory that servers hold for their clients.
#ifndef LYCHEEWELL_CORE_OVERLOAD_HELD_MEMORY_H_
#define LYCHEEWELL_CORE_OVERLOAD_HELD_MEMORY_H_

#include <cstddef>
#include <vector>

#include "lycheewell/core/types.h"

namespace lycheewell::core::overload {

// What a connection holds for its client.
struct HeldConnection {
  std::size_t bytes = 0;
  // What waits unread in the kernel, which counts as the VM's memory, too.
  std::size_t unread_bytes = 0;
  // Time since the client has last sent or accepted a byte.
  Duration standing_still = Duration::zero();

  bool operator==(const HeldConnection&) const = default;
};

// Counts what all connections of a process hold: requests sent ahead, requests
// that have not been answered and answers that have not been read.
class HeldMemory {
 public:
  explicit HeldMemory(std::size_t new_limit) : limit(new_limit) {}

  // Commands.

  // A connection that held `before` bytes now holds `after`.
  void Change(std::size_t before, std::size_t after);

  // Queries.

  std::size_t used_bytes() const { return this->used; }
  std::size_t limit_bytes() const { return this->limit; }

  // Whether bytes may be read that a client sent ahead of an answer. The rest
  // is left for requests that are served.
  bool may_read_ahead() const;

  // Whether another request may be taken. A part of the limit is kept for the
  // servers that the platform needs.
  bool may_take_request(bool is_essential) const;

  // Connections that one server may hold: without a request they take up to
  // half of the limit.
  std::size_t most_connections() const;

  // Whether connections may have to be closed, see ChooseCuts.
  bool is_short() const;

  // Indices of the connections to close so that enough memory becomes free:
  // first those whose clients stand still, the largest product of size and time
  // first. While the limit itself is exceeded, others follow, the largest
  // first.
  std::vector<std::size_t> ChooseCuts(
      const std::vector<HeldConnection>& connections) const;

 private:
  std::size_t limit;
  std::size_t used = 0;
};

// Memory of a connection without a request.
inline constexpr std::size_t kConnectionBytes = 4 * 1024;

}  // namespace lycheewell::core::overload

#endif  // LYCHEEWELL_CORE_OVERLOAD_HELD_MEMORY_H_
