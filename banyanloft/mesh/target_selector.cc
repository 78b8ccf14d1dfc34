#include "banyanloft/mesh/target_selector.h"

#include <algorithm>
#include <cmath>

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
/// Age from which the measured speed of a target is ignored, in ms: a slow
/// period may have ended, which no sample shows if the target is not selected.
constexpr int64_t kMaxSlownessAgeMs = 3000;
constexpr double kMaxSlowness = 10;
/// Weight of a single run.
constexpr double kRunWeight = 0.125;

bool Contains(const std::vector<MemberId>& list, MemberId id) {
  return std::find(list.begin(), list.end(), id) != list.end();
}

}  // namespace

/// The failure rate halves with each second without an outcome, so that a
/// target that is not selected because of its failures is tried again.
int64_t TargetSelector::FailurePermille(TimeMs now, const Target& target) {
  int64_t halvings = (now - target.outcome_at) / kFailureHalfLifeMs;
  return halvings > kMaxHalvings ? 0 : target.failure_permille >> halvings;
}

/// Without a recent measurement, a target counts as fast as the others, so that
/// one that was slow is tried again.
double TargetSelector::Slowness(TimeMs now, const Target& target) {
  bool fresh = now - target.measured_at <= kMaxSlownessAgeMs;
  return fresh ? target.slowness * target.recent_slowness : 1;
}

/// Expected time until the target has a free slot for a new request: the work
/// that is started before, divided by the slots. Without reported work, each
/// request ahead counts as the mean run time.
int64_t TargetSelector::WaitMs(TimeMs now, const Target& target,
                               int urgency) const {
  const TargetLoad& load = target.load;
  if (load.slots <= 0) return 0;
  size_t cls = static_cast<size_t>(urgency);
  bool fresh = now - target.reported_at < settings_.max_report_age_ms;
  int reported = fresh ? load.ahead[cls] + target.sent_since_report : 0;
  int ahead = std::max(target.outstanding, reported);
  if (ahead < load.slots) return 0;
  if (!fresh || load.running_work_ms < 0) {
    return (ahead - load.slots + 1) * static_cast<int64_t>(load.mean_run_ms) /
           load.slots;
  }
  // Own attempts since the report occupy the slots that were free, then queue.
  int free = std::max(0, load.slots - load.ahead[cls]);
  int sent = target.sent_since_report;
  int64_t started_ms =
      sent > 0 ? target.sent_cost_ms * std::min(sent, free) / sent : 0;
  int64_t running_ms = load.running_work_ms + started_ms;
  int64_t queued_ms =
      load.queued_work_ms[cls] + target.sent_cost_ms - started_ms;
  return (queued_ms + running_ms / load.slots) / load.slots;
}

/// Time that the target's link needs for the response. That of this daemon is
/// the same for all targets.
int64_t TargetSelector::TransmitMs(const TargetCandidate& candidate,
                                   const Target& target,
                                   int64_t response_bytes) {
  int64_t rate = target.load.link_bytes_per_ms;
  return candidate.same_instance || rate <= 0 ? 0 : response_bytes / rate;
}

/// Expected time for which the response waits for the target's link. A small
/// one does not wait behind large ones (see SendPacer).
int64_t TargetSelector::LinkDelayMs(TimeMs now,
                                    const TargetCandidate& candidate,
                                    const Target& target,
                                    int64_t response_bytes) const {
  bool waits = !candidate.same_instance && response_bytes > kLargeMessageBytes;
  bool fresh = now - target.reported_at < settings_.max_report_age_ms;
  return waits && fresh ? target.load.link_delay_ms : 0;
}

/// What the bytes between zones cost, as time.
int64_t TargetSelector::ZoneCostMs(const TargetCandidate& candidate,
                                   int64_t response_bytes) const {
  constexpr int64_t kBytesPerKb = 1024;
  if (candidate.same_zone) return 0;
  int64_t large_bytes =
      std::max<int64_t>(0, response_bytes - kLargeMessageBytes);
  return settings_.cross_zone_penalty_ms +
         large_bytes * settings_.cross_zone_ms_per_kb / kBytesPerKb;
}

/// Estimates the expected time of each candidate that may be selected.
void TargetSelector::Score(TimeMs now,
                           const std::vector<TargetCandidate>& candidates,
                           const TargetQuery& query,
                           const std::vector<MemberId>& excluded,
                           bool admit_ejected) {
  double run_ms = costs_.ExpectedMs(now, query.cost);
  if (run_ms < 0) run_ms = static_cast<double>(settings_.default_run_ms);
  int64_t response_bytes = ResponseBytes(now, query.cost);
  for (const TargetCandidate& candidate : candidates) {
    if (Contains(excluded, candidate.id)) continue;
    const Target& target = targets_[candidate.id];
    if (now < target.avoid_until) continue;
    if (!admit_ejected && now < target.ejected_until) continue;
    int64_t cost_ms = std::llround(run_ms * Slowness(now, target));
    int64_t transmit_ms = TransmitMs(candidate, target, response_bytes);
    int64_t expected_ms =
        cost_ms + transmit_ms +
        LinkDelayMs(now, candidate, target, response_bytes) +
        WaitMs(now, target, query.urgency) +
        FailurePermille(now, target) * kFailurePenaltyMs / kPermille;
    if (candidate.suspect) expected_ms += kSuspectPenaltyMs;
    scored_.push_back(
        {{candidate.id, expected_ms, candidate.same_zone, cost_ms, transmit_ms},
         expected_ms + ZoneCostMs(candidate, response_bytes)});
  }
}

