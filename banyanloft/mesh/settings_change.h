#pragma once

#include <string>
#include <vector>

#include "banyanloft/mesh/sidecar_settings.h"

namespace banyanloft {

/// What differs between the settings in use and those of the file, by name and
/// with both values.
struct SettingsChange {
  std::vector<std::string> applied;     ///< Come into force at once.
  std::vector<std::string> at_restart;  ///< Take a restart, for example ports.

  bool Empty() const { return applied.empty() && at_restart.empty(); }
};

/// Compares two settings. Those that a program draws at each start, such as the
/// seed, are left out.
SettingsChange CompareSettings(const SidecarSettings& in_use,
                               const SidecarSettings& next);

}  // namespace banyanloft
