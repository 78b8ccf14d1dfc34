#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "banyanloft/calls/call_dispatcher.h"
#include "banyanloft/calls/target_runner.h"
#include "banyanloft/daemon/node_actions.h"
#include "banyanloft/distribution/distributor.h"
#include "banyanloft/distribution/zone_status.h"
#include "banyanloft/links/peer_message.h"
#include "banyanloft/membership/membership.h"
#include "banyanloft/membership/peer_selection.h"
#include "banyanloft/membership/rendezvous_client.h"
#include "banyanloft/store/platform_message.h"

namespace banyanloft {

/// Settings of a Node.
struct NodeSettings {
  std::string zone;                ///< Availability zone of this instance.
  std::string link_address;        ///< `ip:port` for peer links (TCP).
  std::string gossip_address;      ///< `ip:port` for gossip (UDP).
  std::string secret;              ///< Shared secret of the fleet.
  std::vector<std::string> peers;  ///< Gossip addresses to join through.
  uint64_t seed = 1;               ///< Seed of the random generators.
  int64_t announcement_ttl_ms =
      3000;  ///< A backend server that has not announced itself for this long
             ///< counts as down, in ms.
  int64_t start_window_ms =
      100;  ///< Daemons that start together spread their first platform calls
            ///< over this time, in ms.
  size_t watchers_per_zone = 2;  ///< Members per zone that watch the platform.
  int64_t departure_linger_ms =
      1000;  ///< Idle time between announcing the departure and exiting, in ms.
  MembershipSettings membership;
  DistributorSettings distributor;
  RendezvousSettings rendezvous;
  DispatcherSettings dispatcher;
  RunnerSettings runner;
};

/// State that a backend server reports to the daemon on its instance.
struct Announcement {
  std::string service;  ///< Any name of its service.
  int slots = 20;       ///< Requests that it runs concurrently.
  MemberState state = MemberState::kReady;
  std::string boot_id;  ///< Random; differs at each start.
};

using NodeAction =
    std::variant<ReplyCall, ReplyKey, SendPeer, SendDatagram, PlatformCall,
                 StartBackend, CancelBackend, ProbeBackend, ReadyToExit>;

/// Top-level state machine of a daemon: takes the time and incoming messages,
/// returns actions to execute. Owns the state machines for membership,
/// configuration distribution and calls, and passes messages between them.
/// Deterministic; not thread-safe; does no I/O.
class Node final : private TargetDirectory, private MembershipListener {
 public:
  using Actions = std::vector<NodeAction>;

  Node(const NodeSettings& settings, MemberId id, TimeMs now);

  /// Events from callers.
  void OnCall(TimeMs now, uint64_t call, CallRequest request, Actions* actions);
  void OnCallerKeyRequest(TimeMs now, uint64_t call, const std::string& name,
                          Actions* actions);
  void OnAbandoned(TimeMs now, uint64_t call, Actions* actions);
  /// Events from peers.
  void OnPeerMessage(TimeMs now, const std::string& link, PeerMessage message,
                     Actions* actions);
  void OnPeerNotSent(TimeMs now, const std::string& link,
                     const PeerMessage& message, Actions* actions);
  void OnPeerLost(TimeMs now, const std::string& link, Actions* actions);
  void OnDatagram(TimeMs now, const Datagram& datagram, Actions* actions);
  /// Replies of the platform.
  void OnPlatform(TimeMs now, const PlatformReply& reply, Actions* actions);
  /// Events from the backend server.
  void OnAnnounce(TimeMs now, const Announcement& announcement,
                  Actions* actions);
  void OnBackend(TimeMs now, const BackendResult& result, Actions* actions);
  void OnBackendProbed(TimeMs now, bool up, Actions* actions);
  /// Starts a graceful shutdown: announces it, accepts no new work, completes
  /// the work in progress (within the drain limit of the service), then emits
  /// ReadyToExit.
  void BeginDrain(TimeMs now, Actions* actions);
  /// Periodic work; call about every 10 ms.
  void Tick(TimeMs now, Actions* actions);

  /// True if calls from callers can be served.
  bool Ready() const { return distributor_.StartedUp() && !draining_; }
  const Membership& Members() const { return membership_; }
  const Distributor& Configuration() const { return distributor_; }
  const CallDispatcher& Dispatcher() const { return dispatcher_; }
  const TargetRunner& Runner() const { return runner_; }
  /// Explains in plain text how a name is routed.
  std::string Explain(TimeMs now, const std::string& name) {
    return dispatcher_.Explain(now, name);
  }
  /// State of this daemon as JSON, for `/status`.
  std::string StatusJson(TimeMs now) const;
  /// Counters of all state machines.
  std::vector<const Counters*> AllCounters() const;

 private:
  std::vector<TargetInfo> TargetsOf(const Service& service) const override;
  Reachability ReachabilityOf(MemberId id) const override;
  void OnMemberChanged(TimeMs now, const MemberRecord& member) override;

  void ExecuteDispatcherActions(TimeMs now, CallDispatcher::Actions list,
                                Actions* actions);
  void ExecuteRunnerActions(TimeMs now, TargetRunner::Actions list,
                            Actions* actions);
  void ExecuteDistributorActions(TimeMs now, Distributor::Actions list,
                                 Actions* actions);
  void SendDatagrams(std::vector<DatagramOut> list, Actions* actions);
  void ActivateSnapshot(TimeMs now, const SnapshotPtr& snapshot,
                        Actions* actions);
  void UpdateMemberState(TimeMs now, Actions* actions);
  bool IsWatcher(TimeMs now) const;
  void ReportVersion(Actions* actions);
  void TickPlatform(TimeMs now, bool watching, Actions* actions);
  uint64_t CallPlatform(PlatformCall call, Actions* actions);
  std::string LinkOf(MemberId id) const;

  NodeSettings settings_;
  MemberId id_;
  TimeMs start_;
  TimeMs watch_start_;
  Membership membership_;
  Distributor distributor_;
  RendezvousClient rendezvous_client_;
  ZoneStatus zone_status_;
  CallDispatcher dispatcher_;
  TargetRunner runner_;
  std::optional<Announcement> announced_;
  TimeMs announced_at_;
  bool draining_ = false;
  bool exit_emitted_ = false;
  TimeMs drain_began_;
  TimeMs idle_since_;
  uint64_t next_platform_call_ = 1;
  std::map<uint64_t, uint64_t> distributor_reads_;
  TimeMs next_slow_tick_;
  TimeMs activated_at_;
  TimeMs next_report_;
  std::vector<MemberId> reported_to_;
  std::vector<MemberId> lost_targets_;
  Counters counters_;
};

}  // namespace banyanloft
