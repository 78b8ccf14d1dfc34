#pragma once

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "banyanloft/core/random.h"
#include "banyanloft/core/time.h"
#include "banyanloft/mesh/cost_model.h"
#include "banyanloft/mesh/mesh_message.h"
#include "banyanloft/run_once/key.h"

namespace banyanloft {

/// Settings of target selection.
struct TargetSelectorSettings {
  int64_t max_report_age_ms =
      1500;                      ///< Age from which a load report is ignored.
  int64_t default_run_ms = 100;  ///< Assumed run time without a sample.
  /// A target in another zone is selected only if it is expected to finish this
  /// much earlier, in ms: traffic between zones costs more than a short wait.
  int64_t cross_zone_penalty_ms = 30;
  /// Added to that for each KB of an expected response beyond
  /// `kLargeMessageBytes`. A response of 90 kB costs about twenty times the
  /// bytes of a small one, so it leaves the zone only to save most of a second.
  int64_t cross_zone_ms_per_kb = 10;
  /// Fraction of the time left until the aim that a target of the local zone
  /// may need before other zones are considered, in 1/1000. The rest allows for
  /// errors of the estimate.
  int64_t same_zone_share_permille = 800;
  /// If no target is expected to meet the aim: longest expected time of a
  /// target in the local zone for which it is still preferred, relative to that
  /// of the best target, in 1/1000.
  int64_t late_same_zone_permille = 2000;
  /// Targets whose expected time exceeds that of the best by no more than this
  /// fraction of it, in 1/1000, are selected at random. Always selecting the
  /// best would make all daemons send to the same target until it reports
  /// again.
  int64_t spread_permille = 100;
  /// The same as a time, in ms: differences below it are within the precision
  /// of the estimates.
  int64_t spread_ms = 3;
  /// Time by which another target must be expected to finish earlier until an
  /// attempt moves on to it, in ms: several round trips within a zone.
  int64_t move_margin_ms = 10;
  CostModelSettings costs;
  int failures_to_eject = 4;    ///< Consecutive failures that eject a target.
  int64_t eject_base_ms = 500;  ///< First ejection, in ms; doubles each time.
  int64_t max_eject_ms = 3000;  ///< Maximum ejection before jitter, in ms.
  int64_t avoid_ms = 1000;      ///< How long Avoid() excludes a target, in ms.
};

/// A candidate target according to membership.
struct TargetCandidate {
  MemberId id = 0;
  bool same_zone = false;      ///< In the zone of this daemon.
  bool suspect = false;        ///< Suspected by membership to have failed.
  bool same_instance = false;  ///< Its responses need no link to this daemon.
};

/// Properties of a request that matter for target selection.
struct TargetQuery {
  CostKey cost;  ///< Key of the expected run time.
  int urgency = 0;
  int64_t aim_left_ms = 0;  ///< Time left until the aim, in ms.
};

/// A selected target and its estimate.
struct TargetChoice {
  MemberId id = 0;
  int64_t expected_ms = 0;  ///< Expected wait and run time, in ms.
  bool same_zone = true;
  int64_t cost_ms = 0;  ///< Expected run time, in ms.
  /// Time that the target's link needs for the expected response, in ms.
  int64_t transmit_ms = 0;
  /// Wait from which another target is expected to finish earlier, in ms;
  /// negative: there is no other target.
  int64_t max_wait_ms = -1;
};

/// Selects one of the targets with the earliest expected completion: within the
/// local zone as long as that meets the request's aim, otherwise in any zone.
/// The estimates are based on measured run times and on the work that the
/// daemons of the targets report (see docs/design/placing.md), not on health or
/// load endpoints. Also ejects targets that fail repeatedly. Deterministic; not
/// thread safe.
class TargetSelector {
 public:
  TargetSelector(const TargetSelectorSettings& settings, uint64_t seed)
      : settings_(settings),
        random_(seed),
        costs_(settings.costs),
        sizes_(settings.costs) {}

