#pragma once

#include <memory>

#include "banyanloft/core/error.h"
#include "banyanloft/mesh/protocol_adapter.h"
#include "banyanloft/mesh/sidecar_settings.h"

namespace banyanloft {

/// The sidecar daemon: performs the I/O for `MeshNode` on one event loop. A
/// single thread does all work: on instances with a fifth of a core, handing
/// work between threads costs more than it gains (docs/design/platform_run.md).
class Sidecar {
 public:
  /// `protocol` and `source` must outlive the daemon.
  Sidecar(SidecarSettings settings, const ProtocolAdapter* protocol,
          const SettingsSource* source);
  ~Sidecar();
  Sidecar(const Sidecar&) = delete;
  Sidecar& operator=(const Sidecar&) = delete;

  /// Binds all addresses; the error names the address that failed.
  Result<bool> Start();
  /// Serves until a planned stop has finished. SIGTERM and SIGINT start one.
  /// SIGHUP, or a change of the settings, applies those that need no restart.
  void Run();

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace banyanloft