/// Selects at random among the scored targets whose time, including the cost of
/// their zone, is close to `best_ms`.
TargetChoice TargetSelector::RandomNear(int64_t best_ms, bool same_zone) {
  int64_t limit_ms =
      best_ms + std::max(settings_.spread_ms,
                         best_ms * settings_.spread_permille / kPermille);
  const Scored* selected = nullptr;
  int64_t next_ms = -1;  // Least time of the targets that are not selected.
  auto pass_over = [&](const Scored& scored) {
    if (next_ms < 0 || scored.price_ms < next_ms) next_ms = scored.price_ms;
  };
  uint64_t near = 0;
  for (const Scored& scored : scored_) {
    if (same_zone && !scored.choice.same_zone) continue;
    // Reservoir sampling: each of the near ones is selected equally often.
    bool select = scored.price_ms <= limit_ms && random_.Below(++near) == 0;
    if (selected != nullptr) pass_over(select ? *selected : scored);
    if (select)
      selected = &scored;
    else if (selected == nullptr)
      pass_over(scored);
  }
  TargetChoice choice = selected->choice;
  if (next_ms >= 0 && choice.same_zone) {
    choice.max_wait_ms = std::max(next_ms, choice.expected_ms) -
                         choice.cost_ms - choice.transmit_ms +
                         settings_.move_margin_ms;
  }
  return choice;
}

std::optional<TargetChoice> TargetSelector::Choose(
    TimeMs now, const std::vector<TargetCandidate>& candidates,
    const TargetQuery& query, const std::vector<MemberId>& excluded) {
  scored_.clear();
  Score(now, candidates, query, excluded, false);
  if (scored_.empty()) Score(now, candidates, query, excluded, true);
  if (scored_.empty()) return std::nullopt;
  const Scored* best = nullptr;
  const Scored* best_same_zone = nullptr;
  for (const Scored& scored : scored_) {
    if (best == nullptr || scored.price_ms < best->price_ms) best = &scored;
    if (!scored.choice.same_zone) continue;
    if (best_same_zone == nullptr || scored.price_ms < best_same_zone->price_ms)
      best_same_zone = &scored;
  }
  if (best_same_zone == nullptr) return RandomNear(best->price_ms, false);
  int64_t near_ms = best_same_zone->choice.expected_ms;
  int64_t limit_ms =
      query.aim_left_ms * settings_.same_zone_share_permille / kPermille;
  bool stay = near_ms <= limit_ms;
  // If no target is expected to meet the aim, sending the request to another
  // zone only adds traffic, unless it is answered much earlier there.
  if (best->choice.expected_ms > limit_ms)
    stay = near_ms * kPermille <=
           best->choice.expected_ms * settings_.late_same_zone_permille;
  return stay ? RandomNear(near_ms, true) : RandomNear(best->price_ms, false);
}

void TargetSelector::OnSent(MemberId id, int64_t cost_ms) {
  Target& target = targets_[id];
  ++target.outstanding;
  ++target.sent_since_report;
  target.sent_cost_ms += cost_ms;
}

void TargetSelector::OnEnded(MemberId id) {
  Target& target = targets_[id];
  target.outstanding = std::max(0, target.outstanding - 1);
}

/// Compares the run time with the one expected on this target.
void TargetSelector::MeasureSlowness(TimeMs now, const CostKey& cost,
                                     int64_t run_ms, Target* target) {
  double expected_ms = costs_.ExpectedMs(now, cost) * target->slowness;
  if (expected_ms < 0) return;
  double sample =
      std::clamp(static_cast<double>(run_ms) / std::max(1.0, expected_ms),
                 1 / kMaxSlowness, kMaxSlowness);
  bool fresh = now - target->measured_at <= kMaxSlownessAgeMs;
  double mean = fresh ? target->recent_slowness : 1;
  target->recent_slowness = mean + (sample - mean) * kRunWeight;
  target->measured_at = now;
}

void TargetSelector::OnReport(TimeMs now, MemberId id, const TargetLoad& load,
                              const CostKey& cost, int64_t run_ms) {
  Target& target = targets_[id];
  target.load = load;
  target.reported_at = now;
  target.sent_since_report = 0;
  target.sent_cost_ms = 0;
  if (load.slowness_permille > 0)
    target.slowness = static_cast<double>(load.slowness_permille) / kPermille;
  if (run_ms < 0) return;
  costs_.Add(now, cost, run_ms, Slowness(now, target));
  MeasureSlowness(now, cost, run_ms, &target);
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
