#include "lycheewell/core/overload/held_memory.h"

#include <algorithm>
#include <numeric>

namespace lycheewell::core::overload {
namespace {

// Fractions of the limit, in sixteenths.
constexpr std::size_t kWhole = 16;
constexpr std::size_t kAheadPart = 8;
constexpr std::size_t kConnectionsPart = 8;
constexpr std::size_t kClientsPart = 15;
constexpr std::size_t kShortPart = 12;
constexpr std::size_t kEnoughPart = 8;

// Clients on slow networks accept the next bytes within this time.
constexpr Duration kMinStandstill = std::chrono::seconds(1);

std::size_t PartOf(std::size_t limit, std::size_t part) {
  return limit / kWhole * part;
}

std::size_t SizeOf(const HeldConnection& connection) {
  return connection.bytes + connection.unread_bytes;
}

double ByteSeconds(const HeldConnection& connection) {
  return static_cast<double>(SizeOf(connection)) *
         std::chrono::duration<double>(connection.standing_still).count();
}

}  // namespace

void HeldMemory::Change(std::size_t before, std::size_t after) {
  this->used += after;
  this->used -= before;
}

bool HeldMemory::may_read_ahead() const {
  return this->used < PartOf(this->limit, kAheadPart);
}

bool HeldMemory::may_take_request(bool is_essential) const {
  return this->used <
         (is_essential ? this->limit : PartOf(this->limit, kClientsPart));
}

std::size_t HeldMemory::most_connections() const {
  return std::max<std::size_t>(
      1, PartOf(this->limit, kConnectionsPart) / kConnectionBytes);
}

bool HeldMemory::is_short() const {
  return this->used > PartOf(this->limit, kShortPart);
}

std::vector<std::size_t> HeldMemory::ChooseCuts(
    const std::vector<HeldConnection>& connections) const {
  std::vector<std::size_t> cuts;
  std::size_t left = this->used;
  for (const HeldConnection& connection : connections) {
    left += connection.unread_bytes;
  }
  if (left <= PartOf(this->limit, kShortPart)) {
    return cuts;
  }
  std::vector<std::size_t> order(connections.size());
  std::iota(order.begin(), order.end(), 0);
  const auto end_of_still =
      std::partition(order.begin(), order.end(), [&](std::size_t index) {
        return connections[index].standing_still >= kMinStandstill;
      });
  std::sort(order.begin(), end_of_still, [&](std::size_t a, std::size_t b) {
    return ByteSeconds(connections[a]) > ByteSeconds(connections[b]);
  });
  std::sort(end_of_still, order.end(), [&](std::size_t a, std::size_t b) {
    return SizeOf(connections[a]) > SizeOf(connections[b]);
  });
  for (auto next = order.begin(); next != order.end(); ++next) {
    const std::size_t enough =
        next < end_of_still ? PartOf(this->limit, kEnoughPart) : this->limit;
    if (left <= enough) {
      break;
    }
    cuts.push_back(*next);
    left -= std::min(left, SizeOf(connections[*next]));
  }
  return cuts;
}

}  // namespace lycheewell::core::overload
