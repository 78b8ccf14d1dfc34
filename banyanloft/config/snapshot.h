#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>

#include "banyanloft/config/codec.h"
#include "banyanloft/config/model.h"
#include "banyanloft/core/error.h"

namespace banyanloft {

/// A complete, validated and immutable version of the configuration. Calls in
/// flight keep the snapshot that they started with.
class Snapshot {
 public:
  /// Verifies `pieces` against `manifest_hash`, parses and validates them.
  /// Fails on any error; there is no partial snapshot.
  static Result<std::shared_ptr<const Snapshot>> Create(
      uint64_t version, std::string manifest_hash, std::string change_id,
      Pieces pieces);

  uint64_t Version() const { return version_; }
  const std::string& ManifestHash() const { return manifest_hash_; }
  const std::string& ChangeId() const { return change_id_; }
  const Configuration& Config() const { return configuration_; }
  const Pieces& AllPieces() const { return pieces_; }
  const Manifest& PieceHashes() const { return manifest_; }

  /// Finds a route by id or by a name in any scheme; nullptr if unknown.
  const Route* FindRoute(std::string_view name) const;
  /// Finds a service by id or by a name in any scheme; nullptr if unknown.
  const Service* FindService(std::string_view name) const;

 private:
  Snapshot() = default;
  void IndexNames();

  uint64_t version_ = 0;
  std::string manifest_hash_;
  std::string change_id_;
  Pieces pieces_;
  Manifest manifest_;
  Configuration configuration_;
  std::unordered_map<std::string, const Route*> routes_by_name_;
  std::unordered_map<std::string, const Service*> services_by_name_;
};

using SnapshotPtr = std::shared_ptr<const Snapshot>;

}  // namespace banyanloft
