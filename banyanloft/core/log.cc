#include "banyanloft/core/log.h"

#include <unistd.h>

#include <array>
#include <atomic>
#include <cstdio>

namespace banyanloft {
namespace {

constexpr std::array<std::string_view, 4> kLevelNames = {"debug", "info",
                                                         "warning", "error"};
std::atomic<LogLevel> least_level{LogLevel::kInfo};

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

void Log(LogLevel level, std::string_view event,
         std::initializer_list<LogField> fields) {
  if (level < least_level.load()) return;

  // Build the whole line first, so that one write keeps it in one piece.
  fmt::memory_buffer line;
  fmt::format_to(fmt::appender(line), "{} {}",
                 kLevelNames[static_cast<size_t>(level)], event);
  for (const LogField& field : fields) {
    fmt::format_to(
        fmt::appender(line), " {}={}", field.name,
        NeedsQuotes(field.value) ? Quoted(field.value) : field.value);
  }
  line.push_back('\n');
  std::fwrite(line.data(), 1, line.size(), stderr);
}

}  // namespace banyanloft
