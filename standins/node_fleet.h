#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "banyanloft/daemon/node.h"
#include "banyanloft/store/memory_platform.h"
#include "standins/event_queue.h"

namespace banyanloft {

/// Settings of a simulated fleet of nodes in one process.
struct NodeFleetSettings {
  int zones = 4;                  ///< Availability zones, assigned in rotation.
  int64_t message_delay_ms = 1;   ///< One-way delay of any message, in ms.
  int loss_permille = 0;          ///< Share of datagrams lost, in 1/1000.
  int64_t platform_delay_ms = 3;  ///< Latency of platform calls, in ms.
  int64_t run_ms = 10;            ///< Mean run time of a request, in ms.
  int run_jitter_permille =
      0;                 ///< Run times vary by this share both ways, in 1/1000.
  int slots = 20;        ///< Slots of each backend server.
  int64_t tick_ms = 10;  ///< Interval between node ticks, in ms.
  uint64_t seed = 1;
  NodeSettings node;  ///< Template; addresses, zone and seed are filled in.
};

/// Discrete-event simulation of a fleet: nodes exchange messages with a delay,
/// the platform is held in memory and can be made unavailable, and backend
/// servers only count requests. It uses no sockets, threads or clocks, so that
/// tests and benchmarks of the node logic are deterministic.
class NodeFleet {
 public:
  /// Outcome of a call.
  struct CompletedCall {
    CallAnswer answer;
    TimeMs completed_at;
  };

  explicit NodeFleet(const NodeFleetSettings& settings);

  /// Starts an instance with a backend server of `service`; returns its index.
  size_t Start(const std::string& service, const std::string& zone = "");
  /// While failing, the backend server drops the connection of every request
  /// immediately.
  void SetFailing(size_t index, bool failing) {
    nodes_[index].failing = failing;
  }
  /// Kills the daemon of an instance; its backend server keeps running.
  void Kill(size_t index);
  /// Starts a new daemon process in place of a killed one.
  void Restart(size_t index);
  /// Suspends the daemon until Thaw(); messages to it are queued meanwhile.
  void Freeze(size_t index);
  void Thaw(size_t index);
  /// Crashes the backend server together with its running requests and
  /// restarts it after `down_ms`.
  void CrashBackend(size_t index, int64_t down_ms);
  void Drain(size_t index);
  /// Drops all messages between `zones` and the other zones, and with
  /// `from_platform` also the platform calls from `zones`. An empty set ends
  /// the partition.
  void Partition(std::set<std::string> zones, bool from_platform);
  void SetPlatformUnavailable(bool out) { platform_unavailable_ = out; }
  void SetLoss(int permille) { settings_.loss_permille = permille; }

  /// Advances the simulated time by `ms`.
  void Run(int64_t ms) { events_.Run(ms); }
  /// Advances the simulated time until `done` returns true, by at most
  /// `limit_ms`; returns the last result of `done`.
  bool RunUntil(const std::function<bool()>& done, int64_t limit_ms);

  /// Starts a call at a node on behalf of a caller; returns the number of the
  /// call.
  uint64_t Call(size_t index, CallRequest request);
  /// Requests a key from a node; returns an empty string if none is issued
  /// within a second.
  std::string RequestKey(size_t index, const std::string& route);
  /// Applies a configuration to the platform; returns its version.
  uint64_t ApplyConfiguration(const Configuration& configuration);

