#include "banyanloft/core/log.h"

#include <fcntl.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <atomic>
#include <chrono>
#include <mutex>

namespace banyanloft {
namespace {

constexpr std::array<std::string_view, 4> kLevelNames = {"debug", "info",
                                                         "warning", "error"};
std::atomic<LogLevel> least_level{LogLevel::kInfo};
std::atomic<uint64_t> dropped_lines{0};

/// The bound: tokens in 1/1000 of a line, refilled by the milliseconds passed.
constexpr int64_t kMilli = 1000;
std::mutex bound_mutex;
bool bounded = false;
LogRateLimit bound;
int64_t tokens_milli = 0;
std::chrono::steady_clock::time_point refilled;

bool NeedsQuotes(std::string_view text) {
  return text.empty() ||
         text.find_first_of(" \"=\n\\") != std::string_view::npos;
}

std::string Quoted(std::string_view text) {
  std::string out = "\"";
  for (char c : text) {
    if (c == '"' || c == '\\') out += '\\';
    out += c == '\n' ? ' ' : c;
  }
  return out + '"';
}

/// One line, built whole so that one write keeps it in one piece.
class Line {
 public:
  Line(LogLevel level, std::string_view event) {
    auto now = std::chrono::system_clock::now().time_since_epoch();
    auto ms = std::chrono::duration_cast<std::chrono::milliseconds>(now);
    fmt::format_to(fmt::appender(text_), "time_ms={} {} {}", ms.count(),
                   kLevelNames[static_cast<size_t>(level)], event);
  }
  void Add(std::string_view name, std::string_view value) {
    if (NeedsQuotes(value)) {
      fmt::format_to(fmt::appender(text_), " {}={}", name, Quoted(value));
    } else {
      fmt::format_to(fmt::appender(text_), " {}={}", name, value);
    }
  }
  void Write() {
    text_.push_back('\n');
    ssize_t written = write(STDOUT_FILENO, text_.data(), text_.size());
    if (written < 0) ++dropped_lines;
  }

 private:
  fmt::memory_buffer text_;
};

/// Takes a line from the bound. Errors always pass: they are few and matter.
bool TakeLine(LogLevel level) {
  std::lock_guard<std::mutex> lock(bound_mutex);
  if (!bounded) return true;
  auto now = std::chrono::steady_clock::now();
  int64_t passed_ms =
      std::chrono::duration_cast<std::chrono::milliseconds>(now - refilled)
          .count();
  if (passed_ms > 0) {
    refilled = now;
    tokens_milli = std::min(bound.burst_lines * kMilli,
                            tokens_milli + passed_ms * bound.lines_per_s);
  }
  if (tokens_milli < kMilli && level < LogLevel::kError) {
    ++dropped_lines;
    return false;
  }
  tokens_milli -= kMilli;
  return true;
}

}  // namespace

void SetLogLevel(LogLevel level) { least_level = level; }

bool ParseLogLevel(std::string_view name, LogLevel* level) {
  for (size_t i = 0; i < kLevelNames.size(); ++i) {
    if (kLevelNames[i] != name) continue;
    *level = static_cast<LogLevel>(i);
    return true;
  }
  return false;
}

void SetLogRateLimit(const LogRateLimit& settings) {
  std::lock_guard<std::mutex> lock(bound_mutex);
  bound = settings;
  tokens_milli = settings.burst_lines * kMilli;
  bounded = true;
}

void MakeLogNonBlocking() {
  int flags = fcntl(STDOUT_FILENO, F_GETFL);
  if (flags >= 0) fcntl(STDOUT_FILENO, F_SETFL, flags | O_NONBLOCK);
}

uint64_t DroppedLogLines() { return dropped_lines.load(); }

void Log(LogLevel level, std::string_view event,
         std::initializer_list<LogField> fields) {
  if (level < least_level.load() || !TakeLine(level)) return;
  Line line(level, event);
  for (const LogField& field : fields) line.Add(field.name, field.value);
  line.Write();
}

void Log(const LogRecord& record) {
  if (record.level < least_level.load() || !TakeLine(record.level)) return;
  Line line(record.level, record.event);
  for (const auto& [name, value] : record.fields) line.Add(name, value);
  line.Write();
}

}  // namespace banyanloft
