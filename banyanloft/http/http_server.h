#pragma once

#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <memory>
#include <string>

#include "banyanloft/core/counters.h"
#include "banyanloft/core/error.h"
#include "banyanloft/http/body_budget.h"
#include "banyanloft/http/http_message.h"
#include "banyanloft/http/response_budget.h"

namespace banyanloft {

/// Settings of an HTTP server.
struct HttpServerSettings {
  Endpoint listen;  ///< Port 0: any free port.
  /// Largest header and trailers of a request together, in bytes.
  size_t max_header_bytes = 8 * 1024;
  size_t max_body_bytes = 1024 * 1024;  ///< Largest request body, in bytes.
  int64_t header_timeout_ms =
      5000;  ///< Timeout for reading the header of a request, in ms.
  int64_t read_timeout_ms =
      5000;  ///< Timeout for reading a whole request, in ms.
  int64_t idle_timeout_ms = 60000;   ///< Timeout between requests, in ms.
  int64_t write_timeout_ms = 10000;  ///< Timeout for writing a response, in ms.
  size_t max_connections = 1000;     ///< Maximum number of open connections.
  /// Requests of one connection that are in progress at a time. More are not
  /// read until a response has been written.
  size_t max_pipelined_requests = 8;
  BodyBudgetSettings bodies;         ///< Memory of request bodies.
  ResponseBudgetSettings responses;  ///< Memory of unwritten responses.
  int64_t first_read_delay_ms =
      0;  ///< Delay before a new connection is first read, in ms.
};

/// Receives the requests of a server on the server's thread.
class HttpHandler {
 public:
  virtual ~HttpHandler() = default;
  /// A complete request arrived; respond with HttpServer::Reply(id, ...).
  virtual void OnRequest(uint64_t id, HttpRequest request) = 0;
  /// The client of a pending request disconnected, or its connection was closed
  /// by an earlier response.
  virtual void OnAbandoned(uint64_t id) = 0;
  /// The server itself rejected a request; returns the response for the client.
  virtual HttpResponse OnRefused(ErrorKind kind) = 0;
};

/// HTTP/1.1 server. Runs on one event loop and must be called on the loop's
/// thread. Malformed, oversized and slow requests are rejected with bounded
/// memory. Safe requests (GET, HEAD) of one connection are in progress at the
/// same time; any other starts when all earlier ones have been answered, and
/// none behind it starts before its response is written.
class HttpServer {
 public:
  /// `handler` must outlive the server.
  HttpServer(boost::asio::io_context& io, const HttpServerSettings& settings,
             HttpHandler* handler);
  ~HttpServer();
  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;

  /// Binds and listens; returns the bound address. Call before the loop runs.
  Result<Endpoint> Start();
  /// Responds to a request; ignored if its client has disconnected. May close
  /// connections whose clients do not read, if all responses take too much
  /// memory.
  void Reply(uint64_t id, HttpResponse response);
  /// Accepts no new connections; open ones close after the responses to the
  /// requests read so far, or else after their next response.
  void StopAccepting();
  /// Makes connections close as StopAccepting() does; new ones are still
  /// accepted.
  void DisableKeepAlive();
  /// Number of requests that have been read and wait for earlier ones, and of
  /// responses that are not written yet.
  size_t UnfinishedResponses() const;
  /// Memory of all request bodies, in bytes.
  size_t HeldBodyBytes() const;
  /// Requests refused by the server itself, bodies and responses given up.
  const Counters& Counts() const;
  /// Sets the limits for requests read from now on. `listen`, `max_connections`
  /// and `first_read_delay_ms` are not changed.
  void SetLimits(const HttpServerSettings& settings);

 private:
  class Impl;
  std::shared_ptr<Impl> impl_;
};

}  // namespace banyanloft
