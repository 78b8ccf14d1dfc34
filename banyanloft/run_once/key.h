#pragma once

#include <cstdint>
#include <string>

#include "banyanloft/core/error.h"

namespace banyanloft {

/// Identity of one daemon process, drawn at its start and never used again.
using MemberId = uint64_t;
/// A member's identity as it stands in logs: 16 hexadecimal digits.
std::string MemberName(MemberId id);

/// A key under which one non-idempotent call may run. It names its home: the
/// only daemon process that may ever run it.
struct RunKey {
  MemberId home = 0;
  uint64_t epoch = 0;  ///< Epoch of the home in which the key was issued.
  uint64_t nonce = 0;  ///< Distinguishes the keys of one epoch.
  std::string route;   ///< Id of the route the key is good for.
};

/// Text of a key as callers carry it, sealed with the fleet's secret.
std::string FormatKey(const RunKey& key, const std::string& secret);
/// Parses and checks a key for `route`. Fails with kKeyInvalid.
Result<RunKey> ParseKey(const std::string& text, const std::string& route,
                        const std::string& secret);

}  // namespace banyanloft
