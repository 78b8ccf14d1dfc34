#pragma once

#include <cstdint>
#include <string>

#include "banyanloft/core/error.h"

namespace banyanloft {

/// Identity of one daemon process, chosen at random at its start and never
/// reused.
using MemberId = uint64_t;
/// Textual form of a member's identity: 16 hexadecimal digits.
std::string MemberName(MemberId id);

/// Idempotency key of one call that must not run more than once. It names its
/// home: the daemon process that issued it, the only one that may run the call.
struct RunKey {
  MemberId home = 0;
  uint64_t epoch = 0;  ///< Epoch of the home at the time of issue.
  uint64_t nonce = 0;  ///< Distinguishes the keys of one epoch.
  std::string route;   ///< Id of the route for which the key is valid.
};

/// Textual form of a key, authenticated with the fleet's secret.
std::string FormatKey(const RunKey& key, const std::string& secret);
/// Parses and verifies a key for `route`. Fails with kKeyInvalid.
Result<RunKey> ParseKey(const std::string& text, const std::string& route,
                        const std::string& secret);

}  // namespace banyanloft
