#pragma once

#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <map>
#include <string>

#include "banyanloft/http/http_client.h"
#include "banyanloft/mesh/backend_runner.h"
#include "banyanloft/mesh/protocol_adapter.h"

namespace banyanloft {

/// Hears what came of runs and probes; never from within a call to the edge.
class BackendClientListener {
 public:
  virtual ~BackendClientListener() = default;
  virtual void OnRunEnded(RunResult result) = 0;
  /// `up`: the server takes connections. `instance`: its id if it calls itself
  /// well.
  virtual void OnProbed(bool up, const std::string& instance) = 0;
};

/// The HTTP side towards the backend server beside this daemon: starts and cuts
/// off runs, and asks whether the server is there. On one event loop; all calls
/// belong on its thread.
class BackendClient {
 public:
  /// `protocol` and `listener` must outlive the edge.
  BackendClient(boost::asio::io_context& io, const HttpClientSettings& settings,
                int64_t probe_timeout_ms, const ProtocolAdapter* protocol,
                BackendClientListener* listener);

  /// Starts a run. `after_input`: only after what can be read now has been
  /// read. Input that waited while this process had no processor time may hold
  /// the withdrawal of a request right behind it.
  void Start(StartRun start, bool after_input);
  void Cancel(const CancelRunOnBackend& cancel);
  void Probe();

 private:
  void Send(const StartRun& start);
  void Tell(RunResult result);

  boost::asio::io_context& io_;
  HttpClient client_;
  int64_t probe_timeout_ms_;
  const ProtocolAdapter* protocol_;
  BackendClientListener* listener_;
  std::map<uint64_t, StartRun> held_;  ///< Runs not started yet, by id.
  uint64_t next_probe_ = 1;
};

}  // namespace banyanloft
