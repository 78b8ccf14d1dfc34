#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "banyanloft/config/validate.h"
#include "banyanloft/core/error.h"

namespace banyanloft {

/// One of the services that share the requests of a route.
struct WeightedService {
  std::string service;
  int64_t weight = 1;  ///< Share relative to the other services of the route.
};

/// Requests of one host below one path prefix.
struct HttpRoute {
  std::string id;
  std::string host;           ///< Host name in lower case, without a port.
  std::string path_prefix;    ///< Begins and ends with a slash.
  bool idempotent = false;    ///< May run more than once without harm.
  int64_t timeout_ms = 2000;  ///< Longest time until the final answer, in ms.
  int64_t aim_ms = 1000;      ///< Answer time aimed at, in ms.
  int max_attempts = 1;       ///< Most targets that one request is run on.
  int priority = 0;           ///< Rank among routes, 0 the most urgent.
  std::vector<WeightedService> split;  ///< At least one service.
};

/// What clients may send and how long they may take.
struct ClientLimits {
  size_t max_header_bytes = 16 * 1024;
  size_t max_body_bytes = 64 * 1024 * 1024;
  int64_t header_timeout_ms = 3000;  ///< Longest time for a head, in ms.
  int64_t idle_timeout_ms = 15000;   ///< Longest pause of a client, in ms.
};

/// A service as far as forwarding needs to know it.
struct ForwardedService {
  std::string id;
  size_t max_connections = 100;  ///< Connections that a target accepts.
};

/// All that an accepted version says about forwarding.
struct RouteConfiguration {
  uint64_t version = 0;
  ClientLimits limits;
  std::vector<HttpRoute> routes;
  std::map<std::string, ForwardedService> services;
};

/// Finds every mistake; an empty list means that the version may be adopted.
std::vector<ConfigurationMistake> FindMistakes(
    const RouteConfiguration& configuration);

/// One version of the routes, whole and validated. Immutable; requests in hand
/// keep the table they began with.
class RouteTable {
 public:
  /// Fails on the first mistake; there is no partial table.
  static Result<std::shared_ptr<const RouteTable>> Create(
      RouteConfiguration configuration);

  uint64_t Version() const { return configuration_.version; }
  const ClientLimits& Limits() const { return configuration_.limits; }
  const RouteConfiguration& Config() const { return configuration_; }
  /// The route of `host` with the longest prefix of `path`; nullptr if none.
  /// `host` may carry a port, `path` a query.
  const HttpRoute* Match(std::string_view host, std::string_view path) const;
  /// A service by id; nullptr if there is none.
  const ForwardedService* FindService(const std::string& id) const;

 private:
  explicit RouteTable(RouteConfiguration configuration);

  RouteConfiguration configuration_;
  /// Host, a line feed and the prefix; to the position in `routes`.
  std::unordered_map<std::string, size_t> by_prefix_;
};

using RouteTablePtr = std::shared_ptr<const RouteTable>;

/// Builds a route: HttpRouteBuilder("r", "a.example", "/p/").To("pledges")...
class HttpRouteBuilder {
 public:
  HttpRouteBuilder(std::string id, std::string host, std::string path_prefix) {
    route_.id = std::move(id);
    route_.host = std::move(host);
    route_.path_prefix = std::move(path_prefix);
  }
  /// Adds a service with its weight.
  HttpRouteBuilder& To(std::string service, int64_t weight = 1) {
    return route_.split.push_back({std::move(service), weight}), *this;
  }
  HttpRouteBuilder& Idempotent() { return route_.idempotent = true, *this; }
  HttpRouteBuilder& Timeout(int64_t ms) {
    return route_.timeout_ms = ms, *this;
  }
  HttpRouteBuilder& Aim(int64_t ms) { return route_.aim_ms = ms, *this; }
  HttpRouteBuilder& Attempts(int most) {
    return route_.max_attempts = most, *this;
  }
  HttpRouteBuilder& Priority(int rank) { return route_.priority = rank, *this; }
  HttpRoute Build() const { return route_; }

 private:
  HttpRoute route_;
};

}  // namespace banyanloft
