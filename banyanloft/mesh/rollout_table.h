#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "banyanloft/core/time.h"
#include "banyanloft/membership/member.h"
#include "banyanloft/mesh/target_selector.h"

namespace banyanloft {

/// Whether an order has ended, as far as the store tells.
bool IsFinal(RolloutPhase phase);

/// The roll-outs that this daemon knows, and which version's servers they allow
/// for a request. Deterministic; not thread safe.
class RolloutTable {
 public:
  struct Entry {
    RolloutState state;
    TimeMs started;   ///< When the order was first seen by any daemon.
    TimeMs heard_at;  ///< When the sequence number last rose here.
  };
  using VersionOf = std::function<const std::string&(MemberId)>;

  /// What a merge changed that requests or operators notice.
  enum class Change : uint8_t { kNone, kShare, kPhase, kOrder };

  /// Merges a state read from the store or received from a peer.
  Change Merge(TimeMs now, const RolloutState& update);
  /// Changes a state by a decision of this member.
  Entry* Find(const std::string& service);
  const Entry* Find(const std::string& service) const;
  const std::map<std::string, Entry>& Entries() const { return entries_; }
  /// The states with their present ages, to be sent to peers.
  std::vector<RolloutState> States(TimeMs now) const;

  /// This daemon or a peer has read the orders of the store.
  void SetKnown() { known_ = true; }
  bool Known() const { return known_; }

  /// Removes the candidates that the service's order does not allow. `draw`: a
  /// uniform number if the attempt may try the new version.
  void Restrict(const std::string& service, std::optional<uint64_t> draw,
                const VersionOf& version_of,
                std::vector<TargetCandidate>* candidates) const;
  /// Whether requests must not run on a server of this version. `in_trial`: it
  /// is one of the new version's servers that get trial requests.
  bool Refuses(const std::string& service, const std::string& version,
               bool in_trial) const;
  /// Of the ready servers of the new version, those that get trial requests.
  static std::vector<MemberId> TrialServers(const RolloutState& state,
                                            std::vector<MemberId> ready);
  /// The most frequent version other than `excluded`; of equally frequent ones
  /// the first in the order of names. Empty if there is none.
  static std::string MostFrequent(const std::vector<std::string>& versions,
                                  const std::string& excluded);

 private:
  static Change MergeOrder(TimeMs now, const RolloutState& update,
                           Entry* entry);
  static Change Replace(TimeMs now, const RolloutState& update, Entry* entry);

  std::map<std::string, Entry> entries_;
  bool known_ = false;
};

}  // namespace banyanloft
