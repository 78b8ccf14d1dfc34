#pragma once

#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <memory>
#include <string>

#include "banyanloft/core/error.h"
#include "banyanloft/http/http_message.h"

namespace banyanloft {

/// Settings of an HTTP server.
struct HttpServerSettings {
  Endpoint listen;                      ///< Port 0: any free one.
  size_t max_header_bytes = 8 * 1024;   ///< Longest request head, in bytes.
  size_t max_body_bytes = 1024 * 1024;  ///< Longest request body, in bytes.
  int64_t header_timeout_ms =
      5000;  ///< Longest time for the head of a request to arrive, in ms.
  int64_t read_timeout_ms =
      5000;  ///< Longest time for one request to arrive, in ms.
  int64_t idle_timeout_ms = 60000;  ///< Longest time between requests, in ms.
  int64_t write_timeout_ms =
      10000;  ///< Longest time for an answer to be taken, in ms.
  size_t max_connections = 1000;  ///< Connections held at once.
  int64_t first_read_delay_ms =
      0;  ///< Pause before a new connection is read, in ms.
};

/// Receives the requests of a server on the server's thread.
class HttpHandler {
 public:
  virtual ~HttpHandler() = default;
  /// A whole request arrived; answer it with HttpServer::Reply(id, ...).
  virtual void OnRequest(uint64_t id, HttpRequest request) = 0;
  /// The client of an unanswered request went away.
  virtual void OnAbandoned(uint64_t id) = 0;
  /// A request was refused by the server itself; the answer for the client.
  virtual HttpResponse OnRefused(ErrorKind kind) = 0;
};

/// HTTP/1.1 server on one event loop; all calls belong on its thread. Requests
/// that are malformed, oversized or slow are refused with bounded memory.
class HttpServer {
 public:
  /// `handler` must outlive the server.
  HttpServer(boost::asio::io_context& io, const HttpServerSettings& settings,
             HttpHandler* handler);
  ~HttpServer();
  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;

  /// Binds and listens; the error says why it cannot. Call before the loop
  /// runs.
  Result<Endpoint> Start();
  /// Answers a request; ignored if its client went away.
  void Reply(uint64_t id, HttpResponse response);
  /// Takes no new connections; those open end with their next answer.
  void StopAccepting();
  /// From now on connections end with their next answer; new ones are taken.
  void DisableKeepAlive();
  /// Bounds for requests read from now on. `listen`, `max_connections` and
  /// `first_read_delay_ms` stay as they were.
  void SetLimits(const HttpServerSettings& settings);

 private:
  class Impl;
  std::shared_ptr<Impl> impl_;
};

}  // namespace banyanloft
