#include "banyanloft/mesh/rate_limiter.h"

#include <algorithm>

namespace banyanloft {
namespace {

constexpr double kMsPerSecond = 1000.0;
constexpr double kPermille = 1000.0;

}  // namespace

double RateLimiter::Burst() const {
  return std::max(
      1.0, *per_s_ * static_cast<double>(settings_.burst_ms) / kMsPerSecond);
}

double RateLimiter::Tokens(TimeMs now) const {
  if (!per_s_) return tokens_;
  double earned = *per_s_ * static_cast<double>(now - updated_) / kMsPerSecond;
  return std::min(tokens_ + earned, Burst());
}

void RateLimiter::AwaitLimit(int requests) {
  known_ = false;
  tokens_ = requests;
}

void RateLimiter::SetLimit(TimeMs now, std::optional<double> per_s) {
  if (known_ && per_s == per_s_) return;
  // No rate has accumulated before the limit is known.
  tokens_ = per_s_ ? Tokens(now) : 0;
  per_s_ = per_s;
  if (per_s_) tokens_ = std::min(tokens_, Burst());
  known_ = true;
  updated_ = now;
}

bool RateLimiter::Allows(TimeMs now) const {
  if (known_ && !per_s_) return true;
  return Tokens(now) >= 1;
}

void RateLimiter::OnSent(TimeMs now) {
  if (known_ && !per_s_) return;
  tokens_ = Tokens(now) - 1;
  updated_ = now;
}

void RateLimiter::OnNoResponse() {
  if (!known_) tokens_ += 1;
}

int64_t RateLimiter::WaitMs(TimeMs now, int count,
                            int64_t share_permille) const {
  if (!per_s_) return 0;
  double missing = count - Tokens(now);
  if (missing <= 0) return 0;
  double rate = *per_s_ * static_cast<double>(share_permille) / kPermille;
  double max_wait_s = static_cast<double>(kMaxWaitMs) / kMsPerSecond;
  if (rate * max_wait_s <= missing) return kMaxWaitMs;
  return static_cast<int64_t>(missing / rate * kMsPerSecond);
}

}  // namespace banyanloft
