#pragma once

#include <cstdint>
#include <string>
#include <unordered_map>

#include "banyanloft/core/time.h"

namespace banyanloft {

/// Measured run times by route: exponentially weighted means, each with the
/// time of its last sample. Deterministic; not thread safe.
class RunTimes {
 public:
  /// Adds a sample of a route, in ms.
  void Add(TimeMs now, const std::string& route, int64_t run_ms);
  /// Mean of a route, in ms; negative if it has no sample of the last
  /// `kMaxSampleAgeMs`. What was measured longer ago says little: a slow spell
  /// may have ended, and work that is not started brings no new sample.
  int64_t MeanMs(TimeMs now, const std::string& route) const;
  /// Mean over all routes, in ms; negative if there is no sample at all.
  int64_t OverallMs() const;

  /// Life of a sample, in ms: some runs of the longest usual work.
  static constexpr int64_t kMaxSampleAgeMs = 3000;

 private:
  /// In 1/16 ms.
  struct Mean {
    int64_t value = -1;
    TimeMs updated;
    void Add(TimeMs now, int64_t ms);
  };

  std::unordered_map<std::string, Mean> by_route_;
  Mean overall_;
};

}  // namespace banyanloft
