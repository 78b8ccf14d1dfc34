#pragma once

#include <string>
#include <vector>

#include "banyanloft/config/model.h"

namespace banyanloft {

/// Limits of a configuration.
struct ConfigurationLimits {
  size_t services = 1000;
  size_t routes = 10000;
  size_t name_bytes = 200;
  int64_t timeout_ms = 600000;
};

/// One mistake and its path, for example `routes/pledge-register.service`.
struct ConfigurationError {
  std::string path;
  std::string problem;
};

/// Finds every mistake of a configuration. An empty list means that it may be
/// applied: no route points at a missing service or rank, no name is ambiguous.
std::vector<ConfigurationError> ValidateConfiguration(
    const Configuration& configuration, const ConfigurationLimits& limits = {});

}  // namespace banyanloft
