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

/// Settings of target selection.
struct TargetSelectorSettings {
  int64_t max_report_age_ms =
      1500;                      ///< Age from which a load report is ignored.
  int64_t default_run_ms = 100;  ///< Assumed run time without a sample.
  /// A target in another zone is selected only if it is expected to finish this
  /// much earlier, in ms: traffic between zones costs more than a short wait.
  int64_t cross_zone_penalty_ms = 30;
  /// Fraction of the time left until the aim that a target of the local zone
  /// may need before other zones are considered, in 1/1000. The rest allows for
  /// errors of the estimate.
  int64_t same_zone_share_permille = 800;
  /// If no target is expected to meet the aim: longest expected time of a
  /// target in the local zone for which it is still preferred, relative to that
  /// of the best target, in 1/1000.
  int64_t late_same_zone_permille = 2000;
  int failures_to_eject = 4;    ///< Consecutive failures that eject a target.
  int64_t eject_base_ms = 500;  ///< First ejection, in ms; doubles each time.
  int64_t max_eject_ms = 3000;  ///< Maximum ejection before jitter, in ms.
  int64_t avoid_ms = 1000;      ///< How long Avoid() excludes a target, in ms.
};

/// A candidate target according to membership.
struct TargetCandidate {
  MemberId id = 0;
  bool same_zone = false;  ///< In the zone of this daemon.
  bool suspect = false;    ///< Suspected by membership to have failed.
};

/// Properties of a request that matter for target selection.
struct TargetQuery {
  std::string route;
  int urgency = 0;
  int64_t aim_left_ms = 0;  ///< Time left until the aim, in ms.
};

/// A selected target and its estimate.
struct TargetChoice {
  MemberId id = 0;
  int64_t expected_ms = 0;  ///< Expected wait and run time, in ms.
  bool same_zone = true;
};

/// Selects the target with the earliest expected completion: within the local
/// zone as long as that meets the request's aim, otherwise in any zone. The
/// estimates are based on measured run times and on the load reported by the
/// daemons of the targets, not on health or load endpoints. Also ejects targets
/// that fail repeatedly. Deterministic; not thread safe.
class TargetSelector {
 public:
  TargetSelector(const TargetSelectorSettings& settings, uint64_t seed)
      : settings_(settings), random_(seed) {}

  /// The best of `candidates` that is not in `excluded`, if any. `candidates`
  /// must not be empty.
  std::optional<TargetChoice> Choose(
      TimeMs now, const std::vector<TargetCandidate>& candidates,
      const TargetQuery& query, const std::vector<MemberId>& excluded);
  /// An attempt was sent to the target.
  void OnSent(MemberId target);
  /// An attempt ended, with or without an answer.
  void OnEnded(MemberId target);
  /// The daemon of the target answered with its load and the run time, which is
  /// negative if it was not measured.
  void OnReport(TimeMs now, MemberId target, const TargetLoad& load,
                const std::string& route, int64_t run_ms);
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
    TargetLoad load;
    TimeMs reported_at{-1000000};
    RunTimes runs;
    int failures = 0;
    int ejections = 0;
    TimeMs ejected_until{-1000000};
    TimeMs avoid_until{-1000000};
    int64_t failure_permille = 0;  ///< Moving average of the failure rate.
    TimeMs outcome_at;             ///< When the last request ended.
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
