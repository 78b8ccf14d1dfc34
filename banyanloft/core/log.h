#pragma once

#include <fmt/format.h>

#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>

namespace banyanloft {

/// Severity of a log line.
enum class LogLevel : uint8_t { kDebug, kInfo, kWarning, kError };

/// One field of a structured log line.
struct LogField {
  std::string_view name;
  std::string value;
};

/// Sets the least severe level that is written. Safe from any thread.
void SetLogLevel(LogLevel level);
/// Level of a name (`debug`, `info`, `warning`, `error`); false if it is none.
bool ParseLogLevel(std::string_view name, LogLevel* level);
/// Writes one line `level event name=value ...` to standard error. Safe from
/// any thread; lines are never interleaved.
void Log(LogLevel level, std::string_view event,
         std::initializer_list<LogField> fields);

}  // namespace banyanloft
