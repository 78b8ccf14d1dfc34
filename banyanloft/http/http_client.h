#pragma once

#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "banyanloft/core/counters.h"
#include "banyanloft/core/error.h"
#include "banyanloft/http/http_message.h"

namespace banyanloft {

/// Settings of an HTTP client.
struct HttpClientSettings {
  Endpoint server;
  /// What the server is, as the label of metrics and in logs.
  std::string server_role = "server";
  size_t max_connections = 100;       ///< Maximum number of open connections.
  size_t max_waiting = 1000;          ///< Maximum number of queued requests.
  int64_t connect_timeout_ms = 1000;  ///< Connect timeout, in ms.
  int64_t idle_timeout_ms =
      30000;  ///< Idle connections are not reused after this time, in ms, or
              ///< sooner if the server states a shorter one.
  size_t max_head_bytes = 16 * 1024;  ///< Largest response head, in bytes.
  size_t max_body_bytes =
      4 * 1024 * 1024;  ///< Largest response body, in bytes.
  /// Bytes of response bodies that are being received on all connections
  /// together, above which the request with the longest one is failed. Bounds
  /// the memory that a server can take by sending without end.
  size_t max_total_body_bytes = 32 * 1024 * 1024;
  /// Responses on a connection, before the one that is awaited, after which the
  /// request is failed: interim ones and those that belong to no request.
  int max_skipped_responses = 8;
};

/// Why a request got no response.
enum class HttpFailure : uint8_t {
  kNotSent,  ///< No byte of it was written.
  /// The same, because the server closed the new connection.
  kResetUnsent,
  kInvalidRequest,  ///< It cannot be written as HTTP; no byte was written.
  kBroken,          ///< The connection failed or the response was malformed.
  kTooLarge,        ///< The response body exceeds a limit.
  kTimeout,         ///< No complete response in time; the connection is closed.
  kCancelled,       ///< Cancelled; the connection is closed.
};

/// Whether a response belongs to the request that awaits one.
enum class ResponseMatch : uint8_t {
  kMatches,
  kOther,  ///< It is skipped, and its connection is not reused.
  /// It names no request. It is delivered, and its connection is not reused: if
  /// the server sent it again, it would be taken for the next response.
  kUnidentified,
};

/// Outcome of a request: a response or the reason for its absence.
struct HttpOutcome {
  std::optional<HttpFailure> failure;
  HttpResponse response;
};

/// HTTP/1.1 client for one server with a bounded connection pool. Runs on one
/// event loop and must be called on the loop's thread.
class HttpClient {
 public:
  using Callback = std::function<void(HttpOutcome)>;
  /// Tells whether a response belongs to the request.
  using ResponseMatcher = std::function<ResponseMatch(const HttpResponse&)>;

  HttpClient(boost::asio::io_context& io, const HttpClientSettings& settings);
  ~HttpClient();
  HttpClient(const HttpClient&) = delete;
  HttpClient& operator=(const HttpClient&) = delete;

  /// Sends a request. `done` is called exactly once, unless the client is
  /// destroyed before. `id` identifies the request for Cancel.
  void Send(uint64_t id, HttpRequest request, int64_t timeout_ms, Callback done,
            ResponseMatcher matcher = nullptr);
  /// Cancels a request; its callback receives kCancelled, or kNotSent if
  /// nothing was sent yet.
  void Cancel(uint64_t id);
  /// Bytes of response bodies that are being received now.
  size_t BufferedBodyBytes() const;
  const Counters& Counts() const;
  /// Tries to connect and reports whether the server accepted the connection.
  void Probe(std::function<void(bool up)> done);

 private:
  class Impl;
  std::shared_ptr<Impl> impl_;
};

}  // namespace banyanloft
