#include "banyanloft/store/memory_platform.h"

namespace banyanloft {

PlatformReply MemoryPlatform::Do(const PlatformCall& call) {
  if (call.type == PlatformCall::Type::kWrite) return Write(call);
  PlatformReply reply;
  reply.id = call.id;
  if (call.type == PlatformCall::Type::kList) {
    for (auto it = objects_.lower_bound(call.key); it != objects_.end(); ++it) {
      if (it->first.compare(0, call.key.size(), call.key) != 0) break;
      reply.objects.push_back(it->second);
    }
    return reply;
  }
  auto it = objects_.find(call.key);
  if (it == objects_.end()) return reply;
  reply.objects.push_back(it->second);
  reply.revision = it->second.revision;
  return reply;
}

PlatformReply MemoryPlatform::Write(const PlatformCall& call) {
  PlatformReply reply;
  reply.id = call.id;
  auto it = objects_.find(call.key);
  uint64_t revision = it == objects_.end() ? 0 : it->second.revision;
  if (call.expected_revision && *call.expected_revision != revision) {
    reply.error = Error{ErrorKind::kConflict, "the revision has moved on"};
    return reply;
  }
  if (call.value.size() > kMaxValueBytes) {
    reply.error =
        Error{ErrorKind::kOversizedRequest, "the value is over a megabyte"};
    return reply;
  }
  if (call.is_status && it == objects_.end()) {
    reply.error = Error{ErrorKind::kPlatformUnavailable, "no such object"};
    return reply;
  }
  reply.revision = ++last_revision_;
  PlatformObject& object = objects_[call.key];
  object.key = call.key;
  object.revision = reply.revision;
  (call.is_status ? object.status : object.value) = call.value;
  return reply;
}

}  // namespace banyanloft
