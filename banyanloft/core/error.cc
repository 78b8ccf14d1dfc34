#include "banyanloft/core/error.h"

#include <array>
#include <cassert>

namespace banyanloft {
namespace {

using K = ErrorKind;
using S = RunState;
using H = RetryHint;

constexpr std::array<ErrorInfo, kErrorKindCount> kErrors = {{
    {K::kMalformedRequest, "malformed_request", 400, S::kNotRun, H::kNo,
     "the request breaks the caller interface"},
    {K::kOversizedRequest, "oversized_request", 413, S::kNotRun, H::kNo,
     "head or body is over its limit"},
    {K::kSlowRequest, "slow_request", 408, S::kNotRun, H::kLater,
     "the request did not arrive in time"},
    {K::kUnknownRoute, "unknown_route", 404, S::kNotRun, H::kNo,
     "no route has this name in any scheme"},
    {K::kKeyMissing, "key_missing", 428, S::kNotRun, H::kNo,
     "the route requires a key; take one first"},
    {K::kKeyInvalid, "key_invalid", 400, S::kNotRun, H::kNo,
     "the key was not issued by this system for this route"},
    {K::kKeyExpired, "key_expired", 410, S::kUnknown, H::kNo,
     "the key is older than outcomes are remembered"},
    {K::kDepthExceeded, "depth_exceeded", 508, S::kNotRun, H::kNo,
     "the chain of calls is too deep"},
    {K::kNotReady, "not_ready", 503, S::kNotRun, H::kLater,
     "this daemon holds no configuration yet"},
    {K::kNoTarget, "no_target", 503, S::kNotRun, H::kLater,
     "no target of the service can take work"},
    {K::kOverloaded, "overloaded", 503, S::kNotRun, H::kLater,
     "the wait at the target exceeds its bound"},
    {K::kEarlyRefused, "early_refused", 503, S::kNotRun, H::kLater,
     "targets admit too little of this rank now"},
    {K::kDeadlineUnmeetable, "deadline_unmeetable", 504, S::kNotRun, H::kLater,
     "the deadline cannot be met"},
    {K::kDraining, "draining", 503, S::kNotRun, H::kLater,
     "the target is leaving and takes no new work"},
    {K::kCrashSuspect, "crash_suspect", 422, S::kNotRun, H::kNo,
     "this request crashed backend servers before"},
    {K::kHomeLost, "home_lost", 502, S::kUnknown, H::kNo,
     "the only daemon that may run this key is gone"},
    {K::kHomeUnreachable, "home_unreachable", 502, S::kUnknown, H::kResendKey,
     "the key's daemon cannot be reached now"},
    {K::kTargetUnreachable, "target_unreachable", 502, S::kNotRun, H::kLater,
     "the request never left for the target"},
    {K::kTargetLost, "target_lost", 502, S::kUnknown, H::kNo,
     "the target was lost while it had the request"},
    {K::kTimeout, "timeout", 504, S::kUnknown, H::kNo,
     "no answer before the deadline"},
    {K::kBackendUnavailable, "backend_unavailable", 503, S::kNotRun, H::kLater,
     "the backend server took no connection"},
    {K::kBackendBroken, "backend_broken", 502, S::kUnknown, H::kNo,
     "the backend server's answer was cut off"},
    {K::kBackendShed, "backend_shed", 503, S::kNotRun, H::kLater,
     "the backend server refused the work unrun"},
    {K::kOutcomesFull, "outcomes_full", 503, S::kUnknown, H::kResendKey,
     "the table of outcomes is full"},
    {K::kAnswerTooLarge, "answer_too_large", 502, S::kRan, H::kNo,
     "it ran; its answer is over the limit"},
    {K::kAnswerForgotten, "answer_forgotten", 409, S::kRan, H::kNo,
     "it ran; its answer was too large to keep"},
    {K::kQueueFull, "queue_full", 503, S::kNotRun, H::kLater,
     "a queue inside this daemon is full"},
    {K::kCancelled, "cancelled", 499, S::kUnknown, H::kNo,
     "the caller withdrew the request"},
    {K::kPlatformUnavailable, "platform_unavailable", 503, S::kUnknown,
     H::kLater, "the platform did not answer"},
    {K::kConflict, "conflict", 409, S::kNotRun, H::kNo,
     "another change was accepted first"},
    {K::kHistoryLost, "history_lost", 410, S::kNotRun, H::kLater,
     "the platform no longer keeps the history asked for"},
    {K::kInvalidConfiguration, "invalid_configuration", 422, S::kNotRun, H::kNo,
     "the configuration breaks a rule"},
    {K::kProtocolError, "protocol_error", 502, S::kUnknown, H::kNo,
     "a message breaks the protocol"},
    {K::kUnknownApiKey, "unknown_api_key", 401, S::kNotRun, H::kNo,
     "the request carries no API key of a client account"},
    {K::kQuotaExceeded, "quota_exceeded", 429, S::kNotRun, H::kLater,
     "the client account is over its request quota"},
}};

}  // namespace

const ErrorInfo& ErrorInfoOf(ErrorKind kind) {
  const ErrorInfo& info = kErrors[static_cast<size_t>(kind)];
  assert(info.kind == kind);
  return info;
}

std::optional<ErrorKind> ErrorKindFromName(std::string_view name) {
  for (const ErrorInfo& info : kErrors) {
    if (info.name == name) return info.kind;
  }
  return std::nullopt;
}

std::string_view NameOf(RunState state) {
  constexpr std::array<std::string_view, 3> kNames = {"not_run", "ran",
                                                      "unknown"};
  return kNames[static_cast<size_t>(state)];
}

std::string_view NameOf(RetryHint hint) {
  constexpr std::array<std::string_view, 3> kNames = {"no", "later",
                                                      "resend_key"};
  return kNames[static_cast<size_t>(hint)];
}

std::string_view NameOf(ErrorKind kind) { return ErrorInfoOf(kind).name; }

}  // namespace banyanloft
