#include "lycheewell/core/retry/window_budget.h"

#include <algorithm>

namespace lycheewell::core::retry {
namespace {

constexpr int kSlices = 20;

}  // namespace

WindowBudget::Slice& WindowBudget::Current(Instant now) {
  const Duration length = this->options.window / kSlices;
  // One slice more than the window: a slice counts until its last moment has
  // left the window.
  while (!this->slices.empty() &&
         now - this->slices.front().begins_at > this->options.window + length) {
    this->slices.pop_front();
  }
  if (this->slices.empty() || now - this->slices.back().begins_at >= length) {
    this->slices.push_back({.begins_at = now});
  }
  return this->slices.back();
}

void WindowBudget::RecordRequest(Instant now) { ++this->Current(now).requests; }

bool WindowBudget::Spend(std::size_t daemons, Instant now) {
  Slice& current = this->Current(now);
  double requests = 0;
  double repeats = 0;
  for (const Slice& slice : this->slices) {
    // Requests count only while the whole slice is in the window, repeats as
    // long as any part of it is.
    const bool is_whole = now - slice.begins_at <= this->options.window;
    requests += is_whole ? slice.requests : 0;
    repeats += slice.repeats;
  }
  const double base = this->options.base /
                      static_cast<double>(std::max<std::size_t>(1, daemons));
  if (repeats + 1 > this->options.ratio * requests + base) {
    return false;
  }
  ++current.repeats;
  return true;
}

}  // namespace lycheewell::core::retry
