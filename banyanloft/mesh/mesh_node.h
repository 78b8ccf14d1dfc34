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
#include "banyanloft/mesh/link_meter.h"
#include "banyanloft/mesh/quota_gate.h"
#include "banyanloft/mesh/quota_home.h"
#include "banyanloft/mesh/rollout_agent.h"
#include "banyanloft/mesh/startup_buffer.h"
#include "banyanloft/mesh/suspicion_store.h"
#include "banyanloft/store/platform_message.h"

namespace banyanloft {

/// Settings of MeshNode.
struct MeshNodeSettings {
  std::string zone;            ///< Availability zone of this instance.
  std::string link_address;    ///< `ip:port` of its links (TCP).
  std::string gossip_address;  ///< `ip:port` of its datagrams (UDP).
  uint64_t seed = 1;           ///< Seed of every random choice.
  /// Members that start at the same time spread their first store calls over
  /// this time, in ms.
  int64_t start_window_ms = 100;
  size_t watchers_per_zone = 2;  ///< Members per zone that watch the store.
  /// Time after its start at which a daemon that has discovered no other member
  /// becomes ready, in ms.
  int64_t ready_without_peers_ms = 3000;
  /// Shortest time for which a planned stop keeps serving, in ms: clients check
  /// readiness once a second and leave after two failed checks.
  int64_t drain_min_ms = 2500;
  /// Time into a planned stop after which new requests are refused, in ms: they
  /// might not finish before the process exits.
  int64_t drain_refuse_new_ms = 2700;
  /// Time for which a planned stop keeps its backend server available to peers,
  /// in ms: the service may have few other targets. All but a few of the runs
  /// started in this time end before drain_min_ms, so that they don't prolong
  /// the stop.
  int64_t drain_serve_ms = 1800;
  /// Time into a planned stop after which queued requests are refused, in ms,
  /// at this target and at others: they might not finish in time.
  int64_t drain_refuse_queued_ms = 4300;
  /// Time into a planned stop after which requests in progress are given up, in
  /// ms.
  int64_t drain_max_ms = 5200;
  /// Time into a planned stop after which responses that are still being
  /// written are given up, in ms: the end of the process.
  int64_t drain_write_max_ms = 5500;
  /// A new version is announced a second time after this, in ms.
  int64_t announcement_repeat_ms = 200;
  MembershipSettings membership;
  RendezvousSettings rendezvous;
  StartupBufferSettings startup_buffer;
  ConfigFollowerSettings config;
  ForwarderSettings forwarder;
  BackendRunnerSettings runner;
  SuspicionStoreSettings suspicion_store;
  QuotaSettings quota;
  QuotaViewSettings quota_view;
  RolloutSettings rollouts;

  /// Sets drain_max_ms and drain_write_max_ms, and limits the earlier steps of
  /// a planned stop so that they fit into it.
  void SetDrainLimit(int64_t max_ms);
  /// Copies the settings that need no restart: the retry budget, the bound on
  /// quotas, the steps of a planned stop and the period of the backend server's
  /// reports.
  void CopyReloadable(const MeshNodeSettings& next);
};

using MeshNodeAction =
    std::variant<AnswerClient, SendPeer, SendDatagram, PlatformCall, StartRun,
                 CancelRunOnBackend, ProbeInstance, LogRecord, ReadyToExit>;

/// Output that was handed over but has not left this process.
struct PendingOutput {
  size_t responses = 0;   ///< To clients.
  size_t link_bytes = 0;  ///< To peers.
};

/// Decision logic of the sidecar daemon. Takes the time and messages as input
/// and returns actions. Owns the state machines and passes messages between
/// them. Deterministic; not thread safe; free of I/O.
class MeshNode final : private CandidateDirectory {
 public:
  using Actions = std::vector<MeshNodeAction>;

  /// `reader` must outlive the node.
  MeshNode(const MeshNodeSettings& settings, MemberId id, TimeMs now,
           const ConfigurationReader* reader);

  /// Events from clients.
  void OnRequest(TimeMs now, uint64_t request, MeshRequest message,
                 Actions* actions);
  void OnAbandoned(TimeMs now, uint64_t request, Actions* actions);
  /// Events from peers.
  void OnPeerMessage(TimeMs now, const std::string& link, PeerMessage message,
                     Actions* actions);
  /// A request with a long body begins to arrive. False: it is refused, and
  /// the rest of it is to be dropped.
  bool OnPeerRequestBegins(TimeMs now, const std::string& link,
                           BegunRequest begun, Actions* actions);
  void OnPeerNotSent(TimeMs now, const PeerMessage& message, Actions* actions);
  void OnPeerLost(TimeMs now, const std::string& link, Actions* actions);
  void OnPeerSilent(TimeMs now, const std::string& link);
  void OnDatagram(TimeMs now, const Datagram& datagram, Actions* actions);
  /// Replies of the store.
  void OnStore(TimeMs now, const PlatformReply& reply, Actions* actions);
  /// Events from the backend server.
  void OnReport(TimeMs now, const InstanceReport& report, Actions* actions);
  void OnDeregistered(TimeMs now, const std::string& instance,
                      Actions* actions);
  void OnResult(TimeMs now, RunResult result, Actions* actions);
  void OnProbed(TimeMs now, const ProbeResult& result, Actions* actions);
  /// This process was suspended for `paused_ms`.
  void OnProcessSuspended(TimeMs now, int64_t paused_ms, Actions* actions);
  /// Applies the settings that need no restart. Must not be called during a
  /// planned stop, whose steps would change while it is in progress.
  void ApplySettings(TimeMs now, const MeshNodeSettings& next);
  /// Starts a planned stop: not ready from now on, keeps serving for a while,
  /// then emits ReadyToExit.
  void BeginDrain(TimeMs now, Actions* actions);
  /// Updates the output that a planned stop has to wait for; to be called
  /// before each Tick while it is in progress.
  void SetPendingOutput(const PendingOutput& output) {
    pending_output_ = output;
  }
  /// Performs periodic work; call it about every 20 ms.
  void Tick(TimeMs now, Actions* actions);

