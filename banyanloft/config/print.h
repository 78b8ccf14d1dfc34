#pragma once

#include <string>

#include "banyanloft/config/model.h"

namespace banyanloft {

/// Readable text of a configuration in a stable order, naming resources by the
/// scheme of index `scheme` where they have such a name, by id otherwise;
/// by id throughout if `scheme` is negative.
std::string PrintConfiguration(const Configuration& configuration, int scheme);
/// Lines that `after` drops from (`-`) and adds to (`+`) the text of `before`;
/// empty if the texts are equal.
std::string DiffConfigurations(const Configuration& before,
                               const Configuration& after, int scheme);

}  // namespace banyanloft