  /// The best of `candidates` that is not in `excluded`, if any. `candidates`
  /// must not be empty.
  std::optional<TargetChoice> Choose(
      TimeMs now, const std::vector<TargetCandidate>& candidates,
      const TargetQuery& query, const std::vector<MemberId>& excluded);
  /// Expected run time of a request on a target of average speed, in ms;
  /// negative if it is not known.
  int64_t AverageRunMs(TimeMs now, const CostKey& cost) const {
    return std::llround(costs_.ExpectedMs(now, cost));
  }
  /// An attempt was sent to the target, with this expected run time.
  void OnSent(MemberId target, int64_t cost_ms);
  /// An attempt ended, with or without an answer.
  void OnEnded(MemberId target);
  /// The daemon of the target answered a request with its load and the run
  /// time, which is negative if it was not measured.
  void OnReport(TimeMs now, MemberId target, const TargetLoad& load,
                const CostKey& cost, int64_t run_ms);
  /// A response to a request had a body of this size.
  void OnResponse(TimeMs now, const CostKey& cost, size_t body_bytes) {
    sizes_.Add(now, {cost.route, {}}, static_cast<int64_t>(body_bytes), 1);
  }
  /// Expected size of the response's body.
  int64_t ResponseBytes(TimeMs now, const CostKey& cost) const {
    return std::max(0LL,
                    std::llround(sizes_.ExpectedMs(now, {cost.route, {}})));
  }
  /// A request on the target succeeded or failed.
  void OnOutcome(TimeMs now, MemberId target, bool failed);
  /// Excludes the target for a while, for example because it is draining.
  void Avoid(TimeMs now, MemberId target);
  /// Removes the state of targets that are not in `alive`.
  void Retain(const std::vector<MemberId>& alive);
  /// Number of targets that are ejected at `now`.
  int Ejected(TimeMs now) const;

 private:
  struct Target {
    int outstanding = 0;
    int sent_since_report = 0;
    int64_t sent_cost_ms = 0;  ///< Expected run time of those.
    TargetLoad load;
    TimeMs reported_at{-1000000};
    /// Reported run time relative to the mean over all targets.
    double slowness = 1;
    /// Run times of this daemon's last requests, relative to those expected by
    /// `slowness`: shows a slow period that has just begun.
    double recent_slowness = 1;
    TimeMs measured_at{-1000000};  ///< Last run time.
    int failures = 0;
    int ejections = 0;
    TimeMs ejected_until{-1000000};
    TimeMs avoid_until{-1000000};
    int64_t failure_permille = 0;  ///< Moving average of the failure rate.
    TimeMs outcome_at;             ///< When the last request ended.
  };

  /// A usable candidate with its estimate.
  struct Scored {
    TargetChoice choice;
    int64_t price_ms = 0;  ///< Expected time with the cost of its zone.
  };

  int64_t ZoneCostMs(const TargetCandidate& candidate,
                     int64_t response_bytes) const;
  int64_t LinkDelayMs(TimeMs now, const TargetCandidate& candidate,
                      const Target& target, int64_t response_bytes) const;
  static int64_t TransmitMs(const TargetCandidate& candidate,
                            const Target& target, int64_t response_bytes);
  int64_t WaitMs(TimeMs now, const Target& target, int urgency) const;
  static double Slowness(TimeMs now, const Target& target);
  void MeasureSlowness(TimeMs now, const CostKey& cost, int64_t run_ms,
                       Target* target);
  void Score(TimeMs now, const std::vector<TargetCandidate>& candidates,
             const TargetQuery& query, const std::vector<MemberId>& excluded,
             bool admit_ejected);
  TargetChoice RandomNear(int64_t best_ms, bool same_zone);
  static int64_t FailurePermille(TimeMs now, const Target& target);

  TargetSelectorSettings settings_;
  Random random_;
  std::unordered_map<MemberId, Target> targets_;
  CostModel costs_;
  CostModel sizes_;             ///< Of response bodies by route, in bytes.
  std::vector<Scored> scored_;  ///< Of the current choice; kept for its memory.
};

}  // namespace banyanloft
