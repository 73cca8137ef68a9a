#include "lycheewell/sidecar/decision_log.h"

#include <fcntl.h>
#include <log4cplus/appender.h>
#include <log4cplus/layout.h>
#include <unistd.h>

#include <mutex>
#include <sstream>

#include "lycheewell/sidecar/clock.h"

namespace lycheewell::sidecar {
using daemon::events::Event;

namespace {

// Limit per event. At a few hundred requests per second the usual request
// events stay below it. Under overload the log reports the number of suppressed
// lines.
constexpr int kLinesPerSecond = 20;

// Metrics count answered requests and choices, so the log needs only a few of
// them as samples.
constexpr int kSampleLinesPerSecond = 2;

// Lines are dropped while the unread output exceeds this size.
constexpr std::size_t kMaxBufferedBytes = 256 * 1024;

constexpr auto kFlushPeriod = std::chrono::milliseconds(250);

int LinesPerSecond(Event event) {
  const bool is_sample =
      event == Event::kRequestAnswered || event == Event::kTargetChosen;
  return is_sample ? kSampleLinesPerSecond : kLinesPerSecond;
}

}  // namespace

// Buffers formatted lines and writes them without blocking.
class DecisionLog::Sink : public log4cplus::Appender {
 public:
  Sink() {
    const int flags = fcntl(STDOUT_FILENO, F_GETFL);
    if (flags >= 0) {
      fcntl(STDOUT_FILENO, F_SETFL, flags | O_NONBLOCK);
    }
  }
  ~Sink() override { this->destructorImpl(); }

  void close() override { this->closed = true; }

  // Returns whether buffered output remains.
  bool Flush() {
    while (!this->buffered.empty()) {
      const ssize_t written =
          ::write(STDOUT_FILENO, this->buffered.data(), this->buffered.size());
      if (written <= 0) {
        return true;
      }
      this->buffered.erase(0, static_cast<std::size_t>(written));
    }
    if (this->dropped_lines > 0) {
      this->buffered =
          "log lines dropped because standard output was not read: " +
          std::to_string(this->dropped_lines) + "\n";
      this->dropped_lines = 0;
      return true;
    }
    return false;
  }

  bool has_lines() const { return !this->buffered.empty(); }

 protected:
  void append(const log4cplus::spi::InternalLoggingEvent& event) override {
    if (this->buffered.size() > kMaxBufferedBytes) {
      ++this->dropped_lines;
      return;
    }
    std::ostringstream line;
    this->layout->formatAndAppend(line, event);
    this->buffered += line.str();
  }

 private:
  std::string buffered;
  std::uint64_t dropped_lines = 0;
};

namespace {

void ScheduleFlush(TimerQueue& timers, DecisionLog& log) {
  timers.After(kFlushPeriod, [&timers, &log] {
    log.Flush();
    ScheduleFlush(timers, log);
  });
}

}  // namespace

DecisionLog::DecisionLog([[maybe_unused]] boost::asio::io_context& context,
                         TimerQueue& new_timers)
    : timers(new_timers),
      sink(new Sink, [](Sink*) {}),  // the log4cplus pointer below owns it
      events(daemon::events::EventLogOptions{
          .level = "info",
          .appender = log4cplus::SharedAppenderPtr(this->sink.get())}) {
  ScheduleFlush(this->timers, *this);
}

DecisionLog::~DecisionLog() { this->sink->Flush(); }

DecisionLog::Budget& DecisionLog::BudgetOf(Event event) {
  Budget& budget = this->budgets[event];
  const core::Instant now = Now();
  if (now - budget.window_start >= std::chrono::seconds(1)) {
    budget.window_start = now;
    budget.written = 0;
  }
  return budget;
}

bool DecisionLog::WouldWrite(Event event) {
  Budget& budget = this->BudgetOf(event);
  if (budget.written < LinesPerSecond(event)) {
    return true;
  }
  ++budget.suppressed_lines;
  return false;
}

void DecisionLog::Write(Event event, Fields fields) {
  Budget& budget = this->BudgetOf(event);
  if (budget.written >= LinesPerSecond(event)) {
    ++budget.suppressed_lines;
    return;
  }
  ++budget.written;
  if (budget.suppressed_lines > 0) {
    this->events.Write(Event::kLinesLeftOut,
                       {{"event", daemon::events::FindEntry(event).name},
                        {"lines", std::to_string(budget.suppressed_lines)}});
    budget.suppressed_lines = 0;
  }
  this->events.Write(event, fields);
}

void DecisionLog::Flush() {
  if (this->sink->has_lines()) {
    this->sink->Flush();
  }
}

}  // namespace lycheewell::sidecar
