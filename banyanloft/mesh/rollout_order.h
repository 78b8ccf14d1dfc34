#pragma once

#include <cstdint>
#include <string>

#include "banyanloft/membership/rollout_state.h"

namespace banyanloft {

/// Entry of the store that orders a roll-out, and the status that the fleet
/// wrote to it.
struct RolloutOrder {
  std::string service;
  std::string to_version;
  int64_t duration_ms = 0;
  std::string status_version;  ///< `to_version` of the status; empty: none.
  RolloutPhase status = RolloutPhase::kRunning;

  /// Whether the status belongs to this order and not to an earlier one.
  bool HasStatus() const {
    return !status_version.empty() && status_version == to_version;
  }
};

}  // namespace banyanloft
