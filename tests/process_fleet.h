#pragma once

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>
#include <set>
#include <string>
#include <thread>
#include <vector>

#include "soak/daemon_process.h"
#include "standins/mesh_backend.h"
#include "standins/mesh_store.h"

namespace banyanloft {

/// Settings of ProcessFleet.
struct ProcessFleetSettings {
  int64_t first_port = 26000;  ///< Of kPortsPerInstance for each instance.
  int instances = 4;           ///< Their services take turns.
  int instances_per_zone = 2;
  std::string bounds = "\"grace_s=6\"";  ///< In the daemons' settings.
  std::string limits;         ///< Lines of `[limits]` in the settings.
  bool store_down = false;    ///< From the start on.
  size_t max_body_bytes = 0;  ///< In the configuration; 0: its usual value.
  double timeout_s = 0;       ///< Of all routes; 0: the usual value.
  /// Template; id, service and addresses are filled in.
  MeshBackendSettings backend;
  /// Instances whose requests the test answers itself, at BackendAddress: their
  /// backend servers only report.
  std::set<int> answered_by_test;
  /// Port of a store that the test runs; 0: the daemons use the simulated one.
  uint16_t store_port = 0;
};

/// Accepts every request of the backend servers.
class IgnoringObserver final : public BackendObserver {
  void OnRequestStarted(const MeshBackend&, const std::string&,
                        const HttpRequest&) override {}
};

/// Daemons as processes on loopback, beside a simulated store and backend
/// servers that run on a thread of their own. Not thread safe.
class ProcessFleet {
 public:
  static constexpr int64_t kPortsPerInstance = 10;

  /// `observer` is called on the thread of the stand-ins and must outlive the
  /// fleet.
  ProcessFleet(const ProcessFleetSettings& settings, BackendObserver* observer);
  ~ProcessFleet();
  ProcessFleet(const ProcessFleet&) = delete;
  ProcessFleet& operator=(const ProcessFleet&) = delete;

  /// False if an address cannot be bound or a daemon cannot be started.
  bool Start();
  /// Kills all daemons and stops the stand-ins.
  void Stop();

  bool StartDaemon(int instance);
  soak::DaemonProcess& Daemon(int instance);
  /// Kills a daemon and waits until it has ended.
  void KillDaemon(int instance);
  /// The peak of the resident memory of a daemon, in MB; 0 if it has ended.
  size_t PeakMb(int instance);
  /// Address at which the daemon of an instance accepts clients.
  Endpoint Clients(int instance) const { return AddressOf(instance, 1); }
  /// Address at which the daemon reaches its backend server.
  Endpoint BackendAddress(int instance) const { return AddressOf(instance, 4); }
  static std::string BackendId(int instance);

  /// Calls a function on the thread of the stand-ins and waits for its end.
  void Call(const std::function<void()>& function);
  /// To be used within Call only.
  MeshStore& Store() { return store_; }
  MeshBackend& Backend(int instance);
  /// Replaces a backend server by one that starts now under the same id.
  bool RestartBackend(int instance);

 private:
  int64_t PortOf(int instance, int offset) const;
  Endpoint AddressOf(int instance, int offset) const;
  std::string PathOf(int instance, const char* extension) const;
  static const char* ServiceOf(int instance);
  void WriteSettings(int instance) const;
  bool StartBackend(int instance);

  ProcessFleetSettings settings_;
  BackendObserver* observer_;
  std::string dir_;
  boost::asio::io_context io_;
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type>
      work_{io_.get_executor()};
  MeshStore store_;
  std::vector<std::unique_ptr<MeshBackend>> backends_;
  std::vector<std::unique_ptr<soak::DaemonProcess>> daemons_;
  std::thread loop_;
};

}  // namespace banyanloft
