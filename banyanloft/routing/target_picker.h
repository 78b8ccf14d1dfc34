#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "banyanloft/admission/rank_admission_controller.h"
#include "banyanloft/core/random.h"
#include "banyanloft/core/time.h"
#include "banyanloft/run_once/key.h"

namespace banyanloft {

/// Settings of target choice.
struct PickerSettings {
  int64_t report_max_age_ms =
      1000;  ///< Age at which a load report is ignored, in ms.
  int64_t slow_start_ms =
      5000;  ///< Time over which a new target grows to full share.
  int64_t spillover_load_permille =
      1000;  ///< Load at which other zones are considered too.
  int64_t cross_zone_penalty_permille =
      400;  ///< Load that a target in another zone counts extra.
  int failures_to_eject = 5;     ///< Failures in a row that eject a target.
  int64_t eject_base_ms = 1000;  ///< First ejection, in ms; doubles each time.
  int64_t eject_cap_ms = 3000;   ///< Longest ejection, in ms.
  int max_ejected_permille =
      500;  ///< Most of the candidates that are ejected at once.
};

/// A target as membership knows it.
struct TargetInfo {
  MemberId id = 0;
  std::string zone;
  int slots = 20;
  bool suspect = false;  ///< Membership doubts that it is alive.
  TimeMs ready_since;    ///< When it was first seen ready.
};

/// Load of a target as its own gate reported it with an answer.
struct LoadReport {
  int running = 0;
  int waiting = 0;
  AdmissionLevels levels{};
};

/// Why no target was picked.
enum class PickFailure : uint8_t {
  kNoTarget,      ///< There is none that may take work.
  kEarlyRefused,  ///< Targets admit too little of this rank now.
};

/// A target, or why there is none; with the reason in words for `explain`.
struct PickResult {
  std::optional<MemberId> target;
  PickFailure failure = PickFailure::kNoTarget;
  std::string reason;
};

/// Chooses a target among those of one service. Not thread safe; deterministic.
class TargetPicker {
 public:
  virtual ~TargetPicker() = default;
  /// Replaces the candidates; what is known of those that stay is kept.
  virtual void SetTargets(TimeMs now,
                          const std::vector<TargetInfo>& targets) = 0;
  /// Picks a target for work of `rank`, not one of `tried` if avoidable.
  virtual PickResult Pick(TimeMs now, int rank,
                          const std::vector<MemberId>& tried) = 0;
  /// An attempt was sent to the target.
  virtual void OnSent(MemberId target) = 0;
  /// An attempt ended. `failed` counts towards ejection; refusals do not.
  virtual void OnEnded(TimeMs now, MemberId target, bool failed) = 0;
  /// The target's gate reported its load.
  virtual void OnReport(TimeMs now, MemberId target,
                        const LoadReport& report) = 0;
  /// Targets ejected now.
  virtual int Ejected(TimeMs now) const = 0;
};

/// Least loaded of two, own zone first. The load is the outstanding work of
/// this daemon and the target's own reports; health and load endpoints of
/// backend servers are not believed.
std::unique_ptr<TargetPicker> MakeLeastLoadedPicker(
    const PickerSettings& settings, std::string own_zone, uint64_t seed);
/// Each target in turn. A baseline for measurements.
std::unique_ptr<TargetPicker> MakeRoundRobinPicker();

}  // namespace banyanloft
