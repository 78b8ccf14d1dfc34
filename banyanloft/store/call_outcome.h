#pragma once

#include <optional>

#include "banyanloft/core/error.h"
#include "banyanloft/http/http_client.h"
#include "banyanloft/store/platform_message.h"

namespace banyanloft {

/// What the HTTP status of a store call tells, before the body is parsed.
struct CallOutcome {
  std::optional<Error> error;
  bool has_body = false;  ///< False on error, and if the object does not exist.
};
CallOutcome CallOutcomeOf(const PlatformCall& call, const HttpOutcome& outcome);

/// Error of a call without a valid answer; a write may have taken effect.
Error StoreUnavailable(const std::string& detail);

}  // namespace banyanloft
