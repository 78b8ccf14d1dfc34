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
      200;                    ///< Repeats per request, fleet wide, in 1/1000.
  int64_t window_ms = 10000;  ///< Span over which both are counted, in ms.
  int64_t slack = 50;  ///< Repeats of a window beyond the ratio, fleet wide.
  /// Part of the budget that is used. The rest covers what no daemon can see:
  /// calls that a repeated run repeats, and members counted late.
  int64_t used_permille = 600;
};

/// This daemon's share of a budget that all daemons share: a ratio of its own
/// requests for a service, and an even part of the slack. Deterministic; not
/// thread safe.
class RetryBudget {
 public:
  explicit RetryBudget(const RetryBudgetSettings& settings)
      : settings_(settings) {}

  /// Settings that hold from now on. With another window, counting begins anew.
  void Apply(const RetryBudgetSettings& settings);
  /// Members that share the slack, this one included.
  void SetMembers(size_t members) { members_ = members == 0 ? 1 : members; }
  /// A request for the service came in.
  void OnRequest(TimeMs now, const std::string& service);
  /// Takes one repeat; false if more than `share_permille` of the budget (in
  /// 1/1000) would be used.
  bool Take(TimeMs now, const std::string& service, int64_t share_permille);

 private:
  static constexpr size_t kBuckets = 10;
  struct Window {
    std::array<int64_t, kBuckets> requests{};
    std::array<int64_t, kBuckets> retries{};
    int64_t bucket = 0;  ///< Number of the newest bucket.
  };

  Window& Advance(TimeMs now, const std::string& service);

  RetryBudgetSettings settings_;
  size_t members_ = 1;
  std::unordered_map<std::string, Window> by_service_;
};

}  // namespace banyanloft
