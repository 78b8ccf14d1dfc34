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
/// Time after which a call counts as lost, in ms.
int64_t PlatformTimeoutMs(const PlatformCall& call, int64_t base_ms);
/// The reply that an HTTP outcome means.
PlatformReply PlatformReplyOf(const PlatformCall& call,
                              const HttpOutcome& outcome);

}  // namespace banyanloft
