#pragma once

#include <cstdint>
#include <string>

#include "banyanloft/core/error.h"
#include "banyanloft/core/log.h"
#include "banyanloft/http/http_message.h"
#include "banyanloft/mesh/mesh_node.h"

namespace banyanloft {

/// Settings of a forwarding daemon.
struct SidecarSettings {
  std::string name;  ///< Of the instance, for logs.
  Endpoint clients;  ///< Takes requests of clients and the backend server.
  Endpoint ready;    ///< Answers whether it is ready.
  Endpoint control;  ///< Takes the backend server's reports.
  Endpoint metrics;  ///< Serves metrics; port 0: not served.
  Endpoint link;     ///< Takes links of peers (TCP).
  /// `ip:port` at which peers reach `link`; empty: there itself.
  std::string advertised_link;
  Endpoint gossip;    ///< Takes datagrams of peers (UDP).
  Endpoint backend;   ///< The backend server beside this daemon.
  Endpoint store;     ///< The platform's store.
  std::string fleet;  ///< Seals datagrams and links of one fleet.
  LogSettings log;
  int64_t tick_ms = 20;             ///< Period of the decisions' clock, in ms.
  int64_t body_timeout_ms = 30000;  ///< Longest time for a body, in ms.
  int64_t probe_timeout_ms = 1000;  ///< Wait for a health answer, in ms.
  int64_t store_timeout_ms = 800;   ///< Wait for the store, in ms.
  /// The settings file is looked at this often, in ms; SIGHUP does so at once.
  int64_t settings_poll_ms = 2000;
  size_t max_clients = 3000;             ///< Client connections held at once.
  size_t max_backend_connections = 100;  ///< To the backend server.
  int64_t backend_idle_ms = 8000;  ///< Unused ones are closed after, in ms.
  MeshNodeSettings node;
};

/// Where the settings come from. Implemented by the adapter of a platform.
class SettingsSource {
 public:
  virtual ~SettingsSource() = default;
  /// The settings as they stand now, or every problem with them.
  virtual Result<SidecarSettings> Read() const = 0;
  /// A number that differs once they have been written again.
  virtual int64_t ModificationStamp() const = 0;
};

}  // namespace banyanloft
