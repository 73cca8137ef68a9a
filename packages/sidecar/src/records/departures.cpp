#include "lycheewell/sidecar/records/departures.h"

#include <algorithm>

namespace lycheewell::sidecar::records {

void Departures::Store(const std::string& start,
                       const std::function<void()>& done) {
  const auto known = std::find_if(
      this->departures.begin(), this->departures.end(),
      [&](const Departure& departure) { return departure.start == start; });
  if (known != this->departures.end()) {
    if (known->is_stored) {
      done();
    } else {
      known->waiting.push_back(done);
    }
    return;
  }
  this->departures.push_back({.start = start, .waiting = {done}});
  if (this->departures.size() > kMaxStarts) {
    this->departures.pop_front();
  }
  this->write(start, [this, start] { this->OnStored(start); });
}

void Departures::OnStored(const std::string& start) {
  for (Departure& departure : this->departures) {
    if (departure.start == start) {
      departure.is_stored = true;
      for (const auto& done : std::exchange(departure.waiting, {})) {
        done();
      }
      return;
    }
  }
}

}  // namespace lycheewell::sidecar::records
