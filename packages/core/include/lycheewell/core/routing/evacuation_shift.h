// Moves work away from evacuated data centres, and back, in steps.
#ifndef LYCHEEWELL_CORE_ROUTING_EVACUATION_SHIFT_H_
#define LYCHEEWELL_CORE_ROUTING_EVACUATION_SHIFT_H_

#include <map>
#include <string>
#include <string_view>

#include "lycheewell/core/types.h"

namespace lycheewell::core::routing {

// The targets of a data centre stop taking work one after the other, in an
// order that is the same at all daemons. The others' queues fill gradually, and
// admission at the entry can follow the slots that are left. Targets return in
// the reverse order.
class EvacuationShift {
 public:
  struct Options {
    Duration leave_time = std::chrono::milliseconds(1500);
    Duration return_time = std::chrono::seconds(4);

    bool operator==(const Options&) const = default;
  };

  // Commands.

  void Configure(const Options& new_options) { this->options = new_options; }

  // Sets the evacuated data centres and, for each one, when it must be empty at
  // the latest. A later time than one given before has no effect.
  void Update(const std::map<std::string, Instant>& evacuated, Instant now);

  // Queries.

  // Whether the target beside `member` takes work.
  bool TakesWork(const std::string& data_centre, std::string_view member,
                 Instant now) const;

  // Whether no target of the data centre takes work.
  bool IsClosed(const std::string& data_centre, Instant now) const;

  // Whether a target will start or stop taking work without an update.
  bool IsMoving(Instant now) const;

  // When the data centre will be closed; zero time from now if it is, or if it
  // is not evacuated.
  Duration TimeUntilClosed(const std::string& data_centre, Instant now) const;

 private:
  struct Move {
    bool is_leaving = true;
    double gone_before = 0;  // part of the targets without work at `begin`
    Instant begin;
    Instant end;
  };

  static double GonePart(const Move& move, Instant now);

  Options options;
  std::map<std::string, Move> moves;  // by data centre
};

}  // namespace lycheewell::core::routing

#endif  // LYCHEEWELL_CORE_ROUTING_EVACUATION_SHIFT_H_
