#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <memory>
#include <string>
#include <vector>

#include "banyanloft/core/random.h"
#include "soak/fault_plan.h"
#include "soak/instance.h"
#include "soak/request_history.h"
#include "standins/mesh_store.h"

namespace banyanloft::soak {

/// Settings of a soak of one seed.
struct SoakSettings {
  std::string program;  ///< Path of the daemon.
  std::string dir;      ///< Directory for settings files and logs.
  int64_t seed = 1;
  int64_t daemons = 8;
  int64_t base_port = 20000;  ///< First of 20 ports per daemon and 20 more.
  int64_t rate = 200;         ///< Requests per second.
  int64_t span_ms = 8000;     ///< Time in which faults start, in ms.
};

/// Runs the soak of one seed: starts daemons as processes, with stand-ins for
/// the platform and a proxy for every connection, injects faults from outside,
/// and checks the invariants against what clients and backend servers observe.
class Soak final : public BackendObserver {
 public:
  Soak(boost::asio::io_context& io, const SoakSettings& settings);

  /// False if an address cannot be bound or the program cannot be started.
  bool Start();
  /// True once all daemons have exited and the event loop has been stopped.
  bool Finished() const { return finished_; }
  /// Prints the result line of the seed; returns true if all invariants held.
  bool Report() const;

  void OnRequestStarted(const MeshBackend& backend, const std::string& id,
                        const HttpRequest& request) override;

 private:
  void RunAfter(int64_t ms, std::function<void()> callback);
  void Tick();
  void OnTick();
  void ReapDaemons();
  void SendRequest();
  void InjectFault(const Fault& fault);
  void InjectDaemonFault(const Fault& fault, Instance* instance);
  void KillDaemon(const Fault& fault, Instance* instance);
  void InjectConnectionFault(const Fault& fault, Instance* instance);
  void InjectStoreFault(const Fault& fault);
  void InjectBackendFault(const Fault& fault, Instance* instance);
  void RestoreStore(const Fault& fault);
  void LimitBackend(const Fault& fault, Instance* instance);
  void SendCrashingRequests();
  void OnCrashingRequest(const std::string& backend);
  void CrashBackend(Instance* instance, int64_t away_ms);
  void ChangeConfiguration();
  void MarkDisturbed(Instance* instance, int64_t duration_ms);
  bool IsStable(const Instance& instance, TimeMs now) const;
  void CheckRecovery(TimeMs now);
  void StopDaemons();

  boost::asio::io_context& io_;
  SoakSettings settings_;
  FaultPlan plan_;
  Random random_;
  MeshStore store_;
  RequestHistory history_;
  std::vector<std::unique_ptr<Instance>> instances_;
  boost::asio::steady_timer tick_;
  TimeMs load_start_;
  TimeMs faults_end_;  ///< End of the last fault.
  TimeMs store_disturbed_until_;
  TimeMs next_copy_;
  uint64_t store_fault_token_ = 0;  ///< Of the latest fault of the store.
  uint64_t next_store_fault_ = 1;
  uint64_t next_request_ = 1;
  int64_t requests_due_permille_ = 0;
  int version_ = 1;
  TimeMs config_changed_at_;
  bool load_running_ = true;
  bool stopping_ = false;
  bool finished_ = false;
  TimeMs stop_at_;
  int64_t recovery_ms_ = -1;
  /// Runs of the request that crashes backend servers.
  int crashing_runs_ = 0;
  int late_crashing_runs_ = 0;
  TimeMs contained_from_;  ///< When no more than a few runs are allowed.
  TimeMs crashing_until_;
};

}  // namespace banyanloft::soak
