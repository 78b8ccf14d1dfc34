#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "banyanloft/mesh/mesh_node.h"
#include "banyanloft/store/memory_platform.h"
#include "standins/event_queue.h"

namespace banyanloft {

/// Settings of a simulated fleet of forwarding daemons.
struct MeshFleetSettings {
  int zones = 4;                 ///< Availability zones, assigned in rotation.
  int64_t message_delay_ms = 2;  ///< One-way delay of any message, in ms.
  int loss_permille = 0;         ///< Share of datagrams lost, in 1/1000.
  int64_t store_delay_ms = 4;    ///< Latency of store calls, in ms.
  int64_t run_ms = 60;           ///< Mean run time of a request, in ms.
  int slots = 18;                ///< Slots of each backend server.
  int64_t heartbeat_ms = 1500;   ///< Period of their reports, in ms.
  int64_t crash_after_ms = 5;    ///< Run time until a request crashes one.
  int64_t down_ms = 2500;        ///< Time until a crashed one is back, in ms.
  /// A crashed backend server does not close its connections: requests get no
  /// response until their deadline.
  bool silent_crashes = false;
  /// Client accounts of the configuration; if there are any, requests need an
  /// API key.
  std::vector<ClientAccount> accounts;
  uint64_t seed = 1;
  MeshNodeSettings node;  ///< Template; addresses, zone and seed are filled in.
};

/// Discrete-event simulation of forwarding daemons with their backend servers
/// and the store: no sockets, threads or clocks. All services have an
/// idempotent route `/SERVICE/read/` with two attempts and a route
/// `/SERVICE/write/` that is not idempotent. Not thread safe.
class MeshFleet {
 public:
  /// A request that a backend server has started to run.
  struct Run {
    TimeMs at;
    size_t index = 0;  ///< Of the instance.
    std::string target;
    bool crashed = false;
  };
  /// A request whose answer has arrived.
  struct Answered {
    TimeMs at;
    MeshAnswer answer;
  };

  explicit MeshFleet(const MeshFleetSettings& settings);

  /// Starts an instance whose backend server runs `service`; returns its index.
  /// `version`: of its backend server.
  size_t Start(const std::string& service, const std::string& version = "");
  /// Kills the daemon of an instance; its backend server keeps running.
  void Kill(size_t index);
  /// Starts a new daemon in place of a killed one.
  void Restart(size_t index);
  /// Drops all messages between these zones and the others, and with
  /// `from_store` also their store calls. An empty set ends the partition.
  void Partition(std::set<std::string> zones, bool from_store);
  /// Orders a roll-out as an operator would.
  void OrderRollout(const std::string& service, const std::string& to_version,
                    int64_t duration_ms);
  void RemoveRollout(const std::string& service);
  /// Status of the roll-out in the store, as `STATE VERSION`; empty: none.
  std::string RolloutStatusOf(const std::string& service);
  /// The next `count` writes of a status take effect without an answer.
  void LoseStatusAnswers(int count) { lost_status_answers_ = count; }
  /// Store calls of this instance get no answer from now on.
  void CutFromStore(size_t index) { cut_from_store_.insert(index); }
  /// While unavailable, the store fails every call.
  void SetStoreUnavailable(bool unavailable) {
    store_unavailable_ = unavailable;
  }

  /// Advances the simulated time by `ms`.
  void Advance(int64_t ms) { events_.Run(ms); }
  /// Sends a request to the daemon of an instance; returns its number. Dropped
  /// without an answer if the daemon does not run.
  uint64_t Request(size_t index, const std::string& target, int64_t timeout_ms,
                   const std::string& api_key = "");

  TimeMs Now() const { return events_.Now(); }
  size_t Size() const { return instances_.size(); }
  bool Alive(size_t index) const { return instances_[index].node != nullptr; }
  const MeshNode& NodeAt(size_t index) const { return *instances_[index].node; }
  const std::string& ServiceOf(size_t index) const {
    return instances_[index].service;
  }
  const std::string& VersionOf(size_t index) const {
    return instances_[index].version;
  }
  const std::string& ZoneOf(size_t index) const {
    return instances_[index].zone;
  }
  const std::vector<Run>& Runs() const { return runs_; }
  const std::map<uint64_t, Answered>& Answers() const { return answers_; }
  MemoryPlatform& Store() { return store_; }
  /// Number of store calls, including failed ones.
  uint64_t StoreCalls() const { return store_calls_; }
  uint64_t DatagramsSent() const { return datagrams_; }
  /// Messages about quotas between daemons.
  uint64_t QuotaMessages() const { return quota_messages_; }
  /// Whether a request with this target crashes the backend server.
  std::function<bool(const std::string& target)> crashes_server;
  /// Whether the backend server of an instance answers a request with 500.
  std::function<bool(size_t index, const std::string& target)> fails;
  /// Called with each log record.
  std::function<void(TimeMs now, size_t index, const LogRecord&)> on_log;

 private:
  struct RunningRequest {
    uint64_t run = 0;
    bool crashes = false;
  };
  struct Instance {
    std::unique_ptr<MeshNode> node;
    std::string service;
    std::string version;
    std::string zone;
    std::string link;
    std::string gossip;
    uint64_t daemon_start = 0;  ///< Number of the daemon's start.
    int64_t server_start = 0;   ///< Number of the backend server's start.
    int64_t born_ms = 0;
    int64_t reports = 0;  ///< Since the backend server's start.
    bool server_up = false;
    std::set<uint64_t> running;
  };

  void StartDaemon(size_t index);
  void StartServer(size_t index);
  void SendReports(size_t index, int64_t server_start);
  void Tick(size_t index, uint64_t daemon_start);
  /// Calls the daemon unless it was replaced, and executes its actions.
  void Invoke(size_t index, uint64_t daemon_start,
              const std::function<void(MeshNode*, MeshNode::Actions*)>& call);
  void InvokeLater(int64_t delay_ms, size_t index,
                   std::function<void(MeshNode*, MeshNode::Actions*)> call);
  void Execute(size_t index, MeshNodeAction action);
  void SendTo(size_t from, const SendPeer& send);
  void SendGossip(size_t from, const SendDatagram& send);
  void CallStore(size_t index, const PlatformCall& call);
  void AnswerWatch(size_t index, const PlatformCall& call, TimeMs end);
  void StartRequest(size_t index, const StartRun& start);
  void Crash(size_t index);
  void EndRun(size_t index, uint64_t run, RunResult::Type type,
              int64_t delay_ms, int status = 200);
  void Probe(size_t index);
  std::string InstanceId(size_t index) const;
  bool Connected(size_t a, size_t b) const;
  std::optional<size_t> IndexOf(const std::string& address) const;

  MeshFleetSettings settings_;
  Random random_;
  EventQueue events_{TimeMs(1000)};
  MemoryPlatform store_;
  std::unique_ptr<ConfigurationReader> reader_;
  std::vector<Instance> instances_;
  std::map<std::string, size_t> index_by_address_;
  std::set<std::string> partitioned_zones_;
  bool partitioned_from_store_ = false;
  bool store_unavailable_ = false;
  int lost_status_answers_ = 0;
  std::set<size_t> cut_from_store_;
  uint64_t store_calls_ = 0;
  uint64_t datagrams_ = 0;
  uint64_t quota_messages_ = 0;
  uint64_t next_request_ = 1;
  std::vector<Run> runs_;
  std::map<uint64_t, Answered> answers_;
};

}  // namespace banyanloft
