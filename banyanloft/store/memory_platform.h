#pragma once

#include <map>
#include <string>

#include "banyanloft/store/platform.h"

namespace banyanloft {

/// The object API in memory: the stand-in's store and the tests' fake. Watches
/// are answered at once with the present object. Not thread safe.
class MemoryPlatform final : public Platform {
 public:
  /// Longest value that is stored, in bytes.
  static constexpr size_t kMaxValueBytes = 1024 * 1024;

  PlatformReply Do(const PlatformCall& call) override;

 private:
  PlatformReply Write(const PlatformCall& call);

  std::map<std::string, PlatformObject> objects_;
  uint64_t last_revision_ = 0;
};

}  // namespace banyanloft
