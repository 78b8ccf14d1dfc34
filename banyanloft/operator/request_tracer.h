#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace banyanloft {

/// One structured log line, read back.
struct LogLine {
  int64_t time_ms = 0;  ///< Unix time, in ms.
  std::string process;  ///< Who wrote it; empty if the line does not say.
  std::string level;
  std::string event;
  std::vector<std::pair<std::string, std::string>> fields;

  /// A field's value; empty if there is none.
  std::string Field(const std::string& name) const;
};

/// Reads a line `time_ms=T LEVEL EVENT name=value ...`. What a collector wrote
/// before it counts as the time of collection and the process's name. Nothing
/// for lines of another form.
std::optional<LogLine> ParseLogLine(const std::string& text);

/// Joins the lines of several processes into the story of one request.
/// Deterministic; free of I/O.
class RequestTracer {
 public:
  /// Adds a line; `source` names its process if nothing in its log does.
  void Add(const std::string& source, LogLine line);

  /// The story of a request in order: what was decided about it, and what the
  /// processes concerned came to believe shortly before. The last line begins
  /// with `cause:`. Empty if no line names the request.
  std::vector<std::string> Trace(const std::string& request) const;

  size_t Size() const { return lines_.size(); }

 private:
  struct Entry {
    std::string source;
    LogLine line;
  };

  std::string ProcessOf(const Entry& entry) const;

  std::vector<Entry> lines_;
  /// Names told by the `daemon_started` lines of a source.
  std::map<std::string, std::string> name_by_source_;
  std::map<std::string, std::string> name_by_member_;
};

}  // namespace banyanloft
