#pragma once

#include <boost/asio/io_context.hpp>
#include <map>
#include <string>
#include <vector>

#include "banyanloft/config/json.h"
#include "banyanloft/core/random.h"
#include "banyanloft/http/http_server.h"

namespace banyanloft {

/// Faults that a store can inject.
enum class StoreFault : uint8_t {
  kNone,
  kUnavailable,     ///< Responds with 503 to every call.
  kDropsResponses,  ///< Executes calls but sends no response.
  kSlow,            ///< Responds after half a second.
  kThrottles,       ///< Responds with 429 to half of the calls.
};

/// Simulated object store of the platform: objects by kind and name, a
/// store-wide revision, and watches. Runs on one event loop.
class MeshStore final : public HttpHandler {
 public:
  MeshStore(boost::asio::io_context& io, const Endpoint& listen, uint64_t seed);
  Result<Endpoint> Start() { return server_.Start(); }

  /// Writes an object as an operator would, regardless of injected faults.
  void Put(const std::string& kind, const std::string& name, Json spec);
  void SetFault(StoreFault fault) { fault_ = fault; }
  /// Discards the history: watches of older revisions get 410.
  void Compact() { compacted_revision_ = revision_; }

  /// Saves a copy of all objects.
  void SaveCopy() { copy_ = Copy{objects_, revision_}; }
  /// Returns to the saved copy: what was written since is lost, its revisions
  /// are given out again, and waiting watches are cut off.
  void Restore();

  void OnRequest(uint64_t id, HttpRequest request) override;
  void OnAbandoned(uint64_t id) override;
  HttpResponse OnRefused(ErrorKind kind) override;

 private:
  using Objects = std::map<std::string, std::map<std::string, Json>>;
  struct Copy {
    Objects objects;
    uint64_t revision = 0;
  };
  struct Watch {
    uint64_t request;
    std::string kind;
  };

  void SetPart(const std::string& kind, const std::string& name,
               const char* part, Json value);
  void Serve(uint64_t id, const HttpRequest& request);
  void Write(uint64_t id, const std::string& kind, const HttpRequest& request);
  void StartWatch(uint64_t id, const std::string& kind,
                  const HttpRequest& request);
  void Reply(uint64_t id, int status, const Json& body);

  boost::asio::io_context& io_;
  Random random_;
  HttpServer server_;
  StoreFault fault_ = StoreFault::kNone;
  uint64_t revision_ = 0;
  uint64_t compacted_revision_ = 0;  ///< Oldest revision that can be watched.
  uint64_t era_ = 1;                 ///< Rises with each Restore.
  Objects objects_;
  Copy copy_;
  std::vector<Watch> watches_;
};

}  // namespace banyanloft
