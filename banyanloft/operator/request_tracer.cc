#include "banyanloft/operator/request_tracer.h"

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <cstdlib>
#include <set>
#include <string_view>

namespace banyanloft {
namespace {

constexpr std::string_view kTimeField = "time_ms=";
/// State changes up to this long before a request are shown as context, in ms.
/// Covers the time that a lost target stays in the member list, with a margin.
constexpr int64_t kContextWindowMs = 5000;
/// Most context lines shown for each process; the latest are kept.
constexpr size_t kMaxContextLines = 6;

/// Explanation of an error kind in the last log line of a request.
struct Cause {
  std::string_view error;
  std::string_view text;
};
constexpr std::array<Cause, 13> kCauses = {{
    {"overloaded",
     "every target tried had more work queued than it could complete within "
     "the latency target; see running, waiting and expected_wait_ms"},
    {"deadline_unmeetable",
     "the client's remaining time was shorter than the expected wait and run"},
    {"no_target",
     "no usable target of the service was known: all were gone, draining, or "
     "excluded after failures"},
    {"target_unreachable", "the target's daemon could not be reached"},
    {"target_lost",
     "the link to the target's daemon was lost after the request had been "
     "sent: it may have run"},
    {"backend_broken",
     "the connection to the backend server was closed, or its response was "
     "invalid: the request may have run"},
    {"backend_unavailable", "the backend server accepted no connection"},
    {"backend_shed",
     "the backend server itself rejected the request without running it"},
    {"crash_suspect",
     "the same request was running at several crashes of backend servers; "
     "fingerprint names it in instance_crashed and crash_suspicions_learned"},
    {"draining", "the daemon or the backend server was shutting down"},
    {"timeout",
     "no response arrived within the timeout of the route or the client"},
    {"unknown_route",
     "the active configuration has no such route; compare its version with "
     "the expected one"},
    {"not_ready", "the daemon had no configuration yet"},
}};

/// Whether an event changes the state from which a process makes decisions.
bool IsStateChange(const std::string& event) {
  static const std::set<std::string> kEvents = {
      "version_adopted",          "version_rejected", "store_lost",
      "store_regained",           "link_lost",        "instance_changed",
      "instance_started",         "instance_lost",    "instance_crashed",
      "crash_suspicions_learned", "own_pause",        "drain_began",
      "daemon_started",           "daemon_stopped",   "settings_reloaded",
      "instance_health_check",    "members_found",    "members_lost"};
  return kEvents.count(event) > 0;
}

/// Consumes a word or a quoted string, and the space after it.
std::string ConsumeValue(std::string_view* rest) {
  std::string out;
  if (rest->empty() || rest->front() != '"') {
    size_t end = std::min(rest->find(' '), rest->size());
    out = std::string(rest->substr(0, end));
    rest->remove_prefix(std::min(end + 1, rest->size()));
    return out;
  }
  size_t i = 1;
  for (; i < rest->size() && (*rest)[i] != '"'; ++i) {
    if ((*rest)[i] == '\\' && i + 1 < rest->size()) ++i;
    out += (*rest)[i];
  }
  rest->remove_prefix(std::min(i + 2, rest->size()));
  return out;
}

std::string LastWord(std::string_view text) {
  size_t end = text.find_last_not_of(' ');
  if (end == std::string_view::npos) return "";
  size_t begin = text.find_last_of(' ', end);
  begin = begin == std::string_view::npos ? 0 : begin + 1;
  return std::string(text.substr(begin, end + 1 - begin));
}

std::string CauseOf(const LogLine& last) {
  std::string error = last.Field("error");
  if (last.event == "request_abandoned")
    return "the client disconnected before a response was sent";
  if (last.event == "request_answered")
    return "none: the backend server responded with status " +
           last.Field("status");
  for (const Cause& cause : kCauses) {
    if (cause.error == error) return error + ": " + std::string(cause.text);
  }
  if (!error.empty()) return error;
  return "unknown; the last log line is " + last.event;
}

/// The line with the final result at the daemon that received the request; if
/// there is none, the last line.
const LogLine& FinalLine(const std::vector<const LogLine*>& lines) {
  for (auto it = lines.rbegin(); it != lines.rend(); ++it) {
    if ((*it)->event.rfind("request_", 0) == 0) return **it;
  }
  return *lines.back();
}

std::string FormatLine(int64_t from_ms, const std::string& process,
                       const LogLine& line) {
  std::string out = fmt::format("{:+6} ms  {}  {}", line.time_ms - from_ms,
                                process, line.event);
  for (const auto& [name, value] : line.fields) {
    if (name != "request") out += fmt::format(" {}={}", name, value);
  }
  return out;
}

}  // namespace

std::string LogLine::Field(const std::string& name) const {
  for (const auto& [key, value] : fields) {
    if (key == name) return value;
  }
  return "";
}

std::optional<LogLine> ParseLogLine(const std::string& text) {
  size_t start = text.find(kTimeField);
  if (start == std::string::npos) return std::nullopt;
  LogLine line;
  line.process = LastWord(std::string_view(text).substr(0, start));
  std::string_view rest =
      std::string_view(text).substr(start + kTimeField.size());
  line.time_ms = std::strtoll(ConsumeValue(&rest).c_str(), nullptr, 10);
  line.level = ConsumeValue(&rest);
  line.event = ConsumeValue(&rest);
  while (!rest.empty()) {
    size_t equals = rest.find('=');
    if (equals == std::string_view::npos) break;
    std::string name(rest.substr(0, equals));
    rest.remove_prefix(equals + 1);
    line.fields.emplace_back(std::move(name), ConsumeValue(&rest));
  }
  if (line.time_ms <= 0 || line.event.empty()) return std::nullopt;
  return line;
}

void RequestTracer::Add(const std::string& source, LogLine line) {
  Entry entry{source, std::move(line)};
  if (entry.line.event == "daemon_started") {
    std::string name = entry.line.Field("name");
    if (entry.line.process.empty()) name_by_source_[source] = name;
    name_by_member_[entry.line.Field("member")] = name;
  }
  lines_.push_back(std::move(entry));
}

std::string RequestTracer::ProcessOf(const Entry& entry) const {
  if (!entry.line.process.empty()) return entry.line.process;
  auto it = name_by_source_.find(entry.source);
  return it != name_by_source_.end() ? it->second : entry.source;
}

std::vector<std::string> RequestTracer::Trace(
    const std::string& request) const {
  std::vector<const LogLine*> own_lines;
  std::set<std::string> involved;  // Processes that handled it.
  std::set<std::string> services;  // Services that were to run it.
  for (const Entry& entry : lines_) {
    if (entry.line.Field("request") != request) continue;
    own_lines.push_back(&entry.line);
    involved.insert(ProcessOf(entry));
    if (!entry.line.Field("service").empty())
      services.insert(entry.line.Field("service"));
    auto target = name_by_member_.find(entry.line.Field("target"));
    if (target != name_by_member_.end()) involved.insert(target->second);
  }
  if (own_lines.empty()) return {};
  auto by_time = [](const LogLine* a, const LogLine* b) {
    return a->time_ms < b->time_ms;
  };
  std::stable_sort(own_lines.begin(), own_lines.end(), by_time);
  int64_t from_ms = own_lines.front()->time_ms;
  int64_t to_ms = own_lines.back()->time_ms;

  std::vector<std::pair<const LogLine*, std::string>> shown;
  std::map<std::string, std::vector<const LogLine*>> context;
  for (const Entry& entry : lines_) {
    std::string process = ProcessOf(entry);
    bool is_own = entry.line.Field("request") == request;
    if (is_own) shown.emplace_back(&entry.line, process);
    bool in_window = entry.line.time_ms >= from_ms - kContextWindowMs &&
                     entry.line.time_ms <= to_ms;
    std::string service = entry.line.Field("service");
    bool relevant = involved.count(process) > 0 ||
                    (!service.empty() && services.count(service) > 0);
    if (!is_own && in_window && relevant && IsStateChange(entry.line.event))
      context[process].push_back(&entry.line);
  }
  for (auto& [process, lines] : context) {
    std::stable_sort(lines.begin(), lines.end(), by_time);
    size_t skip = lines.size() - std::min(lines.size(), kMaxContextLines);
    for (size_t i = skip; i < lines.size(); ++i)
      shown.emplace_back(lines[i], process);
  }
  std::stable_sort(shown.begin(), shown.end(),
                   [](const auto& a, const auto& b) {
                     return a.first->time_ms < b.first->time_ms;
                   });
  std::vector<std::string> out;
  for (const auto& [line, process] : shown)
    out.push_back(FormatLine(from_ms, process, *line));
  out.push_back("cause: " + CauseOf(FinalLine(own_lines)));
  return out;
}

}  // namespace banyanloft
