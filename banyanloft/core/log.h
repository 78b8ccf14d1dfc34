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

/// A log line as decision logic hands it out.
struct LogRecord {
  LogLevel level = LogLevel::kInfo;
  std::string event;
  std::vector<std::pair<std::string, std::string>> fields;
};

/// Bounds of the log of a process.
struct LogRateLimit {
  int64_t lines_per_s = 200;  ///< Lines beyond are dropped and counted.
  int64_t burst_lines = 400;  ///< Lines that may come at once after a pause.
};

/// Sets the least severe level that is written. Safe from any thread.
void SetLogLevel(LogLevel level);
/// Level of a name (`debug`, `info`, `warning`, `error`); false if it is none.
bool ParseLogLevel(std::string_view name, LogLevel* level);
/// Bounds the volume from now on; without a call nothing is dropped.
void SetLogRateLimit(const LogRateLimit& settings);
/// Makes standard output drop lines instead of blocking when its reader does
/// not keep up. For programs that own their standard output.
void MakeLogNonBlocking();
/// Lines dropped so far, by the bound or by a full output.
uint64_t DroppedLogLines();
/// Writes one line `level event name=value ...` to standard output. Safe from
/// any thread; lines are never interleaved.
void Log(LogLevel level, std::string_view event,
         std::initializer_list<LogField> fields);
void Log(const LogRecord& record);

}  // namespace banyanloft
