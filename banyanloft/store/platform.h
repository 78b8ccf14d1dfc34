#pragma once

#include "banyanloft/store/platform_message.h"

namespace banyanloft {

/// Blocking interface to the platform's object API, for the operator programs.
/// Each call returns when it is answered or timed out. After the error
/// kPlatformUnavailable it is unknown whether a write took effect. Not thread
/// safe.
class Platform {
 public:
  virtual ~Platform() = default;
  /// Executes one call.
  virtual PlatformReply Do(const PlatformCall& call) = 0;
};

}  // namespace banyanloft
