#pragma once

#include <string>
#include <variant>

#include "banyanloft/http/http_client.h"
#include "banyanloft/http/http_message.h"
#include "banyanloft/mesh/backend_runner.h"
#include "banyanloft/mesh/config_follower.h"
#include "banyanloft/mesh/instance_registry.h"
#include "banyanloft/mesh/mesh_message.h"
#include "banyanloft/store/platform_message.h"

namespace banyanloft {

/// A backend server deregisters before it stops.
struct InstanceDeregistration {
  std::string id;
};
/// Message from the backend server to the daemon on its instance.
using InstanceMessage = std::variant<InstanceReport, InstanceDeregistration>;

/// Translates between this system's types and the wire formats of one platform:
/// those of its clients, backend servers and store. Implementations only parse
/// and format and make no decisions. All functions are stateless and free of
/// I/O.
class ProtocolAdapter : public ConfigurationReader {
 public:
  /// Parses a client's request; an error if it violates the protocol.
  virtual Result<MeshRequest> ReadClientRequest(HttpRequest request) const = 0;
  /// Formats the HTTP response to a client.
  virtual HttpResponse WriteClientResponse(MeshAnswer answer) const = 0;

  /// Formats the HTTP request that runs a request on the backend server.
  virtual HttpRequest WriteRunRequest(const StartRun& run) const = 0;
  /// Whether a response belongs to the request with this id.
  virtual ResponseMatch MatchResponse(const HttpResponse& answer,
                                      const std::string& request_id) const = 0;
  /// Classifies the backend server's response to a run.
  virtual RunResult ReadRunResponse(HttpResponse answer) const = 0;

  /// Formats the health check, which also asks a backend server for its id.
  virtual HttpRequest WriteProbe(const std::string& health_path) const = 0;
  /// Parses a health check's response.
  virtual ProbeResult ReadProbe(const HttpResponse& answer) const = 0;
  /// Parses a backend server's message; an error if it is malformed.
  virtual Result<InstanceMessage> ReadInstanceMessage(
      const HttpRequest& request) const = 0;
  /// Path of the platform's readiness check.
  virtual std::string ReadinessPath() const = 0;

  /// Formats the HTTP request of a store call, and parses its outcome.
  virtual HttpRequest WriteStoreCall(const PlatformCall& call) const = 0;
  virtual PlatformReply ReadStoreReply(const PlatformCall& call,
                                       const HttpOutcome& outcome) const = 0;
};

}  // namespace banyanloft
