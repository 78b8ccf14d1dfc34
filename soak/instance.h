#pragma once

#include <array>
#include <boost/asio/io_context.hpp>
#include <memory>
#include <string>

#include "banyanloft/core/time.h"
#include "banyanloft/http/http_client.h"
#include "soak/daemon_process.h"
#include "soak/fault_plan.h"
#include "soak/loopback_proxy.h"
#include "standins/mesh_backend.h"

namespace banyanloft::soak {

/// Settings of one instance.
struct InstanceSettings {
  int index = 0;
  std::string service;
  std::string program;      ///< Path of the daemon.
  std::string dir;          ///< Directory for the settings file and the log.
  int64_t first_port = 0;   ///< First of `kPortsPerInstance` ports.
  Endpoint store;           ///< Address of the platform's store.
  int64_t grace_ms = 6000;  ///< Grace period after SIGTERM, in ms.
};

/// One instance of a soak: the daemon as a process, its backend server, and one
/// proxy for each type of connection of the two. Not thread-safe; runs on one
/// event loop.
class Instance {
 public:
  static constexpr int64_t kPortsPerInstance = 20;

  /// `observer` must outlive the instance.
  Instance(boost::asio::io_context& io, const InstanceSettings& settings,
           BackendObserver* observer);

  /// False if an address cannot be bound or the program cannot be started.
  bool Start(uint64_t seed);
  bool StartDaemon();
  bool StartBackend(uint64_t seed);
  /// Closes the sockets of the backend server, as a crash does.
  void DestroyBackend() { backend_.reset(); }

  /// Applies a fault to a connection type. The returned token clears it, unless
  /// a later fault has replaced it.
  uint64_t SetConnectionFault(ConnectionType connection, ProxyFault fault);
  void ClearConnectionFault(ConnectionType connection, uint64_t token);

  const InstanceSettings& Settings() const { return settings_; }
  DaemonProcess* Daemon() { return &daemon_; }
  HttpClient* Client() { return client_.get(); }
  /// Null while it is stopped.
  MeshBackend* Backend() { return backend_.get(); }

  bool stop_requested = false;  ///< The daemon is expected to exit.
  bool restart_on_exit = false;
  TimeMs stop_requested_at;
  int connection_faults = 0;  ///< Number injected so far.
  TimeMs disturbed_until;     ///< End of its last fault; see Soak::IsStable.

 private:
  enum Port : int {
    kOutbound,
    kReady,
    kControl,
    kBackend,
    kLink,
    kGossip,
    kFirstProxyPort = 10,
  };
  Endpoint LocalEndpoint(int offset) const;
  Endpoint ProxyEndpoint(ConnectionType connection) const {
    return LocalEndpoint(kFirstProxyPort + static_cast<int>(connection));
  }
  std::string FilePath(const char* extension) const;
  void WriteSettings() const;

  boost::asio::io_context& io_;
  InstanceSettings settings_;
  BackendObserver* observer_;
  DaemonProcess daemon_;
  std::unique_ptr<MeshBackend> backend_;
  std::array<std::unique_ptr<LoopbackProxy>, kConnectionTypes> proxies_;
  /// Token of the latest fault of each connection type.
  std::array<uint64_t, kConnectionTypes> fault_tokens_{};
  std::unique_ptr<HttpClient> client_;
  int backends_started_ = 0;
};

}  // namespace banyanloft::soak
