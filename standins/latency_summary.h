#pragma once

#include <algorithm>
#include <chrono>
#include <cmath>
#include <vector>

namespace banyanloft {

/// Collects latencies and computes their quantiles, in ms.
class LatencySummary {
 public:
  void Add(std::chrono::steady_clock::duration latency) {
    values_ms_.push_back(
        std::chrono::duration<double, std::milli>(latency).count());
  }
  /// Returns the quantile `q` in [0, 1], or 0 if no latency was added.
  double Quantile(double q) const {
    if (values_ms_.empty()) return 0;
    std::vector<double> sorted = values_ms_;
    size_t index =
        static_cast<size_t>(q * static_cast<double>(sorted.size() - 1));
    std::nth_element(sorted.begin(),
                     sorted.begin() + static_cast<int64_t>(index),
                     sorted.end());
    return sorted[index];
  }
  size_t Count() const { return values_ms_.size(); }

 private:
  std::vector<double> values_ms_;
};

}  // namespace banyanloft
