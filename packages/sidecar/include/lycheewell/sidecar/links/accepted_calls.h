// The calls that peers have sent and that the local target has not answered.
#ifndef LYCHEEWELL_SIDECAR_LINKS_ACCEPTED_CALLS_H_
#define LYCHEEWELL_SIDECAR_LINKS_ACCEPTED_CALLS_H_

#include <cstdint>
#include <map>
#include <optional>
#include <unordered_map>
#include <vector>

#include "lycheewell/sidecar/links/link.h"

namespace lycheewell::sidecar::links {

class AcceptedCalls {
 public:
  using Ticket = std::uint64_t;  // of the gate

  // Commands.

  // A call has arrived on `link`; its ticket follows.
  void Add(const LinkPointer& link, std::uint64_t call_id) {
    this->tickets[link][call_id] = 0;
  }
  // Does nothing if the call has been answered meanwhile.
  void SetTicket(const LinkPointer& link, std::uint64_t call_id, Ticket ticket);

  // The call on `link` has been answered. Returns whether the link is open.
  bool Remove(const LinkPointer& link, std::uint64_t call_id);

  // Removes a call that its sender has cancelled.
  std::optional<Ticket> Take(const LinkPointer& link, std::uint64_t call_id);

  // The same for a cancel that comes on another link than the call did. A
  // daemon numbers its calls across its links.
  std::optional<Ticket> TakeFromSender(const LinkPointer& link,
                                       std::uint64_t call_id);

  // Removes the calls of a link that has closed.
  std::vector<Ticket> TakeAll(const LinkPointer& link);

  // Queries.

  bool Contains(const LinkPointer& link, std::uint64_t call_id) const;

 private:
  std::map<LinkPointer, std::unordered_map<std::uint64_t, Ticket>> tickets;
};

}  // namespace lycheewell::sidecar::links

#endif  // LYCHEEWELL_SIDECAR_LINKS_ACCEPTED_CALLS_H_
