// Departures of targets that the store has or is about to have.
#ifndef LYCHEEWELL_SIDECAR_RECORDS_DEPARTURES_H_
#define LYCHEEWELL_SIDECAR_RECORDS_DEPARTURES_H_

#include <deque>
#include <functional>
#include <string>
#include <utility>
#include <vector>

namespace lycheewell::sidecar::records {

// A target repeats its departure until it is acknowledged, and reports it again
// for as long as it lives; the store is called once.
class Departures {
 public:
  // Writes a departure to the store; calls `done` once the store has it.
  using Write = std::function<void(const std::string& start,
                                   const std::function<void()>& done)>;

  explicit Departures(Write new_write) : write(std::move(new_write)) {}

  // Calls `done` once the store has the departure of `start`, possibly before
  // Store returns.
  void Store(const std::string& start, const std::function<void()>& done);

 private:
  static constexpr std::size_t kMaxStarts = 8;

  struct Departure {
    std::string start;
    bool is_stored = false;
    std::vector<std::function<void()>> waiting;
  };

  void OnStored(const std::string& start);

  Write write;
  std::deque<Departure> departures;  // oldest first
};

}  // namespace lycheewell::sidecar::records

#endif  // LYCHEEWELL_SIDECAR_RECORDS_DEPARTURES_H_
