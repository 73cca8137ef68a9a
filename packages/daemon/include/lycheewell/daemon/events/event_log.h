// Writes numbered events through log4cplus and keeps the last ones for
// operators.
#ifndef LYCHEEWELL_DAEMON_EVENTS_EVENT_LOG_H_
#define LYCHEEWELL_DAEMON_EVENTS_EVENT_LOG_H_

#include <log4cplus/appender.h>

#include <cstdint>
#include <deque>
#include <initializer_list>
#include <mutex>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "lycheewell/daemon/events/event_catalogue.h"
#include "lycheewell/daemon/settings/settings.h"

namespace lycheewell::daemon::events {

// A log that goes to an appender of the caller's.
struct EventLogOptions {
  std::string level = "info";
  log4cplus::SharedAppenderPtr appender;
};

struct LoggedEvent {
  Event event = Event::kStarted;
  std::int64_t time_ms = 0;  // since the Unix epoch
  std::string text;          // "name=value name=value"

  bool operator==(const LoggedEvent&) const = default;
};

// Safe to use from any thread.
class EventLog {
 public:
  using Fields =
      std::initializer_list<std::pair<std::string_view, std::string_view>>;

  explicit EventLog(const settings::LoggingSettings& settings);
  explicit EventLog(const EventLogOptions& options);
  ~EventLog();

  EventLog(const EventLog&) = delete;
  EventLog& operator=(const EventLog&) = delete;

  // Commands.

  // Logs "LW<number> <name> field=value ...".
  void Write(Event event, Fields fields);

  // Queries.

  // The last events that are not about single requests, newest last.
  std::vector<LoggedEvent> Recent(std::size_t most) const;

 private:
  mutable std::mutex mutex;
  std::deque<LoggedEvent> recent;
};

}  // namespace lycheewell::daemon::events

#endif  // LYCHEEWELL_DAEMON_EVENTS_EVENT_LOG_H_
