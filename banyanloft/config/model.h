#pragma once

#include <array>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace banyanloft {

/// Number of naming schemes in a configuration.
inline constexpr size_t kSchemeCount = 3;
/// Maximum number of ranks; admission control uses arrays of this size.
inline constexpr size_t kMaxRanks = 8;

/// The names of one resource, one per scheme; empty where a scheme has none.
using SchemeNames = std::array<std::string, kSchemeCount>;

/// A priority class of calls.
struct Rank {
  std::string id;
  int floor_permille =
      0;          ///< Share of the slots reserved for this rank, in 1/1000.
  int worth = 1;  ///< Value of one served call, in a unit chosen by operators.
  int64_t target_ms = 1000;  ///< Target response time, in ms.
};

/// A service. Backend servers that announce it serve its routes.
struct Service {
  std::string id;
  SchemeNames names;
  int64_t drain_ms = 10000;  ///< Longest wait of a graceful shutdown for work
                             ///< in flight, in ms.
  int64_t slow_start_ms = 5000;  ///< Time over which a new target's share rises
                                 ///< to the full one, in ms.
};

/// One operation of a service.
struct Route {
  std::string id;
  std::string service;
  SchemeNames names;
  std::string
      rank;  ///< Rank id of its calls; callers may only lower the priority.
  std::string kind;           ///< Class for fair queueing within a rank.
  bool idempotent = false;    ///< Calls may safely be repeated.
  bool key_required = false;  ///< Calls must carry a key.
  int64_t timeout_ms =
      2000;  ///< Time-out of a call including all its attempts, in ms.
};

/// Declares that one service calls another.
struct Flow {
  std::string from;
  std::string to;
};

/// The whole configuration. Ranks are ordered, most urgent first.
struct Configuration {
  std::array<std::string, kSchemeCount> schemes;
  std::vector<Rank> ranks;
  std::map<std::string, Service> services;
  std::map<std::string, Route> routes;
  std::vector<Flow> flows;

  /// Index of a rank, 0 being the most urgent; -1 if the id is unknown.
  int RankIndex(std::string_view id) const;
  /// Index of a scheme; -1 if the id is unknown.
  int SchemeIndex(std::string_view id) const;
};

/// Replaces service names of any scheme by service ids in routes and flows.
/// Unknown names are left unchanged.
void ResolveServiceNames(Configuration* configuration);

}  // namespace banyanloft
