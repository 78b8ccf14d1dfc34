#include "banyanloft/http/request_check.h"

namespace banyanloft {

const char* InvalidRequestReason(const HttpRequest& request) {
  // RFC 9110, section 9.3.8.
  if (request.method == "TRACE" && !request.body.empty())
    return "TRACE with content";
  return nullptr;
}

}  // namespace banyanloft
