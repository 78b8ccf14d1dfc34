#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "banyanloft/core/error.h"

namespace banyanloft {

/// One accepted change of configuration.
struct HeadEntry {
  uint64_t version = 0;
  std::string manifest_hash;
  std::string change_id;  ///< Drawn by the operator's program; unique.
  std::string author;     ///< Who applied the change.
  std::string note;       ///< Why, in the operator's words.
};

/// The platform object whose conditional update is the acceptance of a change:
/// the version in force and those before it, newest first.
struct Head {
  /// Most entries kept, the newest included.
  static constexpr size_t kHistory = 50;

  std::vector<HeadEntry> entries;

  /// The version to be in force; version 0 if nothing was ever accepted.
  HeadEntry Newest() const {
    return entries.empty() ? HeadEntry() : entries.front();
  }
  /// The entry of a change; nullptr if it is not in the history.
  const HeadEntry* FindChange(const std::string& change_id) const;
  /// The entry of a version; nullptr if it is not in the history.
  const HeadEntry* FindVersion(uint64_t version) const;
};

std::string HeadToJson(const Head& head);
Result<Head> HeadFromJson(const std::string& text);

/// Keys of the project's objects in the platform.
std::string HeadKey();
std::string ManifestKey(const std::string& manifest_hash);
std::string PieceKey(const std::string& piece_hash);
/// All pieces of a version in one object, for daemons that hold none yet.
std::string BundleKey(const std::string& manifest_hash);
std::string ZoneStatusKey(const std::string& zone);
/// Prefix of all zone status objects.
std::string ZoneStatusPrefix();

}  // namespace banyanloft
