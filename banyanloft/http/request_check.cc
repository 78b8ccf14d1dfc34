#include "banyanloft/http/request_check.h"

#include <algorithm>

namespace banyanloft {
namespace {

constexpr std::string_view kHost = "host";
constexpr std::string_view kTransferEncoding = "transfer-encoding";

size_t CountOf(const HttpHeaders& headers, std::string_view name) {
  return static_cast<size_t>(
      std::count_if(headers.begin(), headers.end(), [&](const auto& header) {
        return EqualsIgnoreCase(header.first, name);
      }));
}

/// Whether the length of the body is unknown: the parser decodes one `chunked`
/// coding and takes a body with any other for empty.
bool HasUnknownLength(const HttpHeaders& headers) {
  size_t codings = CountOf(headers, kTransferEncoding);
  if (codings == 0) return false;
  return codings > 1 ||
         !EqualsIgnoreCase(HeaderOf(headers, kTransferEncoding), "chunked");
}

}  // namespace

const char* InvalidRequestReason(const HttpRequest& request) {
  // RFC 9112, section 6.3.
  if (HasUnknownLength(request.headers)) return "unknown transfer coding";
  // RFC 9112, section 3.2.
  if (CountOf(request.headers, kHost) > 1) return "several Host headers";
  // RFC 9110, section 9.3.8.
  if (request.method == "TRACE" && !request.body.empty())
    return "TRACE with content";
  return nullptr;
}

}  // namespace banyanloft
