#pragma once

#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "banyanloft/core/error.h"
#include "banyanloft/http/http_message.h"

namespace banyanloft {

/// Settings of an HTTP client.
struct HttpClientSettings {
  Endpoint server;
  size_t max_connections = 100;       ///< Connections held at once.
  size_t max_waiting = 1000;          ///< Requests that wait for a connection.
  int64_t connect_timeout_ms = 1000;  ///< Longest time to connect, in ms.
  int64_t idle_timeout_ms =
      30000;  ///< Unused connections are closed after this time, in ms; sooner
              ///< if the server states a shorter one.
  size_t max_body_bytes = 4 * 1024 * 1024;  ///< Longest answer body, in bytes.
};

/// Why a request has no answer.
enum class HttpFailure : uint8_t {
  kNotSent,    ///< No byte of it was written.
  kBroken,     ///< The connection ended before a whole answer.
  kTooLarge,   ///< The answer is over the limit.
  kTimeout,    ///< No whole answer in time; the connection is closed.
  kCancelled,  ///< Cancelled; the connection is closed.
};

/// Outcome of a request: an answer or the reason for none.
struct HttpOutcome {
  std::optional<HttpFailure> failure;
  HttpResponse response;
};

/// HTTP/1.1 client to one server with a bounded pool of connections, on one
/// event loop; all calls belong on its thread.
class HttpClient {
 public:
  using Callback = std::function<void(HttpOutcome)>;
  /// Whether an answer belongs to the request. One that does not is skipped and
  /// its connection is not used again.
  using ResponseMatcher = std::function<bool(const HttpResponse&)>;

  HttpClient(boost::asio::io_context& io, const HttpClientSettings& settings);
  ~HttpClient();
  HttpClient(const HttpClient&) = delete;
  HttpClient& operator=(const HttpClient&) = delete;

  /// Sends a request; `done` is called exactly once, unless the client is
  /// destroyed before. `id` names the request for Cancel.
  void Send(uint64_t id, HttpRequest request, int64_t timeout_ms, Callback done,
            ResponseMatcher belongs = nullptr);
  /// Cancels a request; its callback is told kCancelled.
  void Cancel(uint64_t id);
  /// Tries to connect; tells whether the server took the connection.
  void Probe(std::function<void(bool up)> done);

 private:
  class Impl;
  std::shared_ptr<Impl> impl_;
};

}  // namespace banyanloft
