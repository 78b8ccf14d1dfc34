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

/// A client account: its API keys, its rank and its request quota.
struct ClientAccount {
  std::string name;
  std::vector<std::string> api_keys;
  int priority = 0;  ///< Rank among accounts; 0 is the most urgent. It precedes
                     ///< the priority of the route.
  double rate_per_s = 0;  ///< Requests per second, fleet-wide; 0: no limit.
  double burst = 0;       ///< Requests beyond the rate at any time.
};

/// A route: the requests for one host below one path prefix.
struct HttpRoute {
  std::string id;
  std::string host;              ///< Host name in lower case, without a port.
  std::string path_prefix;       ///< Begins and ends with a slash.
  bool idempotent = false;       ///< May run more than once without harm.
  bool large_responses = false;  ///< Responses take long on slow links.
  /// Requests need no API key, although the configuration has accounts.
  bool allow_anonymous = false;
  int64_t timeout_ms = 2000;  ///< Maximum time until the final answer, in ms.
  int64_t aim_ms = 1000;      ///< Target response time (the aim), in ms.
  int max_attempts = 1;       ///< Maximum number of targets that run a request.
  int priority = 0;           ///< Rank among routes; 0 is the most urgent.
  std::vector<WeightedService> split;  ///< At least one service.
};

/// Limits on the size and duration of client requests.
struct ClientLimits {
  size_t max_header_bytes = 16 * 1024;
  size_t max_body_bytes = 64 * 1024 * 1024;
  int64_t header_timeout_ms = 3000;  ///< Maximum time to receive a head, in ms.
  int64_t idle_timeout_ms = 15000;   ///< Maximum idle time of a client, in ms.
};

/// The settings of a service that forwarding needs.
struct ForwardedService {
  std::string id;
  size_t max_connections = 100;  ///< Connections that a target accepts.
};

/// The forwarding part of one configuration version.
struct RouteConfiguration {
  uint64_t version = 0;
  ClientLimits limits;
  std::vector<HttpRoute> routes;
  std::map<std::string, ForwardedService> services;
  std::vector<ClientAccount> accounts;  ///< Empty: requests need no API key.
};

/// Returns all errors; an empty list means that the configuration is valid.
std::vector<ConfigurationError> ValidateRouteConfiguration(
    const RouteConfiguration& configuration);

/// A validated, immutable version of all routes. Requests in flight keep the
/// table that they started with.
class RouteTable {
 public:
  /// Fails with the first error if the configuration is invalid.
  static Result<std::shared_ptr<const RouteTable>> Create(
      RouteConfiguration configuration);

  uint64_t Version() const { return configuration_.version; }
  const ClientLimits& Limits() const { return configuration_.limits; }
  const RouteConfiguration& Config() const { return configuration_; }
  /// The route of `host` with the longest matching prefix of `path`; nullptr if
  /// none matches. `host` may include a port, `path` a query.
  const HttpRoute* Match(std::string_view host, std::string_view path) const;
  /// Whether requests of this route need the API key of a client account.
  bool NeedsApiKey(const HttpRoute& route) const {
    return !configuration_.accounts.empty() && !route.allow_anonymous;
  }
  /// The account that holds an API key; nullptr if there is none.
  const ClientAccount* AccountOf(const std::string& api_key) const;
  /// Rank of a request: by the priority of its account, then by that of its
  /// route. `account` is null for requests without an API key, which are ranked
  /// with the most urgent accounts: they are nested calls of requests that
  /// already occupy a slot.
  int PriorityOf(const HttpRoute& route, const ClientAccount* account) const;
  /// The service with this id; nullptr if there is none.
  const ForwardedService* FindService(const std::string& id) const;

 private:
  explicit RouteTable(RouteConfiguration configuration);

  RouteConfiguration configuration_;
  /// Maps the host, a line feed and the prefix to the index in `routes`.
  std::unordered_map<std::string, size_t> by_prefix_;
  /// Maps an API key to the index in `accounts`.
  std::unordered_map<std::string, size_t> by_api_key_;
  /// Priorities of the accounts in ascending order, without repetition.
  std::vector<int> account_priorities_;
  int route_priorities_ = 1;  ///< Number of classes that routes use.
};

using RouteTablePtr = std::shared_ptr<const RouteTable>;

/// Builds a route, for example:
/// HttpRouteBuilder("r", "a.example", "/p/").To("pledges").Build()
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
  HttpRouteBuilder& AllowAnonymous() {
    return route_.allow_anonymous = true, *this;
  }
  HttpRouteBuilder& LargeResponses() {
    return route_.large_responses = true, *this;
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
