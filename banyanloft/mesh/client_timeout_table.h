#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>
#include <unordered_map>

namespace banyanloft {

/// Settings of telling returning clients from new ones.
struct ClientTimeoutTableSettings {
  /// Part of a route's requests that come with the same time to wait, in
  /// 1/1000, from which on that time counts as a client's whole patience:
  /// clients that return have some of it left, each another part.
  int64_t min_share_permille = 60;
  /// Requests of a route after which its counts are halved, so that they follow
  /// the clients.
  int64_t decay_after_requests = 400;
  int64_t min_count = 3;  ///< Requests with the same time before it counts.
};

/// Learns with how much patience clients come to a route, and tells of a
/// request how much of it its client has spent before. The load that it
/// answers: after an outage or a flood, clients return beside new ones, and
/// work that can still meet its aim should not wait behind work that cannot.
/// Deterministic; not thread safe.
class ClientTimeoutTable {
 public:
  explicit ClientTimeoutTable(const ClientTimeoutTableSettings& settings)
      : settings_(settings) {}

  /// Notes a request whose client will wait for `wait_ms`, and returns how long
  /// its client has waited before, as far as can be told, in ms: the time to
  /// the next whole patience known; 0 if there is none.
  int64_t PriorWaitMs(const std::string& route, int64_t wait_ms);

  /// Forgets routes for which `keep` is false.
  void Retain(const std::function<bool(const std::string& route)>& keep);
  size_t Routes() const { return routes_.size(); }

 private:
  static constexpr size_t kMaxValues = 24;  ///< Times kept per route.

  struct Value {
    int64_t wait_ms = 0;
    int64_t count = 0;
  };
  struct Route {
    std::array<Value, kMaxValues> values;
    int64_t requests = 0;
  };

  void Record(Route* route, int64_t wait_ms);

  ClientTimeoutTableSettings settings_;
  std::unordered_map<std::string, Route> routes_;
};

}  // namespace banyanloft
