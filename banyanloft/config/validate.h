#pragma once

#include <string>
#include <vector>

#include "banyanloft/config/model.h"

namespace banyanloft {

/// Upper limits enforced by validation.
struct ConfigurationLimits {
  size_t services = 1000;
  size_t routes = 10000;
  size_t name_bytes = 200;
  int64_t timeout_ms = 600000;
};

/// A validation error and its path, for example
/// `routes/pledge-register.service`.
struct ConfigurationError {
  std::string path;
  std::string problem;
};

/// Returns all errors of a configuration. If there are none it may be applied:
/// no route references a missing service or rank and no name is ambiguous.
std::vector<ConfigurationError> ValidateConfiguration(
    const Configuration& configuration, const ConfigurationLimits& limits = {});

}  // namespace banyanloft
