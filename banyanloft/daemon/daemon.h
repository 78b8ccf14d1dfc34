#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>

#include "banyanloft/core/error.h"
#include "banyanloft/daemon/node.h"
#include "banyanloft/http/http_message.h"

namespace banyanloft {

/// Settings of a daemon process.
struct DaemonSettings {
  NodeSettings node;       ///< Addresses in it are filled in at start.
  Endpoint caller_listen;  ///< Where callers connect; port 0: any.
  Endpoint link_listen;    ///< Where peers connect (TCP); port 0: any.
  Endpoint
      gossip_listen;      ///< Where peers' datagrams arrive (UDP); port 0: any.
  Endpoint admin_listen;  ///< Where operators and the backend server connect.
  Endpoint backend;       ///< The backend server.
  std::optional<Endpoint> platform;  ///< The platform; none: peers only.
  size_t backend_connections = 100;  ///< Connections to the backend server.
  size_t max_body_bytes =
      1024 * 1024;  ///< Longest body of a request or an answer.
  int64_t request_timeout_ms =
      5000;  ///< Longest time for a caller's request to arrive, in ms.
};

/// Addresses that a running daemon listens on.
struct DaemonAddresses {
  Endpoint caller;
  Endpoint link;
  Endpoint gossip;
  Endpoint admin;
};

/// One daemon process: threads for callers, peers, backend server, platform,
/// operators and decisions, joined by bounded rings.
class Daemon {
 public:
  explicit Daemon(DaemonSettings settings);
  ~Daemon();
  Daemon(const Daemon&) = delete;
  Daemon& operator=(const Daemon&) = delete;

  /// Binds all addresses and starts the threads.
  Result<DaemonAddresses> Start();
  /// Begins a planned stop. Safe from any thread.
  void BeginDrain();
  /// Blocks until a planned stop has finished.
  void WaitUntilDrained();

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace banyanloft
