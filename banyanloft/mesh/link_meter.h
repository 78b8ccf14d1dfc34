#pragma once

#include <cstddef>
#include <cstdint>

#include "banyanloft/core/time.h"

namespace banyanloft {

/// Estimates the delay of this daemon's outgoing link from what is sent to
/// peers and clients: sent bytes form a queue that drains at the rate of the
/// link. Bytes handed to the kernel are included, which hides them from the
/// process. Deterministic; not thread safe.
class LinkMeter {
 public:
  explicit LinkMeter(int64_t bytes_per_ms) : bytes_per_ms_(bytes_per_ms) {}

  /// A message of this size is sent.
  void OnSent(TimeMs now, size_t bytes);
  /// Expected delay of a message sent now or soon, in ms: the longer of the
  /// present delay and the mean over the last second. Reports are up to a
  /// second old, so that the present delay alone would be out of date.
  int64_t DelayMs(TimeMs now) const;
  /// Rate of the link, in bytes per ms.
  int64_t BytesPerMs() const { return bytes_per_ms_; }

 private:
  int64_t QueuedBytes(TimeMs now) const;
  double MeanMs(TimeMs now) const;

  int64_t bytes_per_ms_;
  int64_t queued_bytes_ = 0;  ///< At `updated_`.
  double mean_ms_ = 0;        ///< Delay averaged over time, at `updated_`.
  TimeMs updated_;
};

}  // namespace banyanloft
