#pragma once

#include <string>
#include <vector>

#include "banyanloft/mesh/sidecar_settings.h"

namespace banyanloft {

/// Differences between the settings in use and those of the file; each entry
/// gives the name and both values.
struct SettingsChange {
  std::vector<std::string> applied;     ///< Take effect immediately.
  std::vector<std::string> at_restart;  ///< Need a restart, for example ports.

  bool Empty() const { return applied.empty() && at_restart.empty(); }
};

/// Compares two sets of settings. Values generated at each start, such as the
/// seed, are not compared.
SettingsChange CompareSettings(const SidecarSettings& in_use,
                               const SidecarSettings& next);

}  // namespace banyanloft
