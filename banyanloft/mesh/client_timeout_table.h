#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>
#include <unordered_map>

namespace banyanloft {

/// Settings for telling retrying clients from new ones.
struct ClientTimeoutTableSettings {
  /// Minimum share of a route's requests with the same timeout, in 1/1000, for
  /// that value to count as a timeout that clients are configured with. Clients
  /// that retry send the rest of their timeout, which differs between them.
  int64_t min_share_permille = 60;
  /// Requests of a route after which its counts are halved, so that they adapt
  /// to changed clients.
  int64_t decay_after_requests = 400;
  int64_t min_count = 3;  ///< Minimum count of a configured timeout.
};

/// Learns the timeouts that the clients of a route are configured with, and
/// estimates for each request how long its client has already waited in earlier
/// tries. After an outage or overload, retrying clients arrive together with
/// new ones; requests that can still meet their aim should not queue behind
/// requests that cannot. Deterministic; not thread safe.
class ClientTimeoutTable {
 public:
  explicit ClientTimeoutTable(const ClientTimeoutTableSettings& settings)
      : settings_(settings) {}

  /// Records a request whose client waits for `wait_ms`, and returns the
  /// estimated time that the client has waited before, in ms: the difference to
  /// the smallest known timeout that is not below `wait_ms`, or 0 if there is
  /// none.
  int64_t PriorWaitMs(const std::string& route, int64_t wait_ms);

  /// Removes the routes for which `keep` returns false.
  void Retain(const std::function<bool(const std::string& route)>& keep);
  size_t Routes() const { return routes_.size(); }

 private:
  static constexpr size_t kMaxValues = 24;  ///< Entries per route.

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
