#include "lycheewell/daemon/events/event_log.h"

#include <log4cplus/asyncappender.h>
#include <log4cplus/consoleappender.h>
#include <log4cplus/fileappender.h>
#include <log4cplus/initializer.h>
#include <log4cplus/layout.h>
#include <log4cplus/logger.h>
#include <log4cplus/loggingmacros.h>

#include <algorithm>
#include <array>
#include <chrono>
#include <cstdio>

#include "lycheewell/core/names.h"

namespace lycheewell::daemon::events {
namespace {

constexpr std::size_t kRecentEvents = 500;
constexpr unsigned kAsyncQueueLength = 10'000;
constexpr int kFirstRequestEvent = 2000;
constexpr int kLastRequestEvent = 2999;

log4cplus::LogLevel TurnLevel(std::string_view name) {
  if (name == "debug") {
    return log4cplus::DEBUG_LOG_LEVEL;
  }
  if (name == "warn") {
    return log4cplus::WARN_LOG_LEVEL;
  }
  if (name == "error") {
    return log4cplus::ERROR_LOG_LEVEL;
  }
  return log4cplus::INFO_LOG_LEVEL;
}

void SetLayout(const log4cplus::SharedAppenderPtr& appender) {
  appender->setLayout(std::make_unique<log4cplus::PatternLayout>(
      LOG4CPLUS_TEXT("%D{%Y-%m-%dT%H:%M:%S.%q} %-5p %m%n")));
}

log4cplus::SharedAppenderPtr MakeAppender(
    const settings::LoggingSettings& settings) {
  log4cplus::SharedAppenderPtr appender;
  if (settings.file.empty()) {
    constexpr bool kToStandardError = true;
    appender = new log4cplus::ConsoleAppender(kToStandardError, true);
  } else {
    appender = new log4cplus::FileAppender(settings.file, std::ios_base::app);
  }
  SetLayout(appender);
  return appender;
}

log4cplus::Logger EventLogger() {
  return log4cplus::Logger::getInstance(LOG4CPLUS_TEXT("lycheewell"));
}

bool IsControl(unsigned char byte) { return byte < ' ' || byte == 0x7f; }

// Lines are UTF-8 without control characters. Other bytes become "\xNN", line
// breaks become blanks.
std::string MakePrintable(std::string_view value) {
  const bool is_utf8 = core::IsUtf8(value);
  std::string printable;
  for (const char letter : value) {
    const auto byte = static_cast<unsigned char>(letter);
    constexpr unsigned char kFirstAboveAscii = 0x80;
    if (letter == '\n' || letter == '\r') {
      printable += ' ';
    } else if (IsControl(byte) || (byte >= kFirstAboveAscii && !is_utf8)) {
      std::array<char, sizeof "\\xNN"> code{};
      std::snprintf(code.data(), code.size(), "\\x%02X", byte);
      printable += code.data();
    } else {
      printable += letter;
    }
  }
  return printable;
}

// Values with blanks or quotes are quoted.
void AppendValue(std::string& text, std::string_view value) {
  const std::string printable = MakePrintable(value);
  if (!printable.empty() &&
      printable.find_first_of(" \"") == std::string::npos) {
    text += printable;
    return;
  }
  text += '"';
  for (const char letter : printable) {
    if (letter == '"') {
      text += '\\';
    }
    text += letter;
  }
  text += '"';
}

bool ConcernsOneRequest(Event event) {
  const int number = static_cast<int>(event);
  return number >= kFirstRequestEvent && number <= kLastRequestEvent;
}

}  // namespace

EventLog::EventLog(const settings::LoggingSettings& settings) {
  log4cplus::initialize();
  log4cplus::SharedAppenderPtr asynchronous(
      new log4cplus::AsyncAppender(MakeAppender(settings), kAsyncQueueLength));
  EventLogger().removeAllAppenders();
  EventLogger().addAppender(asynchronous);
  EventLogger().setLogLevel(TurnLevel(settings.level));
}

EventLog::EventLog(const EventLogOptions& options) {
  log4cplus::initialize();
  SetLayout(options.appender);
  EventLogger().removeAllAppenders();
  EventLogger().addAppender(options.appender);
  EventLogger().setLogLevel(TurnLevel(options.level));
}

EventLog::~EventLog() { EventLogger().removeAllAppenders(); }

void EventLog::Write(Event event, Fields fields) {
  const CatalogueEntry& entry = FindEntry(event);
  const log4cplus::LogLevel level = TurnLevel(LevelName(entry.level));
  const bool is_kept =
      !ConcernsOneRequest(event) && entry.level != Level::kDebug;
  log4cplus::Logger logger = EventLogger();
  if (!is_kept && !logger.isEnabledFor(level)) {
    return;
  }
  std::string text;
  for (const auto& [name, value] : fields) {
    text += text.empty() ? "" : " ";
    text += name;
    text += '=';
    AppendValue(text, value);
  }
  if (logger.isEnabledFor(level)) {
    logger.log(level, "LW" + std::to_string(static_cast<int>(event)) + " " +
                          std::string(entry.name) + " " + text);
  }
  if (!is_kept) {
    return;
  }
  const auto now = std::chrono::system_clock::now().time_since_epoch();
  const std::lock_guard lock(this->mutex);
  this->recent.push_back(
      {event,
       std::chrono::duration_cast<std::chrono::milliseconds>(now).count(),
       std::move(text)});
  if (this->recent.size() > kRecentEvents) {
    this->recent.pop_front();
  }
}

std::vector<LoggedEvent> EventLog::Recent(std::size_t most) const {
  const std::lock_guard lock(this->mutex);
  const std::size_t count = std::min(most, this->recent.size());
  return {this->recent.end() - static_cast<std::ptrdiff_t>(count),
          this->recent.end()};
}

}  // namespace lycheewell::daemon::events
