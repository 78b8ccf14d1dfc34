#pragma once

#include <cstdint>
#include <string>

#include "banyanloft/core/error.h"
#include "banyanloft/core/log.h"
#include "banyanloft/http/http_message.h"
#include "banyanloft/mesh/mesh_node.h"

namespace banyanloft {

/// Settings of the sidecar daemon.
struct SidecarSettings {
  std::string name;  ///< Name of the instance, for logs.
  Endpoint clients;  ///< Listens for clients and the backend server.
  Endpoint ready;    ///< Listens for readiness checks.
  Endpoint control;  ///< Listens for the backend server's reports.
  Endpoint metrics;  ///< Serves metrics; port 0 disables it.
  Endpoint link;     ///< Listens for links from peers (TCP).
  /// `ip:port` at which peers reach `link`; empty: the address of `link`.
  std::string advertised_link;
  Endpoint gossip;    ///< Receives datagrams from peers (UDP).
  Endpoint backend;   ///< The backend server on this instance.
  Endpoint store;     ///< The platform's store.
  std::string fleet;  ///< Secret that authenticates this fleet's peers.
  LogRateLimit log;
  int64_t tick_ms = 20;             ///< Period of MeshNode::Tick(), in ms.
  int64_t body_timeout_ms = 30000;  ///< Timeout of reading a body, in ms.
  int64_t probe_timeout_ms = 1000;  ///< Timeout of a health check, in ms.
  int64_t store_timeout_ms = 800;   ///< Timeout of a store call, in ms.
  /// Period of checking the settings for changes, in ms; SIGHUP reloads them
  /// immediately.
  int64_t settings_poll_ms = 2000;
  /// Memory of the instance, in MB (1,000,000 bytes). The memory of request
  /// bodies is derived from it.
  int64_t memory_mb = 1024;
  size_t max_clients = 3000;  ///< Maximum number of client connections.
  /// Maximum number of connections to the backend server.
  size_t max_backend_connections = 100;
  /// Idle time after which a connection to the backend server is closed, in ms.
  int64_t backend_idle_ms = 8000;
  MeshNodeSettings node;
};

/// Source of the settings. Implemented by the adapter of a platform.
class SettingsSource {
 public:
  virtual ~SettingsSource() = default;
  /// Reads the current settings; the error lists every problem found.
  virtual Result<SidecarSettings> Read() const = 0;
  /// Changes whenever the settings have been written.
  virtual int64_t ModificationStamp() const = 0;
};

}  // namespace banyanloft
