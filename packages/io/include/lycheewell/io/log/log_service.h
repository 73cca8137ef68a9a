// The platform's append-only log, behind hooks.
#ifndef LYCHEEWELL_IO_LOG_LOG_SERVICE_H_
#define LYCHEEWELL_IO_LOG_LOG_SERVICE_H_

#include <boost/asio/awaitable.hpp>
#include <chrono>
#include <cstdint>
#include <functional>
#include <string>
#include <variant>
#include <vector>

namespace lycheewell::io::log {

struct LogRecord {
  std::uint64_t offset = 0;
  std::string body;

  bool operator==(const LogRecord&) const = default;
};

// Consecutive records. `first` is the oldest offset that the log still holds,
// `end` the offset that the next append will get.
struct LogBatch {
  std::uint64_t first = 0;
  std::uint64_t end = 0;
  std::vector<LogRecord> records;

  bool operator==(const LogBatch&) const = default;
};

// For an append: kUnreachable means that nothing was written, kUnknown that
// the record may have been written.
enum class LogErrorKind { kUnreachable, kUnknown, kRefused };

struct LogError {
  LogErrorKind kind = LogErrorKind::kUnreachable;
  std::string detail;

  bool operator==(const LogError&) const = default;
};

using ReadResult = std::variant<LogBatch, LogError>;
using AppendResult = std::variant<std::uint64_t, LogError>;

struct LogService {
  // Records from `from` on, at most `limit`. When there is none, waits up to
  // `wait` for one.
  std::function<boost::asio::awaitable<ReadResult>(
      std::uint64_t from, std::size_t limit, std::chrono::milliseconds wait)>
      read;

  // Appends one record and returns its offset.
  std::function<boost::asio::awaitable<AppendResult>(std::string body)> append;
};

}  // namespace lycheewell::io::log

#endif  // LYCHEEWELL_IO_LOG_LOG_SERVICE_H_
