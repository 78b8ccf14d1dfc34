#pragma once

#include <map>
#include <string>

#include "banyanloft/store/platform.h"

namespace banyanloft {

/// In-memory implementation of the object API, used by the stand-in for the
/// platform and as a fake in tests. Watches return the current object at once.
/// Not thread safe.
class MemoryPlatform final : public Platform {
 public:
  /// Largest value that is accepted, in bytes.
  static constexpr size_t kMaxValueBytes = 1024 * 1024;

  PlatformReply Do(const PlatformCall& call) override;
  void Erase(const std::string& key) { objects_.erase(key); }
  uint64_t LastRevision() const { return last_revision_; }

 private:
  PlatformReply Write(const PlatformCall& call);

  std::map<std::string, PlatformObject> objects_;
  uint64_t last_revision_ = 0;
};

}  // namespace banyanloft
