#pragma once

#include <algorithm>
#include <cstddef>
#include <cstdint>

#include "banyanloft/core/time.h"

namespace banyanloft {

/// Limits the bytes of large messages that are handed to the kernel over all
/// links, so that small messages do not wait behind them in its queues. All
/// other bytes reduce what is left for large messages. Deterministic; not
/// thread safe.
class SendPacer {
 public:
  /// `bytes_per_ms` is the rate of the outgoing link; 0: unknown.
  explicit SendPacer(int64_t bytes_per_ms)
      : bytes_per_ms_(bytes_per_ms > kMaxPacedRate
                          ? 0
                          : bytes_per_ms * kUsablePermille / 1000) {}

  /// Whether the next frame of a large message may be sent.
  bool Allows(TimeMs now) { return WaitMs(now) == 0; }
  /// Time until the next frame may be sent, in ms.
  int64_t WaitMs(TimeMs now) {
    if (bytes_per_ms_ <= 0) return 0;
    Refill(now);
    if (credit_bytes_ > 0) return 0;
    return 1 - credit_bytes_ / bytes_per_ms_;
  }
  /// Bytes were handed to the kernel.
  void OnSent(TimeMs now, size_t bytes) {
    if (bytes_per_ms_ <= 0) return;
    Refill(now);
    // Small messages are not held back, and must not stop large ones for long.
    credit_bytes_ = std::max(credit_bytes_ - static_cast<int64_t>(bytes),
                             -kMaxDebtMs * bytes_per_ms_);
  }

  /// Rate above which nothing is paced, in bytes per ms (50 Mbit/s): a large
  /// message then takes little time, and pacing costs more wake-ups.
  static constexpr int64_t kMaxPacedRate = 6250;
  /// Part of the rate that is left by the headers of TCP and IP, in 1/1000.
  static constexpr int64_t kUsablePermille = 950;
  /// Bytes that may be handed to the kernel at once, as time on the link, in
  /// ms: the longest time that a small message waits there behind large ones.
  static constexpr int64_t kSliceMs = 20;
  static constexpr int64_t kMaxDebtMs = 200;

 private:
  void Refill(TimeMs now) {
    int64_t earned =
        std::min(now - updated_, kMaxDebtMs + kSliceMs) * bytes_per_ms_;
    credit_bytes_ = std::min(credit_bytes_ + earned, kSliceMs * bytes_per_ms_);
    updated_ = now;
  }

  int64_t bytes_per_ms_;
  int64_t credit_bytes_ = 0;
  TimeMs updated_{-1000000};
};

}  // namespace banyanloft
