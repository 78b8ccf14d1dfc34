#pragma once

#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <map>
#include <string>

#include "banyanloft/http/http_client.h"
#include "banyanloft/mesh/backend_runner.h"
#include "banyanloft/mesh/protocol_adapter.h"

namespace banyanloft {

/// Receives the results of runs and health checks. Never called from within a
/// call to BackendClient.
class BackendClientListener {
 public:
  virtual ~BackendClientListener() = default;
  virtual void OnRunEnded(RunResult result) = 0;
  virtual void OnProbed(ProbeResult result) = 0;
};

/// HTTP client of the backend server on this instance: starts and cancels runs,
/// and sends health checks. Runs on one event loop; call it only from the
/// loop's thread.
class BackendClient {
 public:
  /// `protocol` and `listener` must outlive the client.
  BackendClient(boost::asio::io_context& io, const HttpClientSettings& settings,
                int64_t probe_timeout_ms, const ProtocolAdapter* protocol,
                BackendClientListener* listener);

  /// Starts a run. `after_input`: defers the start until input that is already
  /// readable has been processed. When this process was not scheduled for a
  /// while, the cancellation of a request may be queued right behind it.
  void Start(StartRun start, bool after_input);
  void Cancel(const CancelRunOnBackend& cancel);
  void Probe();
  const Counters& Counts() const { return client_.Counts(); }

 private:
  void Send(const StartRun& start);
  void NotifyEnded(RunResult result);

  boost::asio::io_context& io_;
  HttpClient client_;
  int64_t probe_timeout_ms_;
  const ProtocolAdapter* protocol_;
  BackendClientListener* listener_;
  std::map<uint64_t, StartRun> deferred_;  ///< Runs not yet started, by id.
  uint64_t next_probe_ = 1;
};

}  // namespace banyanloft
