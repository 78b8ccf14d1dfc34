#pragma once

#include <chrono>
#include <cstdint>

namespace banyanloft {

/// A point in monotonic time, in milliseconds. Durations are plain `int64_t`
/// values whose names end in `_ms`.
class TimeMs {
 public:
  constexpr TimeMs() = default;
  constexpr explicit TimeMs(int64_t ms) : ms_(ms) {}

  /// Milliseconds since the epoch of the clock.
  constexpr int64_t Value() const { return ms_; }

  constexpr TimeMs operator+(int64_t ms) const { return TimeMs(ms_ + ms); }
  constexpr TimeMs operator-(int64_t ms) const { return TimeMs(ms_ - ms); }
  constexpr int64_t operator-(TimeMs other) const { return ms_ - other.ms_; }
  constexpr bool operator<(TimeMs other) const { return ms_ < other.ms_; }
  constexpr bool operator<=(TimeMs other) const { return ms_ <= other.ms_; }
  constexpr bool operator>(TimeMs other) const { return ms_ > other.ms_; }
  constexpr bool operator>=(TimeMs other) const { return ms_ >= other.ms_; }
  constexpr bool operator==(TimeMs other) const { return ms_ == other.ms_; }
  constexpr bool operator!=(TimeMs other) const { return ms_ != other.ms_; }

 private:
  int64_t ms_ = 0;
};

/// Clock of the daemons' threads. Decision logic holds no clock: it receives
/// the time with each message.
class Clock {
 public:
  virtual ~Clock() = default;
  /// Current time. Thread safe.
  virtual TimeMs Now() const = 0;
};

/// Clock based on std::chrono::steady_clock.
class SteadyClock final : public Clock {
 public:
  TimeMs Now() const override {
    auto since = std::chrono::steady_clock::now().time_since_epoch();
    return TimeMs(
        std::chrono::duration_cast<std::chrono::milliseconds>(since).count());
  }
};

}  // namespace banyanloft
