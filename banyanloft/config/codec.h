#pragma once

#include <map>
#include <string>

#include "banyanloft/config/model.h"
#include "banyanloft/core/error.h"

namespace banyanloft {

/// Reads the operators' JSON file. Names of any scheme may stand wherever a
/// service is meant; they are resolved to ids here.
Result<Configuration> ConfigurationFromJson(const std::string& text);
/// The operators' JSON file of a configuration, in a stable order.
std::string ConfigurationToJson(const Configuration& configuration);

/// A configuration as stored: one piece per service with its routes, and one
/// base piece with schemes, ranks and flows. Keys are piece names.
using Pieces = std::map<std::string, std::string>;

/// Splits a configuration; equal configurations give equal bytes.
Pieces SplitIntoPieces(const Configuration& configuration);
/// Puts pieces together again. Fails on any malformed piece.
Result<Configuration> JoinPieces(const Pieces& pieces);

/// All pieces in one text, and back. Fails on malformed text.
std::string BundleToJson(const Pieces& pieces);
Result<Pieces> BundleFromJson(const std::string& text);

/// The content address of each piece of a configuration.
struct Manifest {
  std::map<std::string, std::string> piece_hashes;
};

/// Manifest of a set of pieces.
Manifest ManifestOf(const Pieces& pieces);
std::string ManifestToJson(const Manifest& manifest);
Result<Manifest> ManifestFromJson(const std::string& text);

}  // namespace banyanloft
