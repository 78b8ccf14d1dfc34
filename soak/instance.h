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
  std::string dir;          ///< Folder for the settings file and the log.
  int64_t first_port = 0;   ///< It takes `kPortsOfInstance` from here.
  Endpoint store;           ///< The platform's store.
  int64_t grace_ms = 6000;  ///< Time of a planned stop, in ms.
};

/// One instance of a soak: the daemon as a process, its backend server, and a
/// proxy in front of every connection between them and the rest. One event
/// loop.
class Instance {
 public:
  static constexpr int64_t kPortsPerInstance = 20;

  /// `witness` must outlive the instance.
  Instance(boost::asio::io_context& io, const InstanceSettings& settings,
           BackendObserver* witness);

  /// False if an address cannot be bound or the program cannot be started.
  bool Start(uint64_t seed);
  bool StartDaemon();
  bool StartBackend(uint64_t seed);
  /// The backend server crashes: its sockets close.
  void DestroyBackend() { backend_.reset(); }

  /// Puts a fault on an edge. The token that it returns ends it, unless another
  /// fault has come over it.
  uint64_t SetConnectionFault(ConnectionType connection, ProxyFault fault);
  void ClearConnectionFault(ConnectionType connection, uint64_t token);

  const InstanceSettings& Settings() const { return settings_; }
  DaemonProcess* Daemon() { return &daemon_; }
  HttpClient* Client() { return client_.get(); }
  /// Null while it is away.
  MeshBackend* Backend() { return backend_.get(); }

  bool stop_requested = false;   ///< By a signal: the daemon may end.
  bool restart_on_exit = false;  ///< When it has ended, it is started again.
  TimeMs stop_requested_at;      ///< When it was told.
  TimeMs disturbed_until;        ///< By faults; in touch a while after.

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
  BackendObserver* witness_;
  DaemonProcess daemon_;
  std::unique_ptr<MeshBackend> backend_;
  std::array<std::unique_ptr<LoopbackProxy>, kConnectionTypes> proxies_;
  std::array<uint64_t, kConnectionTypes>
      fault_tokens_{};  ///< Token of the last one.
  std::unique_ptr<HttpClient> client_;
  int backends_started_ = 0;  ///< Started so far.
};

}  // namespace banyanloft::soak
