#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <unordered_map>
#include <variant>
#include <vector>

#include "banyanloft/daemon/node_actions.h"
#include "banyanloft/membership/membership.h"
#include "banyanloft/membership/rendezvous_client.h"
#include "banyanloft/mesh/backend_runner.h"
#include "banyanloft/mesh/config_follower.h"
#include "banyanloft/mesh/forwarder.h"
#include "banyanloft/mesh/startup_buffer.h"
#include "banyanloft/store/platform_message.h"

namespace banyanloft {

/// Settings of a forwarding daemon's decisions.
struct MeshNodeSettings {
  std::string zone;            ///< Availability zone of this instance.
  std::string link_address;    ///< `ip:port` of its links (TCP).
  std::string gossip_address;  ///< `ip:port` of its datagrams (UDP).
  uint64_t seed = 1;           ///< Seed of every random choice.
  int64_t start_window_ms =
      100;  ///< Herds spread their first store calls over this time, in ms.
  size_t watchers_per_zone = 2;  ///< Members of a zone that hold a watch.
  /// A daemon that meets no other member is ready nevertheless after this, ms.
  int64_t ready_without_peers_ms = 3000;
  /// A planned stop goes on serving at least this long, in ms: clients look at
  /// readiness once a second and leave after two misses.
  int64_t drain_min_ms = 2500;
  /// From here on a planned stop refuses new requests, in ms: they might not
  /// end before the process does.
  int64_t drain_refuse_new_ms = 2700;
  /// For this long a planned stop leaves its backend server to the fleet, in
  /// ms: a service may have few others. What is then started ends, but for a
  /// few, before drain_min_ms, so that the stop takes no longer.
  int64_t drain_serve_ms = 1800;
  /// From here on a planned stop takes back what waits for a slot, here and at
  /// other targets, and refuses it, in ms: it might not end in time.
  int64_t drain_refuse_queued_ms = 4300;
  int64_t drain_max_ms = 5200;  ///< End of a planned stop, in ms.
  int64_t announcement_repeat_ms =
      200;  ///< A new version is told twice, in ms.
  MembershipSettings membership;
  RendezvousSettings rendezvous;
  StartupBufferSettings start_hold;
  ConfigFollowerSettings config;
  ForwarderSettings forwarder;
  BackendRunnerSettings runner;

  /// Sets the end of a planned stop, and its earlier steps no later than fits.
  void SetDrainLimit(int64_t max_ms);
  /// Takes over what needs no restart: the retry budget, the steps of a planned
  /// stop, the period of the backend server's reports.
  void CopyReloadable(const MeshNodeSettings& next);
};

using MeshNodeAction =
    std::variant<AnswerClient, SendPeer, SendDatagram, PlatformCall, StartRun,
                 CancelRunOnBackend, ProbeInstance, LogRecord, ReadyToExit>;

/// All decisions of a forwarding daemon. Time and messages go in, actions come
/// out. It owns the state machines and passes messages between them.
/// Deterministic; not thread safe; free of I/O.
class MeshNode final : private CandidateDirectory {
 public:
  using Actions = std::vector<MeshNodeAction>;

  /// `reader` must outlive the node.
  MeshNode(const MeshNodeSettings& settings, MemberId id, TimeMs now,
           const ConfigurationReader* reader);

