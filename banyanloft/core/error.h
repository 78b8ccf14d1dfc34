#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>

namespace banyanloft {

/// Whether the work of a rejected or failed request has run.
enum class RunState : uint8_t {
  kNotRun,   ///< It has not run and never will under this request or key.
  kRan,      ///< It ran to completion.
  kUnknown,  ///< It may or may not have run.
};

/// Whether and how a caller should retry.
enum class RetryHint : uint8_t {
  kNo,         ///< Retrying the same request gives the same answer.
  kLater,      ///< A new request may succeed after a pause.
  kResendKey,  ///< Resending the same idempotency key is safe and may return
               ///< the outcome.
};

/// All error kinds. Every rejection and failure in the system is one of these;
/// `ErrorInfoOf` maps each to what the caller receives.
enum class ErrorKind : uint8_t {
  kMalformedRequest,
  kOversizedRequest,
  kSlowRequest,
  kUnknownRoute,
  kKeyMissing,
  kKeyInvalid,
  kKeyExpired,
  kDepthExceeded,
  kNotReady,
  kNoTarget,
  kOverloaded,
  kEarlyRefused,
  kDeadlineUnmeetable,
  kDraining,
  kCrashSuspect,
  kHomeLost,
  kHomeUnreachable,
  kTargetUnreachable,
  kTargetLost,
  kTimeout,
  kBackendUnavailable,
  kBackendBroken,
  kBackendShed,
  kOutcomesFull,
  kAnswerTooLarge,
  kAnswerForgotten,
  kQueueFull,
  kCancelled,
  kPlatformUnavailable,
  kConflict,
  kHistoryLost,
  kInvalidConfiguration,
  kProtocolError,
  kUnknownApiKey,
  kQuotaExceeded,
};

/// Number of error kinds; they are numbered from 0 without gaps.
inline constexpr size_t kErrorKindCount =
    static_cast<size_t>(ErrorKind::kQuotaExceeded) + 1;

/// How an error kind is presented to callers.
struct ErrorInfo {
  ErrorKind kind;
  std::string_view name;     ///< Value of the `Banyanloft-Error` header.
  int http_status;           ///< HTTP status code.
  RunState run_state;        ///< Default; the code that fails may override it.
  RetryHint retry_hint;      ///< Default; the code that fails may override it.
  std::string_view meaning;  ///< One-line description for operators.
};

/// An error: its kind and a human-readable detail.
struct Error {
  ErrorKind kind = ErrorKind::kProtocolError;
  std::string detail;
};

/// Either a value or an error.
template <typename T>
using Result = std::variant<T, Error>;

/// The value of a result, or nullptr if it holds an error.
template <typename T>
T* ValueOf(Result<T>& result) {
  return std::get_if<0>(&result);
}
template <typename T>
const T* ValueOf(const Result<T>& result) {
  return std::get_if<0>(&result);
}
/// The error of a result, or nullptr if it holds a value.
template <typename T>
const Error* ErrorOf(const Result<T>& result) {
  return std::get_if<1>(&result);
}

/// Presentation of an error kind.
const ErrorInfo& ErrorInfoOf(ErrorKind kind);
/// The error kind with the given name, if there is one.
std::optional<ErrorKind> ErrorKindFromName(std::string_view name);

/// Names used in headers and metrics.
std::string_view NameOf(RunState state);
std::string_view NameOf(RetryHint hint);
std::string_view NameOf(ErrorKind kind);

}  // namespace banyanloft