  /// True if clients should send new requests here.
  bool Ready(TimeMs now) const;
  bool Draining() const { return draining_; }
  const RouteTablePtr& Table() const { return config_.Table(); }
  const Membership& Members() const { return membership_; }
  const BackendRunner& Runner() const { return runner_; }
  const Forwarder& RequestForwarder() const { return forwarder_; }
  const QuotaGate& Quotas() const { return quota_gate_; }
  const QuotaHome& QuotasOfHome() const { return quota_home_; }
  /// Expected delay of this daemon's outgoing link, in ms.
  int64_t LinkDelayMs(TimeMs now) const { return link_.DelayMs(now); }
  const RolloutAgent& Rollouts() const { return rollouts_; }
  std::vector<const Counters*> AllCounters() const;
  std::vector<const Histograms*> AllHistograms() const;
  /// Time since the store was last known to hold no newer configuration, in ms;
  /// negative if unknown.
  int64_t ConfigurationAgeMs(TimeMs now) const {
    return config_.VersionAgeMs(now);
  }
  /// Time since the last datagram from another member, in ms.
  int64_t MemberViewAgeMs(TimeMs now) const { return now - last_datagram_at_; }

 private:
  std::vector<TargetCandidate> CandidatesOf(
      const std::string& service) const override;
  bool IsContained(TimeMs now, const MeshRequest& request) const override;
  void RestrictByRollout(
      const std::string& service, std::optional<uint64_t> draw,
      std::vector<TargetCandidate>* candidates) const override;

  void DispatchForwarder(TimeMs now, Forwarder::Actions list, Actions* actions);
  void DispatchRunner(TimeMs now, BackendRunner::Actions list,
                      Actions* actions);
  void DispatchConfig(TimeMs now, ConfigFollower::Actions list,
                      Actions* actions);
  void DispatchRollouts(TimeMs now, RolloutAgent::Actions list,
                        Actions* actions);
  void SendDatagrams(TimeMs now, std::vector<DatagramOut> list,
                     Actions* actions);
  /// Whether the configuration limits any account. Otherwise nothing of the
  /// quotas runs.
  bool HasQuotas() const { return !quota_limits_.Empty(); }
  void ApplyQuotaLimits(TimeMs now);
  void UpdateQuotaView(TimeMs now);
  void TickQuotas(TimeMs now, Actions* actions);
  void SendQuotaAsks(TimeMs now, Actions* actions);
  void DispatchQuota(TimeMs now, QuotaOutcome outcome, Actions* actions);
  bool OnQuotaMessage(TimeMs now, const std::string& link,
                      const PeerMessage& message, Actions* actions);
  void AnnounceVersion(TimeMs now, Actions* actions);
  void SendAnnouncement(TimeMs now, const std::string& gossip,
                        Actions* actions) const;
  /// Sets the configuration version and its age in a datagram.
  void FillVersion(TimeMs now, Datagram* datagram) const;
  void UpdateAnnouncedState(TimeMs now);
  void TickDrain(TimeMs now, Actions* actions);
  bool MayExit(int64_t drained_ms) const;
  void LogDrainFinished(TimeMs now, Actions* actions);
  void LogMembership(TimeMs now, Actions* actions);
  /// Whether a planned stop is too far advanced for new requests.
  bool RefusesNew(TimeMs now) const;
  void RefuseQueued(TimeMs now, Actions* actions);
  /// Buffers a request until the first version arrives. False: it cannot wait.
  bool BufferRequest(TimeMs now, uint64_t request, MeshRequest* message,
                     Actions* actions);
  void ReleaseBuffered(TimeMs now, Actions* actions);
  void RefuseExpired(TimeMs now, Actions* actions);
  bool IsWatcher(TimeMs now) const;
  bool IsPartitioned() const;
  void TickStoreClients(TimeMs now, bool watching, Actions* actions);
  uint64_t CallStore(PlatformCall call, Actions* actions);
  std::string LinkOf(MemberId id) const;

  MeshNodeSettings settings_;
  MemberId id_;
  TimeMs start_;
  TimeMs watch_from_;
  StartupBuffer startup_buffer_;
  Membership membership_;
  RendezvousClient rendezvous_client_;
  ConfigFollower config_;
  Forwarder forwarder_;
  BackendRunner runner_;
  SuspicionStore suspicion_store_;
  QuotaLimits quota_limits_;
  QuotaView quota_view_;
  QuotaHome quota_home_;
  QuotaGate quota_gate_;
  TimeMs next_quota_tick_;
  LinkMeter link_;
  RolloutAgent rollouts_;
  bool draining_ = false;
  bool exit_sent_ = false;
  bool queued_refused_ = false;
  TimeMs drain_began_;
  PendingOutput pending_output_;
  /// Requests of peers that came after those of clients are refused.
  uint64_t late_peer_requests_ = 0;
  bool knows_members_ = false;  ///< Other live ones, as last logged.
  TimeMs last_datagram_at_;
  uint64_t next_store_call_ = 1;
  uint64_t config_call_ = 0;
  TimeMs next_membership_tick_;
  TimeMs announce_at_;
  bool announcement_due_ = false;
  Counters counters_;
};

}  // namespace banyanloft
