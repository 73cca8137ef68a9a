// Rate-limited event log of the sidecar on standard output.
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

// Limits the lines per second of each event. Before the next line of the event
// it writes how many were suppressed. Writing never blocks on the reader of
// standard output.
class DecisionLog {
 public:
  using Fields = daemon::events::EventLog::Fields;

  DecisionLog(boost::asio::io_context& context, TimerQueue& timers);
  ~DecisionLog();

  DecisionLog(const DecisionLog&) = delete;
  DecisionLog& operator=(const DecisionLog&) = delete;

  // Commands.

  void Write(daemon::events::Event event, Fields fields);

  // Writes as much of the buffer as standard output accepts without blocking.
  void Flush();

  // Queries.

  // Whether a line of this event would be written now, so that callers need not
  // format one that is suppressed. A false result counts as a suppressed line.
  bool WouldWrite(daemon::events::Event event);

 private:
  class Sink;
  struct Budget {
    core::Instant window_start;
    int written = 0;
    std::uint64_t suppressed_lines = 0;
  };

  Budget& BudgetOf(daemon::events::Event event);

  TimerQueue& timers;
  std::shared_ptr<Sink> sink;
  daemon::events::EventLog events;
  std::map<daemon::events::Event, Budget> budgets;
};

}  // namespace lycheewell::sidecar

#endif  // LYCHEEWELL_SIDECAR_DECISION_LOG_H_
