#pragma once

#include "banyanloft/http/http_client.h"
#include "banyanloft/store/platform_message.h"

namespace banyanloft {

/// The platform's object API over HTTP:
///   GET /objects/KEY[?after=REVISION&wait_ms=N]  one object, `Revision` header
///   GET /list/PREFIX                             JSON list of objects
///   PUT /objects/KEY with `If-Revision: N`       conditional write; 409 if not
///   N
HttpRequest PlatformRequestOf(const PlatformCall& call);
/// Timeout of a call, in ms; that of a watch includes its wait.
int64_t PlatformTimeoutMs(const PlatformCall& call, int64_t base_ms);
/// Converts an HTTP outcome to a reply.
PlatformReply PlatformReplyOf(const PlatformCall& call,
                              const HttpOutcome& outcome);

}  // namespace banyanloft
