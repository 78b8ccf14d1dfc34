#pragma once

#include <fmt/format.h>

#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace banyanloft {

/// Severity of a log line.
enum class LogLevel : uint8_t { kDebug, kInfo, kWarning, kError };

/// One field of a structured log line.
struct LogField {
  std::string_view name;
  std::string value;
};

/// A log line returned by decision logic, which does no I/O itself.
struct LogRecord {
  LogLevel level = LogLevel::kInfo;
  std::string event;
  std::vector<std::pair<std::string, std::string>> fields;
};

/// Rate limit of the log of a process.
struct LogRateLimit {
  int64_t lines_per_s = 200;  ///< Excess lines are dropped and counted.
  int64_t burst_lines = 400;  ///< Largest burst after a quiet period.
};

/// Sets the lowest severity that is written. Thread safe.
void SetLogLevel(LogLevel level);
/// Parses a level name (`debug`, `info`, `warning`, `error`); false if unknown.
bool ParseLogLevel(std::string_view name, LogLevel* level);
/// Enables the rate limit, which is off by default.
void SetLogRateLimit(const LogRateLimit& limit);
/// Makes standard output non-blocking, so that lines are dropped when its
/// reader does not keep up. Only for programs that own their standard output.
void MakeLogNonBlocking();
/// Lines dropped so far by the rate limit or because the output was full.
uint64_t DroppedLogLines();
/// Writes one line `time_ms=T level event name=value ...` to standard output.
/// Thread safe; lines are never interleaved.
void Log(LogLevel level, std::string_view event,
         std::initializer_list<LogField> fields);
void Log(const LogRecord& record);

}  // namespace banyanloft
