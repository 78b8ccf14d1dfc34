#pragma once

#include <cstdint>
#include <string>
#include <unordered_map>

#include "banyanloft/core/time.h"

namespace banyanloft {

/// Exponential moving averages of measured run times by route, each with the
/// time of its last sample. Deterministic; not thread safe.
class RunTimes {
 public:
  /// Adds a sample of a route, in ms.
  void Add(TimeMs now, const std::string& route, int64_t run_ms);
  /// Mean of a route, in ms; negative if its last sample is older than
  /// `kMaxSampleAgeMs`. An old mean may stem from a slow period that has ended,
  /// and would never be corrected if it kept the route's work from starting.
  int64_t MeanMs(TimeMs now, const std::string& route) const;
  /// Mean over all routes, in ms; negative if there is no sample at all.
  int64_t OverallMs() const;

  /// Maximum age of the last sample, in ms: several runs of the longest usual
  /// work.
  static constexpr int64_t kMaxSampleAgeMs = 3000;

 private:
  struct Mean {
    int64_t value = -1;  ///< In 1/16 ms.
    TimeMs updated;
    void Add(TimeMs now, int64_t ms);
  };

  std::unordered_map<std::string, Mean> by_route_;
  Mean overall_;
};

}  // namespace banyanloft
