#pragma once

#include <cstdint>
#include <map>
#include <unordered_map>
#include <vector>

#include "banyanloft/core/time.h"

namespace banyanloft {

/// Settings of crash containment.
struct CrashGuardSettings {
  int crashes_to_refuse = 3;  ///< Crashes after which a request is refused.
  int64_t suspicion_ttl_ms =
      600000;  ///< Time for which a suspicion counts, in ms.
  size_t max_fingerprints = 10000;  ///< Most requests remembered.
};

/// A request was in flight when a backend server crashed. `cleared` says that
/// the same request later ran to its end, which ends the suspicion for good.
struct CrashSuspicion {
  uint64_t fingerprint = 0;  ///< Hash of route and body.
  uint64_t crash_id = 0;     ///< Identity of the crash.
  bool cleared = false;
};

/// Keeps requests that crash backend servers from doing so again and again,
/// without refusing requests that were merely in flight beside them.
/// Suspicions are merged between daemons; merging is commutative and
/// idempotent. Deterministic; not thread safe.
class CrashGuard {
 public:
  enum class Verdict : uint8_t {
    kClear,      ///< Run as usual.
    kExclusive,  ///< Suspect: run, but not beside another suspect.
    kRefuse,     ///< Refuse, not run.
  };

  explicit CrashGuard(const CrashGuardSettings& settings)
      : settings_(settings) {}

  /// What to do with a request.
  Verdict Check(TimeMs now, uint64_t fingerprint) const;
  /// A backend server crashed with these requests in flight. Returns the new
  /// suspicions, to be spread.
  std::vector<CrashSuspicion> OnCrash(
      TimeMs now, uint64_t crash_id, const std::vector<uint64_t>& fingerprints);
  /// A request ran to its end. Returns the suspicions that this clears, to be
  /// spread.
  std::vector<CrashSuspicion> OnSuccess(TimeMs now, uint64_t fingerprint);
  /// Takes expired suspicions of other daemons. Returns those that were added.
  std::vector<CrashSuspicion> Merge(
      TimeMs now, const std::vector<CrashSuspicion>& suspicions);
  /// Forgets suspicions whose lifetime is expired.
  void Tick(TimeMs now);
  /// Requests under suspicion now.
  size_t Size() const { return requests_.size(); }

 private:
  struct Suspicion {
    bool cleared = false;
    TimeMs raised_at;
  };
  using SuspicionsByCrash = std::map<uint64_t, Suspicion>;

  bool Apply(TimeMs now, const CrashSuspicion& suspicion);

  CrashGuardSettings settings_;
  std::unordered_map<uint64_t, SuspicionsByCrash> requests_;
};

}  // namespace banyanloft
