#pragma once

#include <cstdint>
#include <optional>

#include "banyanloft/core/time.h"

namespace banyanloft {

/// Settings of RateLimiter.
struct RateLimiterSettings {
  /// Time for which an unused rate accumulates, in ms.
  int64_t burst_ms = 250;
};

/// Token bucket for the requests to one backend server, at the rate that the
/// backend server names. Without a limit everything is allowed. Deterministic;
/// not thread safe.
class RateLimiter {
 public:
  explicit RateLimiter(const RateLimiterSettings& settings)
      : settings_(settings) {}

  /// Until the first call of SetLimit, allows only this many requests at a
  /// time: the backend server may have a limit which an earlier process has
  /// used up.
  void AwaitLimit(int requests);
  /// Sets the limit in requests per second; empty: there is none.
  void SetLimit(TimeMs now, std::optional<double> per_s);
  std::optional<double> Limit() const { return per_s_; }
  /// Whether a request may be sent.
  bool Allows(TimeMs now) const;
  /// Takes the token of a request that is sent.
  void OnSent(TimeMs now);
  /// A request ended without a response, which would have told the limit.
  void OnNoResponse();
  /// Time until `count` further requests may be sent, in ms, at a share of the
  /// rate in 1/1000; at most `kMaxWaitMs`.
  int64_t WaitMs(TimeMs now, int count, int64_t share_permille) const;

  static constexpr int64_t kMaxWaitMs = 600000;

 private:
  double Burst() const;
  double Tokens(TimeMs now) const;

  RateLimiterSettings settings_;
  bool known_ = true;  ///< False from AwaitLimit to the first SetLimit.
  std::optional<double> per_s_;
  double tokens_ = 0;  ///< At `updated_`.
  TimeMs updated_;
};

}  // namespace banyanloft
