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

/// Settings of a TargetPicker.
struct PickerSettings {
  int64_t report_max_age_ms =
      1000;  ///< Age from which a load report is ignored, in ms.
  int64_t slow_start_ms =
      5000;  ///< Time until a new target gets its full share, in ms.
  int64_t spillover_load_permille =
      1000;  ///< Load of the own zone at which other zones are considered.
  int64_t cross_zone_penalty_permille =
      400;                    ///< Load added to targets in other zones.
  int failures_to_eject = 5;  ///< Consecutive failures that eject a target.
  int64_t eject_base_ms =
      1000;  ///< Duration of the first ejection, in ms; doubles.
  int64_t eject_cap_ms =
      3000;  ///< Limit of that duration before jitter, in ms.
  int max_ejected_permille =
      500;  ///< Limit on ejected targets, in 1/1000 of all candidates.
};

/// A target as known from membership.
struct TargetInfo {
  MemberId id = 0;
  std::string zone;
  int slots = 20;
  bool suspect = false;  ///< Membership suspects that it has failed.
  TimeMs ready_since;    ///< Time at which it was first seen ready.
};

/// Load of a target, reported by its admission controller with each answer.
struct LoadReport {
  int running = 0;
  int waiting = 0;
  AdmissionLevels levels{};
};

/// Why no target was picked.
enum class PickFailure : uint8_t {
  kNoTarget,      ///< No usable target.
  kEarlyRefused,  ///< Targets admit only part of this rank.
};

/// The picked target or the failure, with a description for `explain`.
struct PickResult {
  std::optional<MemberId> target;
  PickFailure failure = PickFailure::kNoTarget;
  std::string reason;
};

/// Load balancer for the targets of one service. Deterministic; not thread
/// safe.
class TargetPicker {
 public:
  virtual ~TargetPicker() = default;
  /// Replaces the candidates; retains the state of those that remain.
  virtual void SetTargets(TimeMs now,
                          const std::vector<TargetInfo>& targets) = 0;
  /// Picks a target for work of `rank`, avoiding those in `tried` if possible.
  virtual PickResult Pick(TimeMs now, int rank,
                          const std::vector<MemberId>& tried) = 0;
  /// Called when an attempt was sent to the target.
  virtual void OnSent(MemberId target) = 0;
  /// Called when an attempt ended. Only `failed` ones count towards ejection;
  /// refusals do not.
  virtual void OnEnded(TimeMs now, MemberId target, bool failed) = 0;
  /// Called when the target reported its load.
  virtual void OnReport(TimeMs now, MemberId target,
                        const LoadReport& report) = 0;
  /// Number of targets currently ejected.
  virtual int Ejected(TimeMs now) const = 0;
};

/// Power of two choices: the less loaded of two random targets, preferring the
/// own zone. Load is derived from this daemon's outstanding attempts and the
/// reports of the target's daemon; health and load endpoints of backend servers
/// are not trusted.
std::unique_ptr<TargetPicker> MakeLeastLoadedPicker(
    const PickerSettings& settings, std::string own_zone, uint64_t seed);
/// Round robin. A baseline for benchmarks.
std::unique_ptr<TargetPicker> MakeRoundRobinPicker();

}  // namespace banyanloft
