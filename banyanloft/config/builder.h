#pragma once

#include <string>
#include <utility>
#include <vector>

#include "banyanloft/config/model.h"
#include "banyanloft/config/validate.h"

namespace banyanloft {

/// Builds a rank:
/// RankBuilder("urgent").Floor(100).Worth(10).Target(200).Build().
class RankBuilder {
 public:
  explicit RankBuilder(std::string id) { rank_.id = std::move(id); }
  /// Share of the slots reserved for the rank, in 1/1000.
  RankBuilder& Floor(int permille) {
    return rank_.floor_permille = permille, *this;
  }
  /// Value of one served call.
  RankBuilder& Worth(int worth) { return rank_.worth = worth, *this; }
  /// Target response time, in ms.
  RankBuilder& Target(int64_t ms) { return rank_.target_ms = ms, *this; }
  Rank Build() const { return rank_; }

 private:
  Rank rank_;
};

/// Builds a service.
class ServiceBuilder {
 public:
  explicit ServiceBuilder(std::string id) { service_.id = std::move(id); }
  /// Sets the name in the scheme with the index `scheme`, 0 to 2.
  ServiceBuilder& Name(size_t scheme, std::string name) {
    return service_.names.at(scheme) = std::move(name), *this;
  }
  /// Longest wait of a graceful shutdown, in ms.
  ServiceBuilder& Drain(int64_t ms) { return service_.drain_ms = ms, *this; }
  /// Time until a new target receives its full share, in ms.
  ServiceBuilder& SlowStart(int64_t ms) {
    return service_.slow_start_ms = ms, *this;
  }
  Service Build() const { return service_; }

 private:
  Service service_;
};

/// Builds a route.
class RouteBuilder {
 public:
  /// `service` is an id or a name in any scheme.
  RouteBuilder(std::string id, std::string service) {
    route_.id = std::move(id);
    route_.kind = service;
    route_.service = std::move(service);
  }
  RouteBuilder& Name(size_t scheme, std::string name) {
    return route_.names.at(scheme) = std::move(name), *this;
  }
  RouteBuilder& InRank(std::string rank) {
    return route_.rank = std::move(rank), *this;
  }
  RouteBuilder& OfKind(std::string kind) {
    return route_.kind = std::move(kind), *this;
  }
  /// Marks the route as idempotent: calls may be repeated.
  RouteBuilder& Idempotent() { return route_.idempotent = true, *this; }
  /// Calls must carry a key and run at most once.
  RouteBuilder& KeyRequired() { return route_.key_required = true, *this; }
  /// Time-out of a call, in ms.
  RouteBuilder& Timeout(int64_t ms) { return route_.timeout_ms = ms, *this; }
  Route Build() const { return route_; }

 private:
  Route route_;
};

/// Builds a configuration; Build reports all errors at once.
class ConfigurationBuilder {
 public:
  ConfigurationBuilder(std::string scheme0, std::string scheme1,
                       std::string scheme2) {
    out_.schemes = {std::move(scheme0), std::move(scheme1), std::move(scheme2)};
  }
  /// Adds a rank less urgent than those added before.
  ConfigurationBuilder& Add(const Rank& rank) {
    return out_.ranks.push_back(rank), *this;
  }
  ConfigurationBuilder& Add(const Service& service);
  ConfigurationBuilder& Add(const Route& route);
  /// Adds a flow between two services, given by id or by a name in any scheme.
  ConfigurationBuilder& Flows(std::string from, std::string to) {
    return out_.flows.push_back({std::move(from), std::move(to)}), *this;
  }
  /// Returns the configuration with names resolved and sets `errors` to all
  /// errors found; the result may be applied only if there are none.
  Configuration Build(std::vector<ConfigurationError>* errors) const;

 private:
  Configuration out_;
  std::vector<ConfigurationError> duplicate_ids_;
};

}  // namespace banyanloft
