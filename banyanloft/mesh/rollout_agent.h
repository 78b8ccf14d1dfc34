#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "banyanloft/core/counters.h"
#include "banyanloft/core/log.h"
#include "banyanloft/membership/membership.h"
#include "banyanloft/mesh/rollout_controller.h"
#include "banyanloft/mesh/rollout_evidence.h"
#include "banyanloft/mesh/rollout_store.h"
#include "banyanloft/mesh/rollout_table.h"

namespace banyanloft {

/// Settings of RolloutAgent.
struct RolloutSettings {
  bool enabled = false;  ///< Without it nothing is read, sent or decided.
  RolloutStoreSettings store;
  RolloutControllerSettings controller;
  size_t watchers_per_zone = 2;
  int64_t decide_ms = 250;     ///< Interval of decisions, in ms.
  int64_t heartbeat_ms = 500;  ///< Interval of sequence numbers, in ms.
  /// Silence of the deciding member after which the first watcher takes over,
  /// and the further wait of each next one, in ms. Gossip reaches all members
  /// of a fleet of 300 within about 1.5 s.
  int64_t takeover_ms = 2000;
  int64_t takeover_step_ms = 1500;
  /// Intervals of the reports on servers of the new and old version, in ms.
  int64_t new_report_ms = 250;
  int64_t old_report_ms = 1000;
};

/// Action: call the store.
struct RolloutStoreCall {
  PlatformCall call;
};
/// Action: send evidence to the deciding member.
struct SendRolloutEvidence {
  MemberId to = 0;
  RolloutEvidence evidence;
};
/// Action: announce the states at once.
struct SpreadRollouts {
  std::vector<MemberId> to;  ///< Empty: some peers, which pass on what is new.
};
using RolloutAction = std::variant<RolloutStoreCall, SendRolloutEvidence,
                                   SpreadRollouts, LogRecord>;

/// A daemon's part in roll-outs: reads the orders if it watches the store,
/// keeps their states, reports on its backend server, and decides while it is
/// the deciding member. Deterministic; not thread safe; free of I/O.
class RolloutAgent {
 public:
  using Actions = std::vector<RolloutAction>;

  /// `reader` must outlive the agent.
  RolloutAgent(const RolloutSettings& settings, MemberId id, uint64_t seed,
               TimeMs now, const ConfigurationReader* reader);

  bool Enabled() const { return settings_.enabled; }
  /// Runs periodic work; call it about every 50 ms. `watching`: this member is
  /// one of its zone's watchers.
  void Tick(TimeMs now, const Membership& membership, bool watching,
            Actions* actions);
  /// States from a peer.
  void OnStates(TimeMs now, const std::vector<RolloutState>& states,
                Actions* actions);
  /// A report of a daemon.
  void OnEvidence(TimeMs now, const RolloutEvidence& evidence);
  /// A run of the backend server ended.
  void OnRun(TimeMs now, const std::string& route,
             RolloutRecorder::Outcome outcome, int64_t run_ms, bool warm);
  /// A call was sent under this id.
  void OnSent(const PlatformCall& call, uint64_t id);
  bool IsPending(const PlatformReply& reply) const {
    return settings_.enabled && store_.IsPending(reply);
  }
  void OnStore(TimeMs now, const PlatformReply& reply, Actions* actions);

  /// Whether requests must not run on this daemon's backend server.
  bool RefusesOwn() const { return refuses_own_; }
  /// Whether peers are told of the orders, also that there are none.
  bool Spreads() const { return settings_.enabled && table_.Known(); }
  const RolloutTable& Table() const { return table_; }
  const Counters& Counts() const { return counters_; }
  const Counters& StoreCounts() const { return store_.Counts(); }

 private:
  /// What this member decides for an order.
  struct Decided {
    RolloutController controller;
    TimeMs next_decision;
    bool succeeds = false;
  };
  /// Ready servers of a service.
  struct Servers {
    std::vector<MemberId> new_ready;
    std::vector<std::string> versions;
  };

  void Apply(TimeMs now, const RolloutState& update, const char* source,
             Actions* actions);
  void FollowOwn(TimeMs now, const Membership& membership, Actions* actions);
  static Servers ServersOf(const Membership& membership,
                           const RolloutState& state);
  std::vector<MemberId> Watchers(const Membership& membership) const;
  void TickOrders(TimeMs now, const Membership& membership, bool watching,
                  Actions* actions);
  bool MayDecide(TimeMs now, const Membership& membership, bool watching,
                 const RolloutTable::Entry& entry) const;
  void TakeOver(TimeMs now, RolloutTable::Entry* entry, Actions* actions);
  void Decide(TimeMs now, const Membership& membership,
              RolloutTable::Entry* entry, Actions* actions);
  bool SetShare(const RolloutDecision& decision, bool may_raise,
                RolloutState* state, Actions* actions);
  void TickStore(TimeMs now, bool watching, Actions* actions);
  std::vector<RolloutStatus> Wanted() const;

  RolloutSettings settings_;
  MemberId id_;
  RolloutTable table_;
  RolloutStore store_;
  RolloutRecorder recorder_;
  std::map<std::string, Decided> decided_;  ///< By service.
  bool refuses_own_ = false;
  Counters counters_;
};

}  // namespace banyanloft
