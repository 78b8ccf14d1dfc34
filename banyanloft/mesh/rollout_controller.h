#pragma once

#include <array>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>

#include "banyanloft/core/time.h"
#include "banyanloft/membership/member.h"
#include "banyanloft/mesh/rollout_evidence.h"

namespace banyanloft {

/// Settings of RolloutController.
struct RolloutControllerSettings {
  /// Share of all requests that a bad version may get, in 1/1000, and requests
  /// that it may get beyond that.
  int64_t exposure_permille = 100;
  int64_t exposure_slack = 50;
  /// Part of the exposure that trial requests use, in 1/1000. Most of the rest
  /// is for the time when all requests go to the new version.
  int64_t trial_use_permille = 500;
  int64_t first_permille = 10;  ///< Share while nothing is known of the load.
  /// Time within which the share follows the exposure that is left, in ms.
  int64_t follow_ms = 4000;
  /// Time until an answer under a changed share is known here, in ms.
  int64_t evidence_lag_ms = 2500;
  int64_t max_trial_permille = 300;
  /// When all requests go to the new version, and the last decision in any
  /// case, as parts of the time allowed, in 1/1000.
  int64_t shift_at_permille = 875;
  int64_t decide_at_permille = 900;
  /// Time for the old version's requests to end before the success, as a part
  /// of the time allowed, in 1/1000, and its bounds, in ms; and the time for
  /// the shift to reach all daemons, in ms.
  int64_t finish_permille = 40;
  int64_t finish_min_ms = 800;
  int64_t finish_max_ms = 4000;
  int64_t spread_ms = 1000;
  int64_t window_ms = 6000;   ///< Recent time that is judged on its own, in ms.
  uint64_t min_answers = 15;  ///< For success.
  /// For success shortly before the deadline.
  uint64_t min_answers_late = 5;
};

/// Decision on a roll-out.
struct RolloutDecision {
  enum class Verdict : uint8_t { kContinue, kSucceed, kRollBack };
  Verdict verdict = Verdict::kContinue;
  int share_permille = 0;
  int trial_servers = 0;
  std::string reason;  ///< Of a verdict: the evidence.
};

/// Decides on the roll-out of one service from what daemons report.
/// Deterministic; not thread safe; free of I/O.
class RolloutController {
 public:
  /// The order began at `start` and has to end within `duration_ms`.
  RolloutController(const RolloutControllerSettings& settings,
                    std::string to_version, TimeMs start, int64_t duration_ms);

  /// Sums of a daemon; they replace its earlier ones. Ignored if they belong to
  /// another order.
  void OnEvidence(TimeMs now, MemberId reporter,
                  const RolloutEvidence& evidence);
  /// `old_ready` and `new_ready`: ready servers of the two versions;
  /// `share_permille`: share in force.
  RolloutDecision Decide(TimeMs now, size_t old_ready, size_t new_ready,
                         int share_permille);

  uint64_t OldAnswers() const { return total_[0].all.answers; }
  uint64_t NewAnswers() const { return total_[1].all.answers; }
  /// Failures and slow runs of the new version.
  uint64_t BadAnswers() const {
    return total_[1].all.failures + total_[1].all.slow;
  }

 private:
  struct Sums {
    uint64_t answers = 0;
    uint64_t failures = 0;
    uint64_t timed = 0;
    uint64_t slow = 0;
    RunTimeHistogram run_times{};
    void Add(const Sums& other);
  };
  /// Of one version.
  struct VersionSums {
    Sums all;
    std::map<std::string, Sums> routes;
  };
  using BothVersions = std::array<VersionSums, 2>;  // Old and new.
  struct Slice {
    TimeMs began;
    BothVersions sums;
  };

  Sums Difference(const std::string& route, const RouteEvidence& before,
                  const RouteEvidence& after) const;
  size_t SlowFrom(const std::string& route, const RunTimeHistogram& own) const;
  std::string FindFault(TimeMs now) const;
  std::string CompareAll(const char* span, const BothVersions& sums) const;
  static std::string Compare(const char* span, const std::string& route,
                             const Sums& old_sums, const Sums& new_sums);
  double Share(TimeMs now) const;
  int64_t ShiftMs() const;
  double RecentPerMs(TimeMs now) const;

  RolloutControllerSettings settings_;
  std::string to_version_;
  TimeMs start_;
  int64_t duration_ms_;
  std::map<MemberId, RolloutEvidence> reports_;
  std::map<std::string, RunTimeHistogram> old_run_times_;  ///< By route.
  BothVersions total_;
  std::deque<Slice> slices_;
  /// Answers that the shares so far should have brought from the new version,
  /// and all answers when that was last computed.
  double granted_ = 0;
  uint64_t granted_at_ = 0;
  /// Share last decided, which bounds the next one, and when.
  double share_limit_ = 0;
  TimeMs decided_at_;
  bool decided_ = false;
  std::optional<TimeMs> shift_began_;
  std::string fault_;  ///< Evidence of a bad version, once found.
};

}  // namespace banyanloft
