#pragma once

#include <sys/types.h>

#include <atomic>
#include <boost/asio/io_context.hpp>
#include <fstream>
#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "banyanloft/config/json.h"
#include "standins/mesh_backend.h"
#include "standins/mesh_store.h"

namespace review {

/// Writes lines with the time since the start to record.txt. Thread safe.
class Record {
 public:
  explicit Record(const std::string& path);
  void Line(const std::string& text);
  int64_t ElapsedMs() const;

 private:
  std::mutex mutex_;
  std::ofstream file_;
  int64_t begun_ms_;
};

/// Settings of a fleet of daemons on loopback addresses.
struct FleetSettings {
  std::string command;    ///< Run command of the deploy file.
  std::string directory;  ///< For settings files and logs.
  uint16_t base_port = 0;
  int zones = 2;
  int machines_per_zone = 6;  ///< The last one of a zone runs `pledges`.
  int64_t memory_mb = 260;
  double link_mbps = 1000;
  int64_t run_ms = 160;
  double timeout_s = 1.5;  ///< Of both routes.
};

/// One machine: a daemon and the backend server beside it.
struct Machine {
  std::string name;
  std::string zone;
  std::string service;
  uint16_t port = 0;  ///< First of its ports.
  pid_t pid = 0;
  int64_t peak_kb = 0;        ///< Largest resident memory of any process.
  int ended_by_memory = 0;    ///< Processes that exceeded the memory.
  int64_t restart_at_ms = 0;  ///< 0: runs.
  std::unique_ptr<banyanloft::MeshBackend> backend;
};

/// Starts daemons as processes against the project's stand-ins of the store and
/// of the backend servers. Like the platform, it kills a process that exceeds
/// the memory of its machine, and starts it again.
class Fleet final : private banyanloft::BackendObserver {
 public:
  Fleet(const FleetSettings& settings, Record* record);
  ~Fleet() override;
  Fleet(const Fleet&) = delete;
  Fleet& operator=(const Fleet&) = delete;

  /// False if an address cannot be bound or a daemon does not become ready.
  bool Start();
  /// Indexes of the machines of a zone that run `service`.
  std::vector<size_t> MachinesOf(const std::string& zone,
                                 const std::string& service) const;
  size_t Size() const { return machines_.size(); }
  uint16_t OutboundPort(size_t machine) const;
  const Machine& At(size_t machine) const { return machines_[machine]; }
  /// Whether the daemon's readiness check succeeds.
  bool Ready(size_t machine) const;
  /// Number of machines whose processes ended `times` or more by memory.
  int MachinesEnded(int times);
  /// Writes the peak of each machine's memory to the record.
  void ReportMemory();
  /// Called on the backend servers' thread for each request that one starts to
  /// run. Set it before Start().
  std::function<void(const banyanloft::MeshBackend& backend,
                     const std::string& id,
                     const banyanloft::HttpRequest& request)>
      on_run;
  /// Calls `work` on the backend servers' thread with a machine's backend
  /// server and waits for it.
  void WithBackend(size_t machine,
                   const std::function<void(banyanloft::MeshBackend*)>& work);
  /// Ends the process of a backend server: its connections close.
  void EndBackend(size_t machine);
  uint16_t ControlPort(size_t machine) const;
  uint16_t BackendPort(size_t machine) const;

 private:
  void OnRequestStarted(const banyanloft::MeshBackend& backend,
                        const std::string& id,
                        const banyanloft::HttpRequest& request) override;
  bool CreateBackend(size_t machine);
  void WriteSettings(const Machine& machine) const;
  void StartDaemon(Machine* machine);
  void Watch();
  void WatchMachine(Machine* machine);

  FleetSettings settings_;
  Record* record_;
  boost::asio::io_context io_;
  std::unique_ptr<banyanloft::MeshStore> store_;
  std::vector<Machine> machines_;
  std::mutex mutex_;  ///< Guards pid and counts of the machines.
  std::atomic<bool> stopping_{false};
  std::thread io_thread_;
  std::thread watch_thread_;
};

/// A request of a client, sent over a connection of its own.
struct ClientRequest {
  uint16_t port = 0;
  std::string method = "GET";
  std::string target;
  std::string id;
  std::string body;  ///< Sent instead of `body_bytes` of filling.
  int64_t deadline_ms = 2000;
  size_t body_bytes = 0;
  /// An additional header fills the head up to the limit of the configuration.
  bool fill_head = false;
};

/// Sends a request and waits for its response. Returns the status; 0 if there
/// is none in time.
int SendRequest(const ClientRequest& request);

/// First of `count` consecutive free ports; 0 if there are none.
uint16_t FreePorts(uint16_t count);

int64_t NowMs();
int64_t UnixMs();
void SleepMs(int64_t ms);

}  // namespace review
