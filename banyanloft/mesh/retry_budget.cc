#include "banyanloft/mesh/retry_budget.h"

#include <algorithm>
#include <numeric>

namespace banyanloft {

void RetryBudget::Apply(const RetryBudgetSettings& settings) {
  if (settings.window_ms != settings_.window_ms) by_service_.clear();
  settings_ = settings;
}

RetryBudget::Window& RetryBudget::Advance(TimeMs now,
                                          const std::string& service) {
  Window& window = by_service_[service];
  int64_t width_ms = std::max<int64_t>(
      1, settings_.window_ms / static_cast<int64_t>(kBuckets));
  int64_t bucket = now.Value() / width_ms;
  int64_t steps = std::min<int64_t>(bucket - window.bucket, kBuckets);
  for (int64_t i = 0; i < steps; ++i) {
    size_t index = static_cast<size_t>(bucket - i) % kBuckets;
    window.requests[index] = 0;
    window.retries[index] = 0;
  }
  window.bucket = std::max(window.bucket, bucket);
  return window;
}

void RetryBudget::OnRequest(TimeMs now, const std::string& service) {
  Window& window = Advance(now, service);
  ++window.requests[static_cast<size_t>(window.bucket) % kBuckets];
}

bool RetryBudget::Take(TimeMs now, const std::string& service,
                       int64_t share_permille) {
  Window& window = Advance(now, service);
  auto sum = [](const std::array<int64_t, kBuckets>& counts) {
    return std::accumulate(counts.begin(), counts.end(), int64_t{0});
  };
  int64_t earned_permille =
      sum(window.requests) * settings_.ratio_permille +
      settings_.slack * 1000 / static_cast<int64_t>(members_);
  int64_t allowed = earned_permille * settings_.used_permille / 1000 *
                    share_permille / 1000 / 1000;
  if (sum(window.retries) + 1 > allowed) return false;
  ++window.retries[static_cast<size_t>(window.bucket) % kBuckets];
  return true;
}

}  // namespace banyanloft
