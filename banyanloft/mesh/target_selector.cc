#include "banyanloft/mesh/target_selector.h"

#include <algorithm>

namespace banyanloft {
namespace {

constexpr int64_t kPermille = 1000;
/// Divisor of the moving average of failures: each outcome has a weight of
/// 1/16. A single failure changes the average by 6 %; a target that fails half
/// of its requests is noticed within ten.
constexpr int64_t kFailureDivisor = 16;
/// Penalty on the expected time of a target that fails every request, in ms;
/// proportionally less at lower failure rates.
constexpr int64_t kFailurePenaltyMs = 1000;
constexpr int64_t kSuspectPenaltyMs = 100000;
constexpr int kMaxEjectDoublings = 4;
constexpr int64_t kFailureHalfLifeMs = 1000;
constexpr int64_t kMaxHalvings = 10;

bool Contains(const std::vector<MemberId>& list, MemberId id) {
  return std::find(list.begin(), list.end(), id) != list.end();
}

}  // namespace

int64_t TargetSelector::RunMs(TimeMs now, const Target& target,
                              const std::string& route) const {
  int64_t own_ms = target.runs.MeanMs(now, route);
  if (own_ms >= 0) return own_ms;
  int64_t all_ms = all_runs_.MeanMs(now, route);
  return all_ms >= 0 ? all_ms : settings_.default_run_ms;
}

/// The failure rate halves with each second without an outcome, so that a
/// target that is not selected because of its failures is tried again.
int64_t TargetSelector::FailurePermille(TimeMs now, const Target& target) {
  int64_t halvings = (now - target.outcome_at) / kFailureHalfLifeMs;
  return halvings > kMaxHalvings ? 0 : target.failure_permille >> halvings;
}

int64_t TargetSelector::ExpectedMs(TimeMs now, const Target& target,
                                   const TargetQuery& query) const {
  int64_t run_ms = RunMs(now, target, query.route);
  int64_t wait_ms = 0;
  int ahead = target.outstanding;
  int slots = 1;
  if (target.load.slots > 0) {
    slots = target.load.slots;
    bool fresh = now - target.reported_at < settings_.max_report_age_ms;
    if (fresh) {
      int reported_ahead =
          target.load.ahead[static_cast<size_t>(query.urgency)];
      ahead = std::max(ahead, reported_ahead + target.sent_since_report);
    }
    if (ahead >= slots) {
      wait_ms = (ahead - slots + 1) *
                static_cast<int64_t>(target.load.mean_run_ms) / slots;
    }
  }
  return wait_ms + run_ms +
         FailurePermille(now, target) * kFailurePenaltyMs / kPermille;
}

bool TargetSelector::Usable(TimeMs now, const Target& target) const {
  return now >= target.ejected_until && now >= target.avoid_until;
}

std::optional<TargetChoice> TargetSelector::Choose(
    TimeMs now, const std::vector<TargetCandidate>& candidates,
    const TargetQuery& query, const std::vector<MemberId>& excluded) {
  std::optional<TargetChoice> best_same_zone;
  std::optional<TargetChoice> best;
  // The second pass admits ejected targets if there is no other.
  for (int pass = 0; pass < 2 && !best; ++pass) {
    // Start at a random candidate to spread the load over equal targets.
    size_t count = candidates.size();
    size_t start = random_.Below(count);
    for (size_t i = 0; i < count; ++i) {
      const TargetCandidate& candidate = candidates[(start + i) % count];
      if (Contains(excluded, candidate.id)) continue;
      const Target& target = targets_[candidate.id];
      if (pass == 0 && !Usable(now, target)) continue;
      if (pass == 1 && now < target.avoid_until) continue;
      int64_t expected_ms = ExpectedMs(now, target, query);
      if (candidate.suspect) expected_ms += kSuspectPenaltyMs;
      TargetChoice choice{candidate.id, expected_ms, candidate.same_zone};
      if (candidate.same_zone &&
          (!best_same_zone || expected_ms < best_same_zone->expected_ms))
        best_same_zone = choice;
      int64_t cost_ms =
          expected_ms +
          (candidate.same_zone ? 0 : settings_.cross_zone_penalty_ms);
      int64_t best_ms =
          best ? best->expected_ms +
                     (best->same_zone ? 0 : settings_.cross_zone_penalty_ms)
               : 0;
      if (!best || cost_ms < best_ms) best = choice;
    }
  }
  if (!best_same_zone) return best;
  int64_t limit_ms =
      query.aim_left_ms * settings_.same_zone_share_permille / kPermille;
  bool stay = best_same_zone->expected_ms <= limit_ms;
  // If no target is expected to meet the aim, sending the request to another
  // zone only adds traffic, unless it is answered much earlier there.
  if (best->expected_ms > limit_ms)
    stay = best_same_zone->expected_ms * kPermille <=
           best->expected_ms * settings_.late_same_zone_permille;
  return stay ? best_same_zone : best;
}

void TargetSelector::OnSent(MemberId id) {
  Target& target = targets_[id];
  ++target.outstanding;
  ++target.sent_since_report;
}

void TargetSelector::OnEnded(MemberId id) {
  Target& target = targets_[id];
  target.outstanding = std::max(0, target.outstanding - 1);
}

void TargetSelector::OnReport(TimeMs now, MemberId id, const TargetLoad& load,
                              const std::string& route, int64_t run_ms) {
  Target& target = targets_[id];
  target.load = load;
  target.reported_at = now;
  target.sent_since_report = 0;
  if (run_ms < 0) return;
  target.runs.Add(now, route, run_ms);
  all_runs_.Add(now, route, run_ms);
}

void TargetSelector::OnOutcome(TimeMs now, MemberId id, bool failed) {
  Target& target = targets_[id];
  int64_t sample = failed ? kPermille : 0;
  int64_t share = FailurePermille(now, target);
  target.failure_permille = share + (sample - share) / kFailureDivisor;
  target.outcome_at = now;
  if (!failed) {
    target.failures = 0;
    target.ejections = 0;
    return;
  }
  if (++target.failures < settings_.failures_to_eject) return;
  if (now < target.ejected_until) return;
  int doublings = std::min(target.ejections, kMaxEjectDoublings);
  int64_t time_ms =
      std::min(settings_.eject_base_ms << doublings, settings_.max_eject_ms);
  target.ejected_until =
      now + time_ms +
      static_cast<int64_t>(random_.Below(static_cast<uint64_t>(time_ms) / 4));
  ++target.ejections;
  // After the ejection a single failure ejects the target again; a single
  // success resets the count.
  target.failures = settings_.failures_to_eject - 1;
}

void TargetSelector::Avoid(TimeMs now, MemberId id) {
  targets_[id].avoid_until = now + settings_.avoid_ms;
}

void TargetSelector::Retain(const std::vector<MemberId>& alive) {
  for (auto it = targets_.begin(); it != targets_.end();)
    it = Contains(alive, it->first) ? std::next(it) : targets_.erase(it);
}

int TargetSelector::Ejected(TimeMs now) const {
  return static_cast<int>(std::count_if(
      targets_.begin(), targets_.end(),
      [&](const auto& entry) { return now < entry.second.ejected_until; }));
}

}  // namespace banyanloft
