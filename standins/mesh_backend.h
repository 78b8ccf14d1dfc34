#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "banyanloft/core/random.h"
#include "banyanloft/core/time.h"
#include "banyanloft/http/http_client.h"
#include "banyanloft/http/http_server.h"

namespace banyanloft {

class MeshBackend;

/// Is notified of the requests that backend servers execute.
class BackendObserver {
 public:
  virtual ~BackendObserver() = default;
  /// Called when a backend server starts to execute a request.
  virtual void OnRequestStarted(const MeshBackend& backend,
                                const std::string& id,
                                const HttpRequest& request) = 0;
};

/// Settings of a simulated backend server.
struct MeshBackendSettings {
  std::string id;
  std::string service;
  std::string version;  ///< Of its program; empty: not sent.
  Endpoint listen;
  Endpoint advertised;  ///< Sent in heartbeats; may be a proxy.
  Endpoint control;     ///< Control address of its daemon.
  uint64_t seed = 1;
  int slots = 8;
  int64_t run_ms = 20;                     ///< Mean run time, in ms.
  int64_t invalid_response_permille = 20;  ///< Responses without id, in 1/1000.
  size_t response_bytes = 0;  ///< Least length of a response body, in bytes.
  /// Says in every response that it leaves; otherwise only health checks fail.
  bool names_leaving = true;
};

/// Simulated backend server: executes requests, sends heartbeats to its daemon
/// and drains. Destroying it simulates a crash. Runs on one event loop.
class MeshBackend final : public HttpHandler {
 public:
  MeshBackend(boost::asio::io_context& io, const MeshBackendSettings& settings,
              BackendObserver* observer);

  Result<Endpoint> Start();
  void Drain() { draining_ = true; }
  /// Drains without a report: only its responses say so, and no further
  /// heartbeats are sent.
  void LeaveUnreported();
  /// Deregisters and sends no further heartbeats.
  void Deregister();
  /// Reports once that it drains, without delay, and sends no further
  /// heartbeats.
  void ReportDrainingOnce();
  /// Further heartbeats take this time to arrive, in ms.
  void DelayHeartbeats(int64_t ms) { heartbeat_delay_ms_ = ms; }
  /// Names a limit of requests per second in all responses; empty: none.
  void SetLimit(std::optional<double> per_s);
  /// Requests that exceeded the limit by more than the platform allows.
  int RequestsOverLimit() const { return over_limit_; }
  bool Draining() const { return draining_; }
  const MeshBackendSettings& Settings() const { return settings_; }
  /// Requests received after the grace period that follows an acknowledged
  /// drain or the first response that said so.
  int LateRequests() const { return late_requests_; }
  bool DrainAcknowledged() const { return drain_acknowledged_; }

  void OnRequest(uint64_t id, HttpRequest request) override;
  void OnAbandoned(uint64_t id) override { (void)id; }
  HttpResponse OnRefused(ErrorKind kind) override;

 private:
  void Run(uint64_t id, const HttpRequest& request);
  void Reply(uint64_t id, HttpResponse response);
  void CountArrival();
  void SendHeartbeats();
  HttpRequest NextHeartbeat();
  void SendToDaemon(HttpRequest message, bool leaves);
  void RunAfter(int64_t ms, std::function<void()> callback);

  boost::asio::io_context& io_;
  MeshBackendSettings settings_;
  BackendObserver* observer_;
  Random random_;
  HttpServer server_;
  HttpClient control_;
  /// Timer callbacks hold a weak reference, so that a timer which fires after
  /// the destruction of the backend server has no effect.
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
  int64_t start_time_ms_;
  int64_t sequence_ = 0;
  uint64_t last_message_ = 0;  ///< Id of the last message to the daemon.
  bool draining_ = false;
  bool drain_acknowledged_ = false;
  TimeMs drain_acknowledged_at_;
  int late_requests_ = 0;
  bool unreported_ = false;
  int64_t heartbeat_delay_ms_ = 0;
  std::optional<TimeMs> leaving_said_at_;
  std::optional<double> limit_per_s_;
  TimeMs limit_binds_at_;
  std::deque<TimeMs> arrivals_;  ///< Within the window that the limit binds.
  int over_limit_ = 0;
};

/// Returns the body that the response to a request must have.
std::string ExpectedResponseBody(const std::string& id,
                                 const std::string& target,
                                 const std::string& body);

}  // namespace banyanloft
