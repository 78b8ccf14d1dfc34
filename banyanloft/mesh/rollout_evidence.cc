#include "banyanloft/mesh/rollout_evidence.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace banyanloft {
namespace {

/// Runs broken within this time at one server count once, in ms: a crash breaks
/// all that are in progress.
constexpr int64_t kCrashSpanMs = 1000;

}  // namespace

size_t RunTimeBucket(int64_t run_ms) {
  double log = 2 * std::log2(static_cast<double>(std::max<int64_t>(1, run_ms)));
  return std::min(kRunTimeBuckets - 1, static_cast<size_t>(log));
}

uint64_t TotalOf(const RunTimeHistogram& histogram) {
  return std::accumulate(histogram.begin(), histogram.end(), uint64_t{0});
}

size_t PercentileBucket(const RunTimeHistogram& histogram, uint64_t percent) {
  uint64_t total = TotalOf(histogram);
  uint64_t below = 0;
  for (size_t i = 0; i < kRunTimeBuckets; ++i) {
    below += histogram[i];
    if (below > 0 && below * 100 >= total * percent) return i;
  }
  return 0;
}

void RolloutRecorder::Follow(const std::string& service,
                             const std::string& to_version,
                             const std::string& version) {
  bool same = following_ && sums_.service == service &&
              sums_.to_version == to_version && sums_.version == version;
  if (same) return;
  following_ = true;
  changed_ = true;
  sums_ = RolloutEvidence{0, service, to_version, version, {}};
}

void RolloutRecorder::OnRun(TimeMs now, const std::string& route,
                            Outcome outcome, int64_t run_ms, bool warm) {
  if (!following_) return;
  if (outcome == Outcome::kBroken) {
    if (now - broken_at_ < kCrashSpanMs) return;
    broken_at_ = now;
  }
  bool known = sums_.routes.count(route) > 0;
  bool full = sums_.routes.size() >= kMaxRoutes;
  RouteEvidence& sums = sums_.routes[known || !full ? route : std::string()];
  changed_ = true;
  ++sums.answers;
  if (outcome != Outcome::kSuccess) {
    ++sums.failures;
  } else if (warm && run_ms >= 0) {
    ++sums.run_times[RunTimeBucket(run_ms)];
  }
}

std::optional<RolloutEvidence> RolloutRecorder::TakeDue(TimeMs now,
                                                        int64_t interval_ms,
                                                        MemberId decider) {
  bool same = decider == sent_to_;
  bool due =
      following_ && (!same || (changed_ && now - sent_at_ >= interval_ms));
  if (!due) return std::nullopt;
  sent_to_ = decider;
  changed_ = false;
  sent_at_ = now;
  return sums_;
}

}  // namespace banyanloft
