#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "banyanloft/core/error.h"

namespace banyanloft {

/// An object in the platform's store.
struct PlatformObject {
  std::string key;
  uint64_t revision = 0;  ///< Increases with each write of the object; never 0.
  std::string value;
  std::string status{};  ///< Written apart from the value; may be empty.
};

/// One call of the platform's object API.
struct PlatformCall {
  enum class Type : uint8_t { kRead, kList, kWrite };
  uint64_t id = 0;
  Type type = Type::kRead;
  std::string key;  ///< With kList: the prefix.
  std::optional<uint64_t>
      watch_after;           ///< Wait for a change after this revision.
  int64_t wait_ms = 0;       ///< Longest wait of a watch, in ms.
  bool allow_stale = false;  ///< With kList: the answer may be out of date.
  std::string value;         ///< With kWrite.
  /// With kWrite: `value` is the object's status; its value is kept.
  bool is_status = false;
  std::optional<uint64_t>
      expected_revision;  ///< With kWrite: 0 means the object must not exist.
};

/// The answer to a call.
struct PlatformReply {
  uint64_t id = 0;
  std::optional<Error>
      error;  ///< kConflict: the expected revision did not match.
  std::vector<PlatformObject> objects;  ///< Empty if the object does not exist.
  /// With kWrite: the new revision. With kList: the store's revision, from
  /// which a watch may start; 0 if the store reports none.
  uint64_t revision = 0;
  /// Rises each time the store is restored from an older copy, whereby its
  /// revisions go back; 0 if unknown. Also set with an error that the store
  /// itself answered.
  uint64_t generation = 0;
  /// With kList: keys of the objects that a watch saw deleted.
  std::vector<std::string> deleted;
  /// With kList: objects that could not be read and were skipped.
  size_t malformed_objects = 0;
  /// Text of a generation that is no number, for the log.
  std::string malformed_generation;
};

}  // namespace banyanloft
