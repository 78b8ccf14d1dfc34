#pragma once

#include "banyanloft/store/platform_message.h"

namespace banyanloft {

/// The platform's object API as operators' programs use it: each call blocks
/// until it is answered or its time is over. Error kPlatformUnavailable leaves
/// open whether a write took effect. Not thread safe.
class Platform {
 public:
  virtual ~Platform() = default;
  /// Makes one call.
  virtual PlatformReply Do(const PlatformCall& call) = 0;
};

}  // namespace banyanloft
