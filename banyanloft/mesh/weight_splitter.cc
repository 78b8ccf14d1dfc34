#include "banyanloft/mesh/weight_splitter.h"

#include <algorithm>
#include <cassert>
#include <numeric>

namespace banyanloft {
namespace {

/// Maximum number of routes with credits; configurations have fewer.
constexpr size_t kMaxRoutes = 20000;

}  // namespace

const std::string& WeightSplitter::Next(const HttpRoute& route) {
  assert(!route.split.empty());
  if (route.split.size() == 1) return route.split[0].service;

  if (by_route_.size() > kMaxRoutes) by_route_.clear();
  Credits& credits = by_route_[route.id];
  std::vector<int64_t> weights;
  for (const WeightedService& part : route.split)
    weights.push_back(part.weight);
  int64_t total = std::accumulate(weights.begin(), weights.end(), int64_t{0});
  if (credits.weights != weights) {
    credits.weights = std::move(weights);
    credits.credit.assign(route.split.size(), 0);
    // A random phase keeps the daemons from selecting in lockstep.
    for (int64_t& credit : credits.credit)
      credit =
          static_cast<int64_t>(random_.Below(static_cast<uint64_t>(total) + 1));
  }
  for (size_t i = 0; i < route.split.size(); ++i)
    credits.credit[i] += credits.weights[i];
  auto highest = std::max_element(credits.credit.begin(), credits.credit.end());
  *highest -= total;
  return route.split[static_cast<size_t>(highest - credits.credit.begin())]
      .service;
}

}  // namespace banyanloft
