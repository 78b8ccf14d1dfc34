#pragma once

#include <memory>

#include "banyanloft/core/error.h"
#include "banyanloft/mesh/protocol_adapter.h"
#include "banyanloft/mesh/sidecar_settings.h"

namespace banyanloft {

/// A forwarding daemon: the edges around `MeshNode` on one event loop. One
/// thread carries all duties: on instances with a fifth of a core, hand-overs
/// between threads cost more than they win (docs/design/platform_run.md).
class Sidecar {
 public:
  /// `protocol` and `source` must outlive the daemon.
  Sidecar(SidecarSettings settings, const ProtocolAdapter* protocol,
          const SettingsSource* source);
  ~Sidecar();
  Sidecar(const Sidecar&) = delete;
  Sidecar& operator=(const Sidecar&) = delete;

  /// Binds all addresses; the error says which could not be had.
  Result<bool> Start();
  /// Serves until a planned stop has finished. SIGTERM begins one. SIGHUP, or a
  /// change of the settings, brings those in force that need no restart.
  void Run();

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace banyanloft
