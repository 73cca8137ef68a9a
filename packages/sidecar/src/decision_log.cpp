#include "lycheewell/sidecar/decision_log.h"

#include <fcntl.h>
#include <log4cplus/appender.h>
#include <log4cplus/layout.h>
#include <unistd.h>

#include <mutex>
#include <sstream>

namespace lycheewell::sidecar {
using daemon::events::Event;

namespace {

// Lines of one event in one second. The usual events on requests stay under
// it at a few hundred requests a second; under overload the count of what was
// left out stands in the next line.
constexpr int kLinesPerSecond = 20;

// Answered requests are counted in the metrics; a few lines show the path.
constexpr int kRoutineLinesPerSecond = 2;

// What is not taken by the reader is kept up to this size.
constexpr std::size_t kMostBufferedBytes = 256 * 1024;

constexpr auto kFlushPeriod = std::chrono::milliseconds(250);

int LinesPerSecond(Event event) {
  return event == Event::kRequestAnswered ? kRoutineLinesPerSecond
                                          : kLinesPerSecond;
}

}  // namespace

// Collects formatted lines and writes them without blocking.
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

  // Returns whether something is left to write.
  bool Flush() {
    while (!this->buffered.empty()) {
      const ssize_t written =
          ::write(STDOUT_FILENO, this->buffered.data(), this->buffered.size());
      if (written <= 0) {
        return true;
      }
      this->buffered.erase(0, static_cast<std::size_t>(written));
    }
    if (this->lost_lines > 0) {
      this->buffered = "log lines lost because nobody read them: " +
                       std::to_string(this->lost_lines) + "\n";
      this->lost_lines = 0;
      return true;
    }
    return false;
  }

  bool has_lines() const { return !this->buffered.empty(); }

 protected:
  void append(const log4cplus::spi::InternalLoggingEvent& event) override {
    if (this->buffered.size() > kMostBufferedBytes) {
      ++this->lost_lines;
      return;
    }
    std::ostringstream line;
    this->layout->formatAndAppend(line, event);
    this->buffered += line.str();
  }

 private:
  std::string buffered;
  std::uint64_t lost_lines = 0;
};

namespace {

void FlushLater(TimerQueue& timers, DecisionLog& log) {
  timers.After(kFlushPeriod, [&timers, &log] {
    log.Flush();
    FlushLater(timers, log);
  });
}

}  // namespace

DecisionLog::DecisionLog([[maybe_unused]] boost::asio::io_context& context,
                         TimerQueue& new_timers)
    : timers(new_timers),
      sink(new Sink, [](Sink*) {}),  // owned by the log4cplus pointer below
      events(daemon::events::EventLogOptions{
          .level = "info",
          .appender = log4cplus::SharedAppenderPtr(this->sink.get())}) {
  FlushLater(this->timers, *this);
}

DecisionLog::~DecisionLog() { this->sink->Flush(); }

DecisionLog::Budget& DecisionLog::BudgetOf(Event event) {
  Budget& budget = this->budgets[event];
  const core::Instant now = std::chrono::steady_clock::now();
  if (now - budget.second_begins >= std::chrono::seconds(1)) {
    budget.second_begins = now;
    budget.written = 0;
  }
  return budget;
}

bool DecisionLog::WouldWrite(Event event) {
  Budget& budget = this->BudgetOf(event);
  if (budget.written < LinesPerSecond(event)) {
    return true;
  }
  ++budget.left_out;
  return false;
}

void DecisionLog::Write(Event event, Fields fields) {
  Budget& budget = this->BudgetOf(event);
  if (budget.written >= LinesPerSecond(event)) {
    ++budget.left_out;
    return;
  }
  ++budget.written;
  if (budget.left_out > 0) {
    this->events.Write(Event::kLinesLeftOut,
                       {{"event", daemon::events::FindEntry(event).name},
                        {"lines", std::to_string(budget.left_out)}});
    budget.left_out = 0;
  }
  this->events.Write(event, fields);
}

void DecisionLog::Flush() {
  if (this->sink->has_lines()) {
    this->sink->Flush();
  }
}

}  // namespace lycheewell::sidecar
