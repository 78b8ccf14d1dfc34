#pragma once

#include <optional>
#include <string>
#include <variant>

#include "banyanloft/calls/call_types.h"
#include "banyanloft/http/http_message.h"

namespace banyanloft {

/// The callers' interface, plain HTTP:
///   POST /call/NAME  runs the route of that name (any scheme)
///   POST /keys/NAME  takes a key for the route
/// Request headers: Banyanloft-Key, -Rank, -Timeout-Ms, -Depth.
/// Answer headers: Banyanloft-Run, -Error, -Retry, -Retried, -Target, -Version,
/// -Key.
namespace caller_api {

inline constexpr char kKeyHeader[] = "Banyanloft-Key";
inline constexpr char kRankHeader[] = "Banyanloft-Rank";
inline constexpr char kTimeoutHeader[] = "Banyanloft-Timeout-Ms";
inline constexpr char kDepthHeader[] = "Banyanloft-Depth";
inline constexpr char kRunHeader[] = "Banyanloft-Run";
inline constexpr char kErrorHeader[] = "Banyanloft-Error";
inline constexpr char kRetryHeader[] = "Banyanloft-Retry";
inline constexpr char kRetriedHeader[] = "Banyanloft-Retried";
/// Set by a backend server that refused work before running any of it. It has
/// a name of its own, so that a relayed answer of a deeper call is not taken
/// for the backend server's word.
inline constexpr char kShedHeader[] = "Banyanloft-Shed";
inline constexpr char kTargetHeader[] = "Banyanloft-Target";
inline constexpr char kVersionHeader[] = "Banyanloft-Version";

/// A request for a key.
struct IssueKeyRequest {
  std::string name;
};
/// What a caller asks for.
using CallerRequest = std::variant<CallRequest, IssueKeyRequest>;

/// Reads a caller's request; an error if it breaks the interface.
Result<CallerRequest> ParseCallerRequest(HttpRequest request);
/// The HTTP answer of a call.
HttpResponse ResponseOf(CallAnswer answer);
/// The HTTP answer of a request for a key.
HttpResponse KeyResponseOf(const std::string& key,
                           const std::optional<ErrorKind>& error);
/// The HTTP answer of a refusal at the interface itself.
HttpResponse RefusalResponse(ErrorKind kind, const std::string& detail,
                             bool has_key);

}  // namespace caller_api
}  // namespace banyanloft
