#include "banyanloft/mesh/run_time.h"

namespace banyanloft {
namespace {

constexpr int64_t kUnit = 16;
/// Divisor of the moving average: each sample has a weight of 1/8, so that the
/// mean settles within about ten runs.
constexpr int64_t kMeanDivisor = 8;
/// Maximum number of routes with a mean; configurations have fewer.
constexpr size_t kMaxRoutes = 20000;

}  // namespace

void RunTimes::Mean::Add(TimeMs now, int64_t ms) {
  int64_t sample = ms * kUnit;
  bool fresh = value >= 0 && now - updated <= kMaxSampleAgeMs;
  value = fresh ? value + (sample - value) / kMeanDivisor : sample;
  updated = now;
}

void RunTimes::Add(TimeMs now, const std::string& route, int64_t run_ms) {
  if (by_route_.size() > kMaxRoutes) by_route_.clear();
  by_route_[route].Add(now, run_ms);
  overall_.Add(now, run_ms);
}

int64_t RunTimes::MeanMs(TimeMs now, const std::string& route) const {
  auto it = by_route_.find(route);
  if (it == by_route_.end() || now - it->second.updated > kMaxSampleAgeMs)
    return -1;
  return it->second.value / kUnit;
}

int64_t RunTimes::OverallMs() const {
  return overall_.value < 0 ? -1 : overall_.value / kUnit;
}

}  // namespace banyanloft
