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
std::atomic<LogLevel> min_level{LogLevel::kInfo};
std::atomic<uint64_t> dropped_lines{0};

/// Token bucket of the rate limit. Tokens are 1/1000 of a line, so that the
/// refill is lines per second times elapsed milliseconds.
constexpr int64_t kMilli = 1000;
std::mutex rate_limit_mutex;
bool rate_limited = false;
LogRateLimit rate_limit;
int64_t tokens_milli = 0;
std::chrono::steady_clock::time_point last_refill;

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

/// A log line, built in full and written by a single write(), so that lines
/// from different threads do not interleave.
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

/// Takes a line from the token bucket; false if it is empty. Errors always
/// pass: they are few and important.
bool TakeToken(LogLevel level) {
  std::lock_guard<std::mutex> lock(rate_limit_mutex);
  if (!rate_limited) return true;
  auto now = std::chrono::steady_clock::now();
  int64_t elapsed_ms =
      std::chrono::duration_cast<std::chrono::milliseconds>(now - last_refill)
          .count();
  if (elapsed_ms > 0) {
    last_refill = now;
    tokens_milli = std::min(rate_limit.burst_lines * kMilli,
                            tokens_milli + elapsed_ms * rate_limit.lines_per_s);
  }
  if (tokens_milli < kMilli && level < LogLevel::kError) {
    ++dropped_lines;
    return false;
  }
  tokens_milli -= kMilli;
  return true;
}

}  // namespace

void SetLogLevel(LogLevel level) { min_level = level; }

bool ParseLogLevel(std::string_view name, LogLevel* level) {
  for (size_t i = 0; i < kLevelNames.size(); ++i) {
    if (kLevelNames[i] != name) continue;
    *level = static_cast<LogLevel>(i);
    return true;
  }
  return false;
}

void SetLogRateLimit(const LogRateLimit& limit) {
  std::lock_guard<std::mutex> lock(rate_limit_mutex);
  rate_limit = limit;
  tokens_milli = limit.burst_lines * kMilli;
  rate_limited = true;
}

void MakeLogNonBlocking() {
  int flags = fcntl(STDOUT_FILENO, F_GETFL);
  if (flags >= 0) fcntl(STDOUT_FILENO, F_SETFL, flags | O_NONBLOCK);
}

uint64_t DroppedLogLines() { return dropped_lines.load(); }

void Log(LogLevel level, std::string_view event,
         std::initializer_list<LogField> fields) {
  if (level < min_level.load() || !TakeToken(level)) return;
  Line line(level, event);
  for (const LogField& field : fields) line.Add(field.name, field.value);
  line.Write();
}

void Log(const LogRecord& record) {
  if (record.level < min_level.load() || !TakeToken(record.level)) return;
  Line line(record.level, record.event);
  for (const auto& [name, value] : record.fields) line.Add(name, value);
  line.Write();
}

}  // namespace banyanloft
