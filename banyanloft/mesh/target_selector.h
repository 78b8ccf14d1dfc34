#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "banyanloft/core/random.h"
#include "banyanloft/core/time.h"
#include "banyanloft/mesh/mesh_message.h"
#include "banyanloft/mesh/run_time.h"
#include "banyanloft/run_once/key.h"

namespace banyanloft {

/// Settings of target choice.
struct TargetSelectorSettings {
  int64_t max_report_age_ms =
      1500;                      ///< Age at which a load report says nothing.
  int64_t default_run_ms = 100;  ///< Assumed run time of a route never seen.
  /// A target of another zone is taken only if it is expected to finish this
  /// much earlier, in ms: bytes between zones cost more than a short wait.
  int64_t cross_zone_penalty_ms = 30;
  /// Part of the time left for full credit that the own zone may use before
  /// other zones are considered, in 1/1000. The rest is for estimates' errors.
  int64_t same_zone_share_permille = 800;
  int failures_to_eject = 4;    ///< Failures in a row that eject a target.
  int64_t eject_base_ms = 500;  ///< First ejection, in ms; doubles each time.
  int64_t max_eject_ms = 3000;  ///< Longest ejection, in ms.
  int64_t avoid_ms = 1000;  ///< Pause after a target said it takes no work, ms.
};

/// A target as membership knows it.
struct TargetCandidate {
  MemberId id = 0;
  bool same_zone = false;  ///< In the own zone.
  bool suspect = false;    ///< Membership doubts that it is alive.
};

/// What a request needs from a target.
struct TargetQuery {
  std::string route;
  int urgency = 0;
  int64_t aim_left_ms = 0;  ///< Time left for full credit, in ms.
};

/// A target and the estimate that chose it.
struct TargetChoice {
  MemberId id = 0;
  int64_t expected_ms = 0;  ///< Expected wait and run, in ms.
  bool same_zone = true;
};

/// Chooses the target of a request by its expected finish: the own zone as long
/// as that meets the request's aim, otherwise whoever is expected first. The
/// estimates come from measured run times and from the loads that targets'
/// daemons report, not from health or load endpoints. Deterministic; not thread
/// safe.
class TargetSelector {
 public:
  TargetSelector(const TargetSelectorSettings& settings, uint64_t seed)
      : settings_(settings), random_(seed) {}

  /// The best of `candidates` that is not in `excluded`; none if there is none.
  std::optional<TargetChoice> Choose(
      TimeMs now, const std::vector<TargetCandidate>& candidates,
      const TargetQuery& query, const std::vector<MemberId>& excluded);
  /// An attempt was sent to the target.
  void OnSent(MemberId target);
  /// An attempt ended without a report, for example by a lost link.
  void OnEnded(MemberId target);
  /// The target's daemon answered: its load, and the run time if one was
  /// measured.
  void OnReport(TimeMs now, MemberId target, const TargetLoad& load,
                const std::string& route, int64_t run_ms);
  /// A request ended well (`failed` false) or the target failed it.
  void OnOutcome(TimeMs now, MemberId target, bool failed);
  /// The target takes no work now, for example because it drains.
  void Avoid(TimeMs now, MemberId target);
  /// Forgets targets that are not in `alive`.
  void Retain(const std::vector<MemberId>& alive);
  /// Targets ejected now.
  int Ejected(TimeMs now) const;

 private:
  struct Target {
    int outstanding = 0;
    int sent_since_report = 0;
    TargetLoad load;
    TimeMs reported_at{-1000000};
    RunTimes runs;
    int failures = 0;
    int ejections = 0;
    TimeMs ejected_until{-1000000};
    TimeMs avoid_until{-1000000};
    int64_t failure_permille = 0;  ///< Weighted share of failed requests.
    TimeMs outcome_at;             ///< Of the last request that ended.
  };

  int64_t ExpectedMs(TimeMs now, const Target& target,
                     const TargetQuery& query) const;
  int64_t RunMs(TimeMs now, const Target& target,
                const std::string& route) const;
  static int64_t FailurePermille(TimeMs now, const Target& target);
  bool Usable(TimeMs now, const Target& target) const;

  TargetSelectorSettings settings_;
  Random random_;
  std::map<MemberId, Target> targets_;
  RunTimes all_runs_;
};

}  // namespace banyanloft
