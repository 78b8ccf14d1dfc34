#pragma once

#include <string>

#include "banyanloft/config/model.h"

namespace banyanloft {

/// Formats a configuration as readable text in a stable order. Resources are
/// shown by their name in the scheme with index `scheme`, or by id if they have
/// none or `scheme` is negative.
std::string PrintConfiguration(const Configuration& configuration, int scheme);
/// Lines removed (`-`) and added (`+`) between the texts of `before` and
/// `after`; empty if they are equal.
std::string DiffConfigurations(const Configuration& before,
                               const Configuration& after, int scheme);

}  // namespace banyanloft
