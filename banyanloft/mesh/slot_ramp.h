#pragma once

#include <algorithm>
#include <cstdint>

#include "banyanloft/core/time.h"

namespace banyanloft {

/// Settings of SlotRamp.
struct SlotRampSettings {
  /// Slots used at first, in 1/1000 of all. Servers are planned to be busy for
  /// about two thirds of the time.
  int64_t first_permille = 250;
  /// Time after which no run of an earlier process remains, in ms: the longest
  /// usual deadline.
  int64_t max_ms = 6000;
};

/// Number of slots that a daemon uses beside runs that an earlier process may
/// have left on the backend server. They end at about the same rate as the
/// daemon's own: each answered run allows one more at a time, and each
/// connection that breaks halves the number. Deterministic; not thread safe.
class SlotRamp {
 public:
  /// `now`: start of this process.
  SlotRamp(const SlotRampSettings& settings, TimeMs now)
      : settings_(settings), begun_(now) {}

  /// No runs of an earlier process remain.
  void End() { ended_ = true; }
  /// Whether runs of an earlier process may remain.
  bool Active(TimeMs now) const {
    return !ended_ && now - begun_ < settings_.max_ms;
  }
  void OnAnswered() { ++extra_; }
  void OnBroken(int slots) {
    int limit = First(slots) + extra_;
    extra_ = std::max(1, limit / 2) - First(slots);
  }
  /// Number of `slots` that may be used.
  int Limit(TimeMs now, int slots) {
    int limit = First(slots) + extra_;
    if (!Active(now) || limit >= slots) {
      ended_ = true;
      return slots;
    }
    return std::max(1, limit);
  }

 private:
  int First(int slots) const {
    constexpr int64_t kPermille = 1000;
    return static_cast<int>(
        std::max<int64_t>(1, slots * settings_.first_permille / kPermille));
  }

  SlotRampSettings settings_;
  TimeMs begun_;
  bool ended_ = false;
  int extra_ = 0;  ///< Slots beyond the first ones.
};

}  // namespace banyanloft
