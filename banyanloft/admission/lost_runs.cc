#include "banyanloft/admission/lost_runs.h"

#include <algorithm>

namespace banyanloft {

void LostRuns::OnBroken(TimeMs now, uint64_t fingerprint) {
  broken_.erase(std::remove_if(broken_.begin(), broken_.end(),
                               [&](const LostRun& run) {
                                 return now - run.ended >=
                                        settings_.broken_window_ms;
                               }),
                broken_.end());
  broken_.push_back({fingerprint, now});
}

/// Keeps the earliest runs: the first unanswered one is the likeliest cause.
void LostRuns::OnUnanswered(TimeMs now, uint64_t fingerprint) {
  if (unanswered_.size() < settings_.max_unanswered)
    unanswered_.push_back({fingerprint, now});
}

void LostRuns::OnResponse(TimeMs started) {
  unanswered_.erase(
      std::remove_if(unanswered_.begin(), unanswered_.end(),
                     [&](const LostRun& run) { return run.ended < started; }),
      unanswered_.end());
}

void LostRuns::OnAnswered(TimeMs now, TimeMs started) {
  broken_.erase(std::remove_if(broken_.begin(), broken_.end(),
                               [&](const LostRun& run) {
                                 return run.ended > started &&
                                        now - run.ended >=
                                            settings_.late_read_ms;
                               }),
                broken_.end());
}

std::vector<uint64_t> LostRuns::TakeBroken(TimeMs now) {
  std::vector<uint64_t> fingerprints;
  for (const LostRun& run : broken_) {
    if (now - run.ended < settings_.broken_window_ms)
      fingerprints.push_back(run.fingerprint);
  }
  broken_.clear();
  return fingerprints;
}

std::vector<uint64_t> LostRuns::TakeAll(TimeMs now) {
  std::vector<uint64_t> fingerprints = TakeBroken(now);
  for (const LostRun& run : unanswered_)
    fingerprints.push_back(run.fingerprint);
  unanswered_.clear();
  return fingerprints;
}

void LostRuns::Clear() {
  broken_.clear();
  unanswered_.clear();
}

}  // namespace banyanloft
