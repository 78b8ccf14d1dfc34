#pragma once

#include <array>
#include <cstdint>
#include <string>
#include <unordered_map>

#include "banyanloft/core/time.h"

namespace banyanloft {

/// Settings of the retry budget.
struct RetryBudgetSettings {
  int64_t ratio_permille =
      200;                    ///< Retries per request, fleet-wide, in 1/1000.
  int64_t window_ms = 10000;  ///< Sliding window of the counts, in ms.
  int64_t slack = 50;  ///< Retries per window beyond the ratio, fleet-wide.
  /// Fraction of the budget that is used, in 1/1000. The rest covers retries
  /// that a daemon cannot count: nested calls that a retried request repeats,
  /// and members that are not known yet.
  int64_t used_permille = 600;
};

/// This daemon's share of a fleet-wide retry budget: for each service, a ratio
/// of its own requests plus an equal part of the slack. Deterministic; not
/// thread safe.
class RetryBudget {
 public:
  explicit RetryBudget(const RetryBudgetSettings& settings)
      : settings_(settings) {}

  /// Replaces the settings. A changed window resets the counts.
  void Apply(const RetryBudgetSettings& settings);
  /// Number of members that share the slack, including this one.
  void SetMembers(size_t members) { members_ = members == 0 ? 1 : members; }
  /// Counts a new request for the service.
  void OnRequest(TimeMs now, const std::string& service);
  /// Takes one retry from the budget. Returns false if that would use more than
  /// `share_permille` (in 1/1000) of it.
  bool Take(TimeMs now, const std::string& service, int64_t share_permille);

 private:
  static constexpr size_t kBuckets = 10;
  struct Window {
    std::array<int64_t, kBuckets> requests{};
    std::array<int64_t, kBuckets> retries{};
    int64_t bucket = 0;  ///< Sequence number of the newest bucket.
  };

  Window& Advance(TimeMs now, const std::string& service);

  RetryBudgetSettings settings_;
  size_t members_ = 1;
  std::unordered_map<std::string, Window> by_service_;
};

}  // namespace banyanloft
