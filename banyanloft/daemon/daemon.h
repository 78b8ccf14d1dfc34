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
  NodeSettings node;       ///< Its addresses are set by Start().
  Endpoint caller_listen;  ///< For callers; port 0: any free port.
  Endpoint link_listen;    ///< For peers (TCP); port 0: any free port.
  Endpoint gossip_listen;  ///< For gossip (UDP); port 0: any free port.
  Endpoint admin_listen;   ///< For operators and the backend server.
  Endpoint backend;        ///< Address of the backend server.
  std::optional<Endpoint> platform;     ///< Platform; none: use peers only.
  size_t backend_connections = 100;     ///< Maximum, to the backend server.
  size_t max_body_bytes = 1024 * 1024;  ///< Largest request or response body.
  int64_t request_timeout_ms =
      5000;  ///< Time limit for receiving a caller's request, in ms.
};

/// Addresses that a running daemon listens on.
struct DaemonAddresses {
  Endpoint caller;
  Endpoint link;
  Endpoint gossip;
  Endpoint admin;
};

/// A daemon process. One thread each serves callers, peers, the backend server,
/// the platform and operators; a further one runs the Node state machine. They
/// exchange messages through bounded ring buffers.
class Daemon {
 public:
  explicit Daemon(DaemonSettings settings);
  ~Daemon();
  Daemon(const Daemon&) = delete;
  Daemon& operator=(const Daemon&) = delete;

  /// Binds all listening addresses and starts the threads.
  Result<DaemonAddresses> Start();
  /// Starts a graceful shutdown. Thread-safe.
  void BeginDrain();
  /// Blocks until the graceful shutdown has completed.
  void WaitUntilDrained();

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace banyanloft
