#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>

namespace banyanloft {

/// Whether the work behind a refusal or failure has been run.
enum class RunState : uint8_t {
  kNotRun,   ///< It has not run and never will under this request or key.
  kRan,      ///< It ran to its end.
  kUnknown,  ///< It may or may not have run.
};

/// What a caller may usefully do next.
enum class RetryHint : uint8_t {
  kNo,         ///< Sending the same request again gives the same answer.
  kLater,      ///< A new request may succeed after a pause.
  kResendKey,  ///< Sending the same key again is safe and may reveal the
               ///< outcome.
};

/// The closed list of error kinds. Every refusal and failure of the system is
/// one of these; `ErrorInfoOf` maps each to what the caller sees.
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
};

/// Number of error kinds; they are numbered from 0 without gaps.
inline constexpr size_t kErrorKindCount =
    static_cast<size_t>(ErrorKind::kProtocolError) + 1;

/// One row of the table from error kind to answer.
struct ErrorInfo {
  ErrorKind kind;
  std::string_view name;     ///< Value of the `Banyanloft-Error` header.
  int http_status;           ///< HTTP status code.
  RunState run_state;        ///< Run state, unless the raiser knows better.
  RetryHint retry_hint;      ///< Hint, unless the raiser knows better.
  std::string_view meaning;  ///< One line for operators.
};

/// An error: its kind and a detail for people.
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

/// The table row of an error kind.
const ErrorInfo& ErrorInfoOf(ErrorKind kind);
/// The error kind of a name, if it is one.
std::optional<ErrorKind> ErrorKindFromName(std::string_view name);

/// Names as they stand in headers and metrics.
std::string_view NameOf(RunState state);
std::string_view NameOf(RetryHint hint);
std::string_view NameOf(ErrorKind kind);

}  // namespace banyanloft
