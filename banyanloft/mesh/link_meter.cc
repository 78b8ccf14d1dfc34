#include "banyanloft/mesh/link_meter.h"

#include <algorithm>
#include <cmath>

namespace banyanloft {
namespace {

/// Time over which the delay is averaged, in ms: about the age of a report.
constexpr double kAverageMs = 1000;
/// Headers and framing of a message, in bytes.
constexpr size_t kMessageOverheadBytes = 300;

/// Average of the delay up to `now`. While the queue drains, its mean is half
/// of the delay at the start; afterwards the delay is 0.
double MeanDelay(double delay_ms, double elapsed_ms) {
  if (elapsed_ms <= 0) return delay_ms;
  if (elapsed_ms < delay_ms) return delay_ms - elapsed_ms / 2;
  return delay_ms * delay_ms / 2 / elapsed_ms;
}

}  // namespace

int64_t LinkMeter::QueuedBytes(TimeMs now) const {
  return std::max<int64_t>(0, queued_bytes_ - (now - updated_) * bytes_per_ms_);
}

double LinkMeter::MeanMs(TimeMs now) const {
  double elapsed_ms = static_cast<double>(now - updated_);
  double delay_ms =
      static_cast<double>(queued_bytes_) / static_cast<double>(bytes_per_ms_);
  double keep = std::exp(-elapsed_ms / kAverageMs);
  return mean_ms_ * keep + MeanDelay(delay_ms, elapsed_ms) * (1 - keep);
}

void LinkMeter::OnSent(TimeMs now, size_t bytes) {
  mean_ms_ = MeanMs(now);
  queued_bytes_ =
      QueuedBytes(now) + static_cast<int64_t>(bytes + kMessageOverheadBytes);
  updated_ = now;
}

int64_t LinkMeter::DelayMs(TimeMs now) const {
  int64_t mean_ms = std::llround(MeanMs(now));
  return std::max(QueuedBytes(now) / bytes_per_ms_, mean_ms);
}

}  // namespace banyanloft
