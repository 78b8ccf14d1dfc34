#pragma once

#include <map>
#include <string>

#include "banyanloft/config/model.h"
#include "banyanloft/core/error.h"

namespace banyanloft {

/// Parses the operators' JSON file. Services may be referenced by id or by a
/// name in any scheme; names are resolved to ids.
Result<Configuration> ConfigurationFromJson(const std::string& text);
/// Serializes a configuration to the operators' JSON format, in a stable order.
std::string ConfigurationToJson(const Configuration& configuration);

/// Stored form of a configuration, by piece name: one piece per service with
/// its routes, and a base piece with schemes, ranks and flows.
using Pieces = std::map<std::string, std::string>;

/// Splits a configuration into pieces; equal configurations give equal bytes.
Pieces SplitIntoPieces(const Configuration& configuration);
/// Parses pieces into a configuration. Fails if any piece is malformed.
Result<Configuration> JoinPieces(const Pieces& pieces);

/// Serializes all pieces into one text, and back. Parsing fails on malformed
/// text.
std::string BundleToJson(const Pieces& pieces);
Result<Pieces> BundleFromJson(const std::string& text);

/// Content hash of each piece of a configuration, by piece name.
struct Manifest {
  std::map<std::string, std::string> piece_hashes;
};

Manifest ManifestOf(const Pieces& pieces);
std::string ManifestToJson(const Manifest& manifest);
Result<Manifest> ManifestFromJson(const std::string& text);

}  // namespace banyanloft