  TimeMs Now() const { return events_.Now(); }
  size_t Size() const { return nodes_.size(); }
  bool Alive(size_t index) const {
    return nodes_[index].node != nullptr && !nodes_[index].frozen;
  }
  const Node& NodeAt(size_t index) const { return *nodes_[index].node; }
  Node& MutableNode(size_t index) { return *nodes_[index].node; }
  bool Exited(size_t index) const { return nodes_[index].exited; }
  /// Completed calls by number.
  const std::map<uint64_t, CompletedCall>& CompletedCalls() const {
    return completed_calls_;
  }
  /// Numbers of runs started, by request body.
  const std::map<std::string, int>& RunsByBody() const { return runs_by_body_; }
  /// Number of runs started on the backend server of an instance.
  uint64_t RunsAt(size_t index) const { return nodes_[index].runs; }
  MemoryPlatform& Store() { return platform_; }
  /// Number of calls sent to the platform, including failed ones.
  uint64_t PlatformCalls() const { return platform_calls_; }
  uint64_t DatagramsSent() const { return datagrams_; }
  /// Returns true if the version in force at any node ever decreased.
  bool VersionRegressed() const { return version_regressed_; }
  /// Lowest version in force among the live nodes.
  uint64_t LowestVersion() const;
  /// Called with the body of each request that a backend server starts;
  /// returning true crashes the backend server.
  std::function<bool(const std::string& body)> should_crash;
  /// Called for each completed call; if set, completed calls are not stored.
  std::function<void(uint64_t call, const CallAnswer& answer)>
      on_call_completed;
  /// Called for each datagram sent.
  std::function<void(size_t from, const Datagram&)> on_datagram;
  /// Called for each message sent on a link.
  std::function<void(size_t from, const PeerMessage&)> on_message;

 private:
  struct Instance {
    std::unique_ptr<Node> node;
    std::string service;
    std::string zone;
    std::string link;
    std::string gossip;
    bool frozen = false;
    bool exited = false;
    uint64_t generation = 0;
    uint64_t boot = 1;
    bool backend_up = true;
    bool failing = false;
    std::map<uint64_t, uint64_t> running;
    uint64_t runs = 0;
    uint64_t last_version = 0;
    std::vector<std::function<void()>> deferred;
  };
  struct Watch {
    size_t index;
    uint64_t generation;
    PlatformCall call;
  };

  /// Runs the callback unless the daemon process was replaced; defers it while
  /// the daemon is frozen.
  void RunOnNode(size_t index, uint64_t generation,
                 std::function<void()> callback);
  void StartNode(size_t index);
  void InvokeNode(size_t index,
                  const std::function<void(Node::Actions*)>& invoke);
  void Execute(size_t index, NodeAction action);
  void SendTo(size_t from, const std::string& link, PeerMessage message);
  void CallPlatform(size_t index, const PlatformCall& call);
  void ReplyPlatform(size_t index, uint64_t generation, PlatformReply reply);
  void CompleteWatches();
  void StartRun(size_t index, const StartBackend& start);
  int64_t DrawRunTimeMs();
  void ReportResult(size_t index, uint64_t work, BackendResult::Type type);
  void Announce(size_t index);
  void Tick(size_t index, uint64_t generation);
  bool Connected(size_t a, size_t b) const;
  int IndexOfLink(const std::string& link) const;
  void TrackVersion(size_t index);

  NodeFleetSettings settings_;
  Random random_;
  EventQueue events_{TimeMs(1000)};
  std::vector<Instance> nodes_;
  std::map<std::string, size_t> index_by_address_;
  std::set<std::string> partitioned_zones_;
  bool platform_partitioned_ = false;
  bool platform_unavailable_ = false;
  MemoryPlatform platform_;
  std::vector<Watch> watches_;
  uint64_t platform_calls_ = 0;
  uint64_t datagrams_ = 0;
  uint64_t next_call_ = 1;
  std::map<uint64_t, CompletedCall> completed_calls_;
  std::map<uint64_t, std::string> keys_;
  std::map<std::string, int> runs_by_body_;
  bool version_regressed_ = false;
};

/// Returns a small configuration: ranks urgent, normal and batch; a service
/// `shop` with an idempotent route `read`, a keyed route `pay` and a route
/// `post` that is neither. Configurations with different `variant` differ.
Configuration SampleConfiguration(int variant = 0);

}  // namespace banyanloft
