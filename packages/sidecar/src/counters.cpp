#include "lycheewell/sidecar/counters.h"

#include <sstream>

namespace lycheewell::sidecar {

std::string EscapeLabel(std::string_view value) {
  std::string escaped;
  for (const char letter : value) {
    if (letter == '\n') {
      escaped += "\\n";
      continue;
    }
    if (letter == '\\' || letter == '"') {
      escaped += '\\';
    }
    escaped += letter;
  }
  return escaped;
}

void Counters::Count(std::string_view name, std::string_view reason,
                     std::uint64_t amount) {
  auto by_name = this->counters.find(name);
  if (by_name == this->counters.end()) {
    by_name = this->counters.try_emplace(std::string(name)).first;
  }
  auto by_reason = by_name->second.find(reason);
  if (by_reason == by_name->second.end()) {
    by_reason = by_name->second.try_emplace(std::string(reason)).first;
  }
  by_reason->second += amount;
}

void Counters::Observe(std::string_view name, core::Duration duration) {
  auto found = this->histograms.find(name);
  if (found == this->histograms.end()) {
    found = this->histograms.try_emplace(std::string(name)).first;
  }
  Histogram& histogram = found->second;
  const double milliseconds =
      std::chrono::duration<double, std::milli>(duration).count();
  std::size_t bucket = 0;
  while (bucket < kBucketBoundsMs.size() &&
         milliseconds > kBucketBoundsMs[bucket]) {
    ++bucket;
  }
  ++histogram.buckets[bucket];
  ++histogram.count;
  histogram.sum_seconds += milliseconds / 1000;
}

std::string Counters::Render() const {
  std::ostringstream text;
  for (const auto& [name, by_reason] : this->counters) {
    for (const auto& [reason, value] : by_reason) {
      text << "lycheewell_" << name << "_total";
      if (!reason.empty()) {
        text << "{reason=\"" << EscapeLabel(reason) << "\"}";
      }
      text << ' ' << value << '\n';
    }
  }
  for (const auto& [name, histogram] : this->histograms) {
    std::uint64_t cumulative = 0;
    for (std::size_t i = 0; i < kBucketBoundsMs.size(); ++i) {
      cumulative += histogram.buckets[i];
      text << "lycheewell_" << name << "_seconds_bucket{le=\""
           << kBucketBoundsMs[i] / 1000.0 << "\"} " << cumulative << '\n';
    }
    text << "lycheewell_" << name << "_seconds_bucket{le=\"+Inf\"} "
         << histogram.count << '\n'
         << "lycheewell_" << name << "_seconds_sum " << histogram.sum_seconds
         << '\n'
         << "lycheewell_" << name << "_seconds_count " << histogram.count
         << '\n';
  }
  return text.str();
}

}  // namespace lycheewell::sidecar
