#pragma once

#include <cstdint>
#include <string>
#include <unordered_map>
#include <vector>

#include "banyanloft/core/random.h"
#include "banyanloft/mesh/route_table.h"

namespace banyanloft {

/// Distributes the requests of a route over its services by smooth weighted
/// round robin, which keeps the proportions over short periods too: each
/// service gains credit by its weight, and the one with the most credit is
/// selected. Deterministic; not thread safe.
class WeightSplitter {
 public:
  explicit WeightSplitter(uint64_t seed) : random_(seed) {}

  /// Selects the service for the route's next request.
  const std::string& Next(const HttpRoute& route);

 private:
  struct Credits {
    std::vector<int64_t> weights;  ///< Weights at the last request.
    std::vector<int64_t> credit;
  };

  Random random_;
  std::unordered_map<std::string, Credits> by_route_;
};

}  // namespace banyanloft
