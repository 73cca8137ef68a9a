// Numbered events of the sidecar, bounded in volume, on standard output.
#ifndef LYCHEEWELL_SIDECAR_DECISION_LOG_H_
#define LYCHEEWELL_SIDECAR_DECISION_LOG_H_

#include <boost/asio/io_context.hpp>
#include <functional>
#include <map>
#include <memory>
#include <string_view>

#include "lycheewell/daemon/events/event_log.h"
#include "lycheewell/sidecar/timer_queue.h"

namespace lycheewell::sidecar {

// Each event has a budget of lines a second; the next line that is written
// says how many were left out. Writing never waits for the reader.
class DecisionLog {
 public:
  using Fields = daemon::events::EventLog::Fields;

  DecisionLog(boost::asio::io_context& context, TimerQueue& timers);
  ~DecisionLog();

  DecisionLog(const DecisionLog&) = delete;
  DecisionLog& operator=(const DecisionLog&) = delete;

  // Commands.

  void Write(daemon::events::Event event, Fields fields);

  // Writes what is buffered, as far as the reader takes it at once.
  void Flush();

  // Queries.

  // Whether a line of this event would be written now; lets callers save the
  // work of making one.
  bool WouldWrite(daemon::events::Event event);

 private:
  class Sink;
  struct Budget {
    core::Instant second_begins;
    int written = 0;
    std::uint64_t left_out = 0;
  };

  Budget& BudgetOf(daemon::events::Event event);

  TimerQueue& timers;
  std::shared_ptr<Sink> sink;
  daemon::events::EventLog events;
  std::map<daemon::events::Event, Budget> budgets;
};

}  // namespace lycheewell::sidecar

#endif  // LYCHEEWELL_SIDECAR_DECISION_LOG_H_
