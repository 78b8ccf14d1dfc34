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

/// The backend server says that it leaves.
struct InstanceDeregistration {
  std::string id;
};
/// What a backend server tells the daemon beside it.
using InstanceMessage = std::variant<InstanceReport, InstanceDeregistration>;

/// Translates between the product's types and what one platform's clients,
/// backend servers and store speak. It decides nothing: an implementation only
/// renames, parses and prints. All functions are free of I/O and state.
class ProtocolAdapter : public ConfigurationReader {
 public:
  /// A client's request; an error if it breaks the protocol.
  virtual Result<MeshRequest> ReadClientRequest(HttpRequest request) const = 0;
  /// The HTTP answer to a client.
  virtual HttpResponse WriteClientResponse(MeshAnswer answer) const = 0;

  /// The HTTP request of a run.
  virtual HttpRequest WriteRunRequest(const StartRun& run) const = 0;
  /// Whether an answer belongs to the request of this id.
  virtual bool ResponseMatches(const HttpResponse& answer,
                               const std::string& request_id) const = 0;
  /// What an answer to a run means.
  virtual RunResult ReadRunResponse(HttpResponse answer) const = 0;

  /// Asks a backend server for its id.
  virtual HttpRequest WriteProbe(const std::string& health_path) const = 0;
  /// The id in the answer; empty if the server does not call itself well.
  virtual std::string ReadProbe(const HttpResponse& answer) const = 0;
  /// What a backend server tells; an error if it cannot be understood.
  virtual Result<InstanceMessage> ReadInstanceMessage(
      const HttpRequest& request) const = 0;
  /// Path at which the platform asks for readiness.
  virtual std::string ReadinessPath() const = 0;

  /// The HTTP request of a call to the store, and what its outcome means.
  virtual HttpRequest WriteStoreCall(const PlatformCall& call) const = 0;
  virtual PlatformReply ReadStoreReply(const PlatformCall& call,
                                       const HttpOutcome& outcome) const = 0;
};

}  // namespace banyanloft
