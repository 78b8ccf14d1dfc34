#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <memory>
#include <string>

#include "banyanloft/core/random.h"
#include "banyanloft/core/time.h"
#include "banyanloft/http/http_client.h"
#include "banyanloft/http/http_server.h"

namespace banyanloft {

class MeshBackend;

/// Sees what reaches backend servers.
class BackendObserver {
 public:
  virtual ~BackendObserver() = default;
  /// A request that a backend server begins to run.
  virtual void OnRequestStarted(const MeshBackend& backend,
                                const std::string& id,
                                const HttpRequest& request) = 0;
};

/// Settings of a backend server's stand-in.
struct MeshBackendSettings {
  std::string id;
  std::string service;
  Endpoint listen;
  Endpoint advertised;  ///< Address that it reports; a proxy may stand there.
  Endpoint control;     ///< Where its daemon takes reports.
  uint64_t seed = 1;
  int slots = 8;
  int64_t run_ms = 20;  ///< Mean run time, in ms.
  int64_t invalid_response_permille =
      20;  ///< Answers that it spoils, in 1/1000.
};

/// Stand-in for a backend server: runs requests, reports by heartbeat, drains,
/// crashes by being destroyed. One event loop.
class MeshBackend final : public HttpHandler {
 public:
  MeshBackend(boost::asio::io_context& io, const MeshBackendSettings& settings,
              BackendObserver* observer);

  Result<Endpoint> Start();
  void Drain() { draining_ = true; }
  bool Draining() const { return draining_; }
  const MeshBackendSettings& Settings() const { return settings_; }
  /// Requests that came later than allowed after an acknowledged drain.
  int LateRequests() const { return late_requests_; }
  bool DrainAcknowledged() const { return drain_acknowledged_; }

  void OnRequest(uint64_t id, HttpRequest request) override;
  void OnAbandoned(uint64_t id) override { (void)id; }
  HttpResponse OnRefused(ErrorKind kind) override;

 private:
  void Run(uint64_t id, const HttpRequest& request);
  void SendHeartbeat();
  void RunAfter(int64_t ms, std::function<void()> callback);

  boost::asio::io_context& io_;
  MeshBackendSettings settings_;
  BackendObserver* observer_;
  Random random_;
  HttpServer server_;
  HttpClient control_;
  /// Timers that fire after the backend server is gone do nothing.
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
  int64_t start_time_ms_;
  int64_t sequence_ = 0;
  bool draining_ = false;
  bool drain_acknowledged_ = false;
  TimeMs drain_acknowledged_at_;
  int late_requests_ = 0;
};

/// The answer's body that a request must have.
std::string ExpectedResponseBody(const std::string& id,
                                 const std::string& target,
                                 const std::string& body);

}  // namespace banyanloft
