#include "banyanloft/daemon/caller_api.h"

#include <charconv>

#include "banyanloft/config/json.h"

namespace banyanloft::caller_api {
namespace {

constexpr char kCallPrefix[] = "/call/";
constexpr char kKeysPrefix[] = "/keys/";
constexpr size_t kMaxHeaderBytes = 256;
constexpr int64_t kMaxTimeoutMs = 3600000;
constexpr int kMaxDepthValue = 1000;

bool StartsWith(const std::string& text, const std::string& prefix) {
  return text.compare(0, prefix.size(), prefix) == 0;
}

/// Parses an integer in [0, max]; an absent header yields 0.
bool ParseNumber(std::string_view text, int64_t max, int64_t* value) {
  *value = 0;
  if (text.empty()) return true;
  auto [end, error] =
      std::from_chars(text.data(), text.data() + text.size(), *value);
  return error == std::errc() && end == text.data() + text.size() &&
         *value >= 0 && *value <= max;
}

Error Malformed(std::string detail) {
  return Error{ErrorKind::kMalformedRequest, std::move(detail)};
}

HttpResponse ErrorResponse(ErrorKind kind, RunState run, RetryHint hint,
                           const std::string& detail) {
  const ErrorInfo& row = ErrorInfoOf(kind);
  HttpResponse response;
  response.status = row.http_status;
  response.content_type = "application/json";
  response.headers = {{kErrorHeader, std::string(row.name)},
                      {kRunHeader, std::string(NameOf(run))},
                      {kRetryHeader, std::string(NameOf(hint))}};
  response.body = Json{{"error", row.name},
                       {"run", NameOf(run)},
                       {"retry", NameOf(hint)},
                       {"meaning", row.meaning},
                       {"detail", detail}}
                      .dump(-1, ' ', false, Json::error_handler_t::replace) +
                  "\n";
  return response;
}

Result<CallerRequest> ParseCall(HttpRequest request, std::string name) {
  CallRequest call;
  call.name = std::move(name);
  call.key = std::string(HeaderOf(request.headers, kKeyHeader));
  call.rank = std::string(HeaderOf(request.headers, kRankHeader));
  if (call.key.size() > kMaxHeaderBytes || call.rank.size() > kMaxHeaderBytes) {
    return Malformed("a header value is too long");
  }
  int64_t depth = 0;
  if (!ParseNumber(HeaderOf(request.headers, kTimeoutHeader), kMaxTimeoutMs,
                   &call.timeout_ms)) {
    return Malformed(std::string(kTimeoutHeader) + " is not a number of ms");
  }
  if (!ParseNumber(HeaderOf(request.headers, kDepthHeader), kMaxDepthValue,
                   &depth)) {
    return Malformed(std::string(kDepthHeader) + " is not a number");
  }
  call.depth = static_cast<int>(depth);
  call.content_type = std::string(HeaderOf(request.headers, "Content-Type"));
  call.body = std::move(request.body);
  return CallerRequest(std::move(call));
}

}  // namespace

Result<CallerRequest> ParseCallerRequest(HttpRequest request) {
  std::string path = PathOf(request.target);
  bool call = StartsWith(path, kCallPrefix);
  bool keys = StartsWith(path, kKeysPrefix);
  if (!call && !keys)
    return Malformed("the path is neither /call/NAME nor /keys/NAME");
  if (request.method != "POST" && request.method != "GET")
    return Malformed("the method is not GET or POST");
  std::string name = path.substr(sizeof(kCallPrefix) - 1);
  if (name.empty() || name.size() > kMaxHeaderBytes)
    return Malformed("the name is empty or too long");
  if (keys) return CallerRequest(IssueKeyRequest{std::move(name)});
  return ParseCall(std::move(request), std::move(name));
}

HttpResponse ResponseOf(CallAnswer answer) {
  RunOutcome& outcome = answer.outcome;
  HttpResponse response;
  if (outcome.error) {
    response = ErrorResponse(*outcome.error, outcome.run_state, answer.hint,
                             outcome.detail);
  } else {
    response.status = outcome.http_status;
    response.content_type = outcome.content_type;
    response.headers.emplace_back(kRunHeader,
                                  std::string(NameOf(outcome.run_state)));
    response.body = std::move(outcome.body);
  }
  if (answer.retried) response.headers.emplace_back(kRetriedHeader, "1");
  if (!answer.target.empty())
    response.headers.emplace_back(kTargetHeader, answer.target);
  response.headers.emplace_back(kVersionHeader, std::to_string(answer.version));
  return response;
}

HttpResponse KeyResponseOf(const std::string& key,
                           const std::optional<ErrorKind>& error) {
  if (error) {
    return ErrorResponse(*error, RunState::kNotRun,
                         ErrorInfoOf(*error).retry_hint, "no key was issued");
  }
  HttpResponse response;
  response.headers.emplace_back(kKeyHeader, key);
  response.body = key + "\n";
  return response;
}

HttpResponse RefusalResponse(ErrorKind kind, const std::string& detail,
                             bool has_key) {
  // Duplicates of a call with an idempotency key may have arrived through other
  // daemons; only the daemon that issued the key knows whether it has run.
  const ErrorInfo& row = ErrorInfoOf(kind);
  RunState run = has_key ? RunState::kUnknown : row.run_state;
  RetryHint hint = has_key ? RetryHint::kResendKey : row.retry_hint;
  return ErrorResponse(kind, run, hint, detail);
}

}  // namespace banyanloft::caller_api
