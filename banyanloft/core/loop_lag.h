#pragma once

#include <algorithm>
#include <cstdint>

#include "banyanloft/core/time.h"

namespace banyanloft {

/// Estimates, from the delay of an event loop's periodic tick, how long input
/// may have waited unread while the loop got no CPU time. On an instance with a
/// tenth of a core that is up to a second. Deterministic; not thread safe.
class LoopLag {
 public:
  LoopLag(TimeMs now, int64_t period_ms)
      : period_ms_(period_ms), due_(now + period_ms) {}

  /// Records that the tick ran; the next one is due a period later.
  void OnTick(TimeMs now) {
    last_ms_ = std::max<int64_t>(0, now - due_);
    ticked_ = now;
    due_ = now + period_ms_;
  }
  /// Upper bound of the time that input read now has waited, in ms; 0 if it is
  /// below `kMinReportedLagMs`.
  int64_t LagMs(TimeMs now) const {
    int64_t overdue_ms = now - due_;
    // Input that arrived while a tick was late is read right after the tick.
    int64_t last_delay_ms = now - ticked_ <= period_ms_ ? last_ms_ : 0;
    int64_t lag_ms = std::max(overdue_ms, last_delay_ms);
    return lag_ms >= kMinReportedLagMs ? lag_ms : 0;
  }

  /// Shorter lags are reported as 0, since timers always fire somewhat late;
  /// several tick periods.
  static constexpr int64_t kMinReportedLagMs = 100;

 private:
  int64_t period_ms_;
  TimeMs due_;
  TimeMs ticked_;
  int64_t last_ms_ = 0;
};

}  // namespace banyanloft
