#pragma once

#include <optional>

#include "banyanloft/core/error.h"
#include "banyanloft/http/http_client.h"
#include "banyanloft/store/platform_message.h"

namespace banyanloft {

/// What the HTTP outcome of a call to the store says before its body is read.
struct CallOutcome {
  std::optional<Error> error;
  bool has_body = false;  ///< False with an error, and for an object that is
                          ///< not there.
};
CallOutcome CallOutcomeOf(const PlatformCall& call, const HttpOutcome& outcome);

/// A call that did nothing, as far as is known.
Error StoreUnavailable(const std::string& detail);

}  // namespace banyanloft
