#pragma once

#include "banyanloft/http/http_message.h"

namespace banyanloft {

/// Why a request that could be parsed must be refused nevertheless, because
/// HTTP forbids clients to send it; nullptr if it is valid. Such a request
/// could not be forwarded unchanged. Source: RFC 9110, RFC 9112.
const char* InvalidRequestReason(const HttpRequest& request);

}  // namespace banyanloft
