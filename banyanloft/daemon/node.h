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
#include "banyanloft/membership/fleet_choice.h"
#include "banyanloft/membership/meeting_place.h"
#include "banyanloft/membership/membership.h"
#include "banyanloft/store/platform_message.h"

namespace banyanloft {

/// Settings of one daemon's decisions.
struct NodeSettings {
  std::string zone;                ///< Availability zone of this instance.
  std::string link_address;        ///< `ip:port` of its links (TCP).
  std::string gossip_address;      ///< `ip:port` of its datagrams (UDP).
  std::string secret;              ///< The fleet's shared secret.
  std::vector<std::string> peers;  ///< Gossip addresses to join through.
  uint64_t seed = 1;               ///< Seed of every random choice.
  int64_t announcement_ttl_ms =
      3000;  ///< A backend server that is silent this long is down, in ms.
  int64_t start_window_ms =
      100;  ///< Herds spread their first platform calls over this time, in ms.
  size_t watchers_per_zone = 2;  ///< Members of a zone that hold a watch.
  int64_t departure_linger_ms =
      1000;  ///< Time between announcing to leave and ending, in ms.
  MembershipSettings membership;
  DistributorSettings distributor;
  RendezvousSettings rendezvous;
  DispatcherSettings dispatcher;
  RunnerSettings runner;
};

/// What a backend server says of itself to the daemon beside it.
struct Announcement {
  std::string service;  ///< Any name of its service.
  int slots = 20;       ///< Work that it runs at once.
  MemberState state = MemberState::kReady;
  std::string boot_id;  ///< Drawn anew at each start.
};

using NodeAction =
    std::variant<ReplyCall, ReplyKey, SendPeer, SendDatagram, PlatformCall,
                 StartBackend, CancelBackend, ProbeBackend, ReadyToExit>;

/// All decisions of one daemon. Time and messages go in, actions come out. It
/// owns the state machines of membership, distribution and calls, and passes
/// messages between them. Deterministic; not thread safe; free of I/O.
class Node final : private TargetDirectory, private MembershipListener {
 public:
  using Actions = std::vector<NodeAction>;

  Node(const NodeSettings& settings, MemberId id, TimeMs now);

  /// Callers.
  void OnCall(TimeMs now, uint64_t call, CallRequest request, Actions* actions);
  void OnKeyCall(TimeMs now, uint64_t call, const std::string& name,
                 Actions* actions);
  void OnAbandoned(TimeMs now, uint64_t call, Actions* actions);
  /// Peers.
  void OnPeerMessage(TimeMs now, const std::string& link, PeerMessage message,
                     Actions* actions);
  void OnPeerNotSent(TimeMs now, const std::string& link,
                     const PeerMessage& message, Actions* actions);
  void OnPeerLost(TimeMs now, const std::string& link, Actions* actions);
  void OnDatagram(TimeMs now, const Datagram& datagram, Actions* actions);
  /// The platform.
  void OnPlatform(TimeMs now, const PlatformReply& reply, Actions* actions);
  /// The backend server.
  void OnAnnounce(TimeMs now, const Announcement& announcement,
                  Actions* actions);
  void OnBackend(TimeMs now, const BackendResult& result, Actions* actions);
  void OnBackendProbed(TimeMs now, bool up, Actions* actions);
  /// Planned stop: announce it, take no new work, finish what is in hand, then
  /// emit ReadyToExit.
  void BeginDrain(TimeMs now, Actions* actions);
  /// Periodic duties; to be called every 10 ms or so.
  void Tick(TimeMs now, Actions* actions);

  /// True if calls from callers can be served.
  bool Ready() const { return distributor_.StartedUp() && !draining_; }
  const Membership& Members() const { return membership_; }
  const Distributor& Configuration() const { return distributor_; }
  const CallDispatcher& Dispatcher() const { return dispatcher_; }
  const TargetRunner& Runner() const { return runner_; }
  /// Why a name routes where it does, in words.
  std::string Explain(TimeMs now, const std::string& name) {
    return dispatcher_.Explain(now, name);
  }
  /// State of this daemon as JSON, for `/status`.
  std::string StatusJson(TimeMs now) const;
  /// All counters of the state machines.
  std::vector<const Counters*> AllCounters() const;

 private:
  std::vector<TargetInfo> TargetsOf(const Service& service) const override;
  Standing StandingOf(MemberId id) const override;
  void OnMemberChanged(TimeMs now, const MemberRecord& member) override;

  void CarryDispatcher(TimeMs now, CallDispatcher::Actions list,
                       Actions* actions);
  void CarryRunner(TimeMs now, TargetRunner::Actions list, Actions* actions);
  void CarryDistributor(TimeMs now, Distributor::Actions list,
                        Actions* actions);
  void CarryDatagrams(std::vector<DatagramOut> list, Actions* actions);
  void Adopt(TimeMs now, const SnapshotPtr& snapshot, Actions* actions);
  void UpdateStanding(TimeMs now, Actions* actions);
  bool Watching(TimeMs now) const;
  void ReportInForce(Actions* actions);
  void TickPlatform(TimeMs now, bool watching, Actions* actions);
  uint64_t CallPlatform(PlatformCall call, Actions* actions);
  std::string LinkOf(MemberId id) const;

  NodeSettings settings_;
  MemberId id_;
  TimeMs start_;
  TimeMs watch_from_;
  Membership membership_;
  Distributor distributor_;
  MeetingPlace meeting_place_;
  ZoneStatus zone_status_;
  CallDispatcher dispatcher_;
  TargetRunner runner_;
  std::optional<Announcement> announced_;
  TimeMs announced_at_;
  bool draining_ = false;
  bool exit_sent_ = false;
  TimeMs drain_began_;
  TimeMs idle_since_;
  uint64_t next_platform_call_ = 1;
  std::map<uint64_t, uint64_t> distributor_reads_;
  TimeMs next_machine_tick_;
  TimeMs in_force_at_;
  TimeMs next_report_;
  std::vector<MemberId> reported_to_;
  std::vector<MemberId> lost_targets_;
  Counters counters_;
};

}  // namespace banyanloft
