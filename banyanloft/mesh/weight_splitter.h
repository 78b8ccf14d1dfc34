#pragma once

#include <cstdint>
#include <string>
#include <unordered_map>
#include <vector>

#include "banyanloft/core/random.h"
#include "banyanloft/mesh/route_table.h"

namespace banyanloft {

/// Distributes the requests of a route over its services in the proportions of
/// their weights, evenly over short spans too: each service collects credit by
/// its weight, the richest is chosen. Deterministic; not thread safe.
class WeightSplitter {
 public:
  explicit WeightSplitter(uint64_t seed) : random_(seed) {}

  /// The service of the route's next request.
  const std::string& Next(const HttpRoute& route);

 private:
  struct Credits {
    std::vector<int64_t> weights;  ///< As of the last request.
    std::vector<int64_t> credit;
  };

  Random random_;
  std::unordered_map<std::string, Credits> by_route_;
};

}  // namespace banyanloft
