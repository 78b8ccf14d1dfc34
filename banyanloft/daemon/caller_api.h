#pragma once

#include <optional>
#include <string>
#include <variant>

#include "banyanloft/calls/call_types.h"
#include "banyanloft/http/http_message.h"

namespace banyanloft {

/// HTTP API for callers:
///   POST /call/NAME  runs the route with that name, in any naming scheme
///   POST /keys/NAME  issues an idempotency key for the route
/// Request headers: Banyanloft-Key, -Rank, -Timeout-Ms, -Depth.
/// Response headers: Banyanloft-Run, -Error, -Retry, -Retried, -Target,
/// -Version, -Key.
namespace caller_api {

inline constexpr char kKeyHeader[] = "Banyanloft-Key";
inline constexpr char kRankHeader[] = "Banyanloft-Rank";
inline constexpr char kTimeoutHeader[] = "Banyanloft-Timeout-Ms";
inline constexpr char kDepthHeader[] = "Banyanloft-Depth";
inline constexpr char kRunHeader[] = "Banyanloft-Run";
inline constexpr char kErrorHeader[] = "Banyanloft-Error";
inline constexpr char kRetryHeader[] = "Banyanloft-Retry";
inline constexpr char kRetriedHeader[] = "Banyanloft-Retried";
/// Set by a backend server that rejects a request before executing any of it.
/// It has a separate name, so that a relayed response of a nested call is not
/// mistaken for the backend server's own rejection.
inline constexpr char kShedHeader[] = "Banyanloft-Shed";
inline constexpr char kTargetHeader[] = "Banyanloft-Target";
inline constexpr char kVersionHeader[] = "Banyanloft-Version";

/// A request for an idempotency key.
struct IssueKeyRequest {
  std::string name;
};
/// Any request that a caller can send.
using CallerRequest = std::variant<CallRequest, IssueKeyRequest>;

/// Parses a caller's request; returns an error if it violates the API.
Result<CallerRequest> ParseCallerRequest(HttpRequest request);
/// HTTP response to a call.
HttpResponse ResponseOf(CallAnswer answer);
/// HTTP response to a request for an idempotency key.
HttpResponse KeyResponseOf(const std::string& key,
                           const std::optional<ErrorKind>& error);
/// HTTP response to a request that is rejected before it is dispatched.
HttpResponse RefusalResponse(ErrorKind kind, const std::string& detail,
                             bool has_key);

}  // namespace caller_api
}  // namespace banyanloft
