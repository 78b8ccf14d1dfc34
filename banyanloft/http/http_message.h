#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "banyanloft/core/shared_bytes.h"

namespace banyanloft {

/// Header fields in order.
using HttpHeaders = std::vector<std::pair<std::string, std::string>>;

/// Compares ASCII texts without regard to case.
bool EqualsIgnoreCase(std::string_view a, std::string_view b);

/// Value of the first header with the given name, which is matched without
/// regard to case; empty if there is none.
std::string_view HeaderOf(const HttpHeaders& headers, std::string_view name);

/// A request as received or to be sent.
struct HttpRequest {
  std::string method = "GET";
  std::string target = "/";  ///< Path and query.
  HttpHeaders headers;
  std::string body;
  /// The body of a request to be sent, if not empty; replaces `body`.
  SharedBytes shared_body;
  /// Time between the arrival of its last byte and its delivery by HttpServer,
  /// in ms.
  int64_t waited_ms = 0;
};

/// A response as received or to be sent.
struct HttpResponse {
  int status = 200;
  HttpHeaders headers;
  std::string content_type = "text/plain";  ///< Empty: given by `headers`.
  std::string body;
};

/// Path of a target without its query.
std::string PathOf(const std::string& target);
/// Value of a query parameter; empty if there is none.
std::string QueryOf(const std::string& target, const std::string& name);

/// IP address and port of a TCP or UDP endpoint.
struct Endpoint {
  std::string ip = "127.0.0.1";
  uint16_t port = 0;
  std::string Text() const { return ip + ":" + std::to_string(port); }
};
/// Parses `ip:port` (IPv4); false if the text is malformed.
bool ParseEndpoint(const std::string& text, Endpoint* endpoint);

}  // namespace banyanloft
