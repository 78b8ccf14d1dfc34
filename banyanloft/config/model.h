#pragma once

#include <array>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace banyanloft {

/// Number of naming schemes that live side by side.
inline constexpr size_t kSchemeCount = 3;
/// Ranks are few; gates keep arrays of this size.
inline constexpr size_t kMaxRanks = 8;

/// The names of one resource, one per scheme; empty where a scheme has none.
using SchemeNames = std::array<std::string, kSchemeCount>;

/// A level of urgency.
struct Rank {
  std::string id;
  int floor_permille =
      0;          ///< Share of a gate's slots kept for this rank, in 1/1000.
  int worth = 1;  ///< Worth of one served call, in units of the operators.
  int64_t target_ms = 1000;  ///< Answer time aimed at, in ms.
};

/// A service: backend servers that announce it may run its routes.
struct Service {
  std::string id;
  SchemeNames names;
  int64_t drain_ms =
      10000;  ///< Longest time a planned stop waits for work in flight.
  int64_t slow_start_ms =
      5000;  ///< Time over which a new target's share grows to full.
};

/// A route: one operation of a service under its names.
struct Route {
  std::string id;
  std::string service;
  SchemeNames names;
  std::string
      rank;  ///< Id of the rank of its calls; callers may only lower it.
  std::string kind;  ///< Kind of work, the unit of fair sharing within a rank.
  bool idempotent = false;    ///< May be run again without harm.
  bool key_required = false;  ///< Calls must carry a key.
  int64_t timeout_ms =
      2000;  ///< Longest time for a call with all its attempts.
};

/// Work that flows from one service to another.
struct Flow {
  std::string from;
  std::string to;
};

/// Everything operators describe. Ranks stand in order, most urgent first.
struct Configuration {
  std::array<std::string, kSchemeCount> schemes;
  std::vector<Rank> ranks;
  std::map<std::string, Service> services;
  std::map<std::string, Route> routes;
  std::vector<Flow> flows;

  /// Position of a rank, 0 the most urgent; -1 if there is none of that id.
  int RankIndex(std::string_view id) const;
  /// Position of a scheme; -1 if there is none of that id.
  int SchemeIndex(std::string_view id) const;
};

/// Replaces names of services, of any scheme, by their ids wherever routes and
/// flows use them. Names that lead nowhere stay.
void ResolveServiceNames(Configuration* configuration);

}  // namespace banyanloft