  /// Clients.
  void OnRequest(TimeMs now, uint64_t request, MeshRequest message,
                 Actions* actions);
  void OnAbandoned(TimeMs now, uint64_t request, Actions* actions);
  /// Peers.
  void OnPeerMessage(TimeMs now, const std::string& link, PeerMessage message,
                     Actions* actions);
  void OnPeerNotSent(TimeMs now, const PeerMessage& message, Actions* actions);
  void OnPeerLost(TimeMs now, const std::string& link, Actions* actions);
  void OnPeerSilent(TimeMs now, const std::string& link);
  void OnDatagram(TimeMs now, const Datagram& datagram, Actions* actions);
  /// The store.
  void OnStore(TimeMs now, const PlatformReply& reply, Actions* actions);
  /// The backend server.
  void OnReport(TimeMs now, const InstanceReport& report, Actions* actions);
  void OnDeregistered(TimeMs now, const std::string& instance,
                      Actions* actions);
  void OnResult(TimeMs now, RunResult result, Actions* actions);
  void OnProbed(TimeMs now, bool up, const std::string& instance,
                Actions* actions);
  /// This process did not run for a while.
  void OnProcessSuspended(TimeMs now, int64_t paused_ms, Actions* actions);
  /// Brings in force what needs no restart. Not during a planned stop, whose
  /// steps would change under way.
  void ApplySettings(const MeshNodeSettings& next);
  /// Planned stop: unready at once, serves on, then emits ReadyToExit.
  void BeginDrain(TimeMs now, Actions* actions);
  /// Periodic duties; to be called every 20 ms or so.
  void Tick(TimeMs now, Actions* actions);

  /// True if clients should send new work here.
  bool Ready(TimeMs now) const;
  bool Draining() const { return draining_; }
  const RouteTablePtr& Table() const { return config_.Table(); }
  const Membership& Members() const { return membership_; }
  const BackendRunner& Runner() const { return runner_; }
  const Forwarder& Requests() const { return forwarder_; }
  std::vector<const Counters*> AllCounters() const;
  std::vector<const Histograms*> AllHistograms() const;
  /// Time since the store is known to have held no newer configuration, in ms;
  /// -1 if it never was.
  int64_t ConfigurationAgeMs(TimeMs now) const {
    return config_.VersionAgeMs(now);
  }
  /// Time since another member was last heard of, in ms.
  int64_t MemberViewAgeMs(TimeMs now) const { return now - heard_at_; }

 private:
  std::vector<TargetCandidate> CandidatesOf(
      const std::string& service) const override;

  void CarryForwarder(TimeMs now, Forwarder::Actions list, Actions* actions);
  void CarryRunner(TimeMs now, BackendRunner::Actions list, Actions* actions);
  void CarryConfig(TimeMs now, ConfigFollower::Actions list, Actions* actions);
  void CarryDatagrams(TimeMs now, std::vector<DatagramOut> list,
                      Actions* actions);
  void SendRumours(TimeMs now, Actions* actions);
  /// Writes what this member knows of the configuration into a datagram.
  void TellVersion(TimeMs now, Datagram* datagram) const;
  void UpdateStanding(TimeMs now);
  void TickDrain(TimeMs now, Actions* actions);
  void RefuseQueued(TimeMs now, Actions* actions);
  /// Keeps a request until the first version comes. False: it cannot wait.
  bool Hold(TimeMs now, uint64_t request, MeshRequest* message,
            Actions* actions);
  void ReleaseHeld(TimeMs now, Actions* actions);
  void RefuseLongHeld(TimeMs now, Actions* actions);
  bool Watching(TimeMs now) const;
  uint64_t CallStore(PlatformCall call, Actions* actions);
  std::string LinkOf(MemberId id) const;

  MeshNodeSettings settings_;
  MemberId id_;
  TimeMs start_;
  TimeMs watch_from_;
  StartupBuffer hold_;
  Membership membership_;
  RendezvousClient rendezvous_client_;
  ConfigFollower config_;
  Forwarder forwarder_;
  BackendRunner runner_;
  bool draining_ = false;
  bool exit_sent_ = false;
  bool given_back_ = false;
  TimeMs drain_began_;
  TimeMs heard_at_;  ///< Of the last datagram.
  uint64_t next_store_call_ = 1;
  uint64_t config_call_ = 0;
  TimeMs next_membership_tick_;
  TimeMs repeat_rumour_at_;
  bool repeat_rumour_ = false;
  Counters counters_;
};

}  // namespace banyanloft
