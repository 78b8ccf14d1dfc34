#pragma once

#include <cstdint>
#include <string>

#include "banyanloft/run_once/key.h"

namespace banyanloft {

/// Phase of a roll-out. Of one order, phases only go forward.
enum class RolloutPhase : uint8_t {
  kRunning,
  kStopped,     ///< To be rolled back; the store does not hold that yet.
  kSucceeded,   ///< As held by the store.
  kRolledBack,  ///< As held by the store.
  kRemoved,     ///< The entry was deleted: versions have no effect.
};

const char* NameOf(RolloutPhase phase);

/// State of the roll-out of a service, disseminated by gossip.
struct RolloutState {
  std::string service;
  std::string to_version;
  std::string from_version;  ///< Old version; empty: not known yet.
  uint64_t generation = 0;   ///< Of the store; see PlatformReply.
  uint64_t revision = 0;     ///< Of the object in the store.
  RolloutPhase phase = RolloutPhase::kRunning;
  /// Decision of the deciding member; the highest sequence number is valid.
  uint64_t sequence = 0;
  MemberId decider = 0;    ///< Member that gets the evidence; 0: none yet.
  int share_permille = 0;  ///< Requests that try the new version, in 1/1000.
  /// Servers of the new version that get these requests, if not all do.
  int trial_servers = 0;
  int64_t age_ms = 0;       ///< Time since the order was first seen, in ms.
  int64_t duration_ms = 0;  ///< Time allowed for the roll-out, in ms.
};

}  // namespace banyanloft
