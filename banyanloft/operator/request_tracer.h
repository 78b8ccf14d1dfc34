#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace banyanloft {

/// A parsed structured log line.
struct LogLine {
  int64_t time_ms = 0;  ///< Unix time, in ms.
  std::string process;  ///< Process that wrote it; empty if not in the line.
  std::string level;
  std::string event;
  std::vector<std::pair<std::string, std::string>> fields;

  /// Value of a field; empty if absent.
  std::string Field(const std::string& name) const;
};

/// Parses a line `time_ms=T LEVEL EVENT name=value ...`. The last word of a
/// prefix added by a log collector is the process name. Returns nullopt for
/// lines in any other format.
std::optional<LogLine> ParseLogLine(const std::string& text);

/// Merges the logs of several processes into a trace of a single request.
/// Deterministic; does no I/O.
class RequestTracer {
 public:
  /// Adds a line; `source` is the fallback name of the process that wrote it.
  void Add(const std::string& source, LogLine line);

  /// Trace of a request in time order: its own log lines, and the state changes
  /// of the involved processes shortly before and during it. The last line
  /// begins with `cause:`. Empty if no line names the request.
  std::vector<std::string> Trace(const std::string& request) const;

  size_t Size() const { return lines_.size(); }

 private:
  struct Entry {
    std::string source;
    LogLine line;
  };

  std::string ProcessOf(const Entry& entry) const;

  std::vector<Entry> lines_;
  /// Process names from the `daemon_started` lines of each source.
  std::map<std::string, std::string> name_by_source_;
  std::map<std::string, std::string> name_by_member_;
};

}  // namespace banyanloft
