#include "lycheewell/core/retry/window_budget.h"

#include <algorithm>

namespace lycheewell::core::retry {
namespace {

constexpr int kSlicesPerWindow = 20;

}  // namespace

WindowBudget::Slice& WindowBudget::CurrentSlice(Instant now) {
  const Duration length = this->options.window / kSlicesPerWindow;
  // A slice is kept until its end has left the window, which is one slice
  // length after its beginning has.
  while (!this->slices.empty() &&
         now - this->slices.front().begins_at > this->options.window + length) {
    this->slices.pop_front();
  }
  if (this->slices.empty() || now - this->slices.back().begins_at >= length) {
    this->slices.push_back({.begins_at = now});
  }
  return this->slices.back();
}

void WindowBudget::RecordRequest(Instant now) {
  ++this->CurrentSlice(now).requests;
}

bool WindowBudget::Spend(std::size_t daemon_count, Instant now) {
  Slice& current = this->CurrentSlice(now);
  double requests = 0;
  double retries = 0;
  for (const Slice& slice : this->slices) {
    // Requests count only while the whole slice is in the window and retries
    // while any part of it is, so that the bound holds in every window, not
    // only in those that begin with a slice.
    const bool is_in_window = now - slice.begins_at <= this->options.window;
    requests += is_in_window ? slice.requests : 0;
    retries += slice.retries;
  }
  const double base =
      this->options.base /
      static_cast<double>(std::max<std::size_t>(1, daemon_count));
  if (retries + 1 > this->options.ratio * requests + base) {
    return false;
  }
  ++current.retries;
  return true;
}

}  // namespace lycheewell::core::retry
