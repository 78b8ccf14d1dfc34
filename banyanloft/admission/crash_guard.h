#pragma once

#include <cstdint>
#include <map>
#include <unordered_map>
#include <vector>

#include "banyanloft/core/time.h"

namespace banyanloft {

/// Settings for containing requests that crash backend servers.
struct CrashGuardSettings {
  int crashes_to_refuse = 3;  ///< Crashes after which a request is refused.
  int64_t suspicion_ttl_ms =
      600000;  ///< Time for which a suspicion counts, in ms.
  size_t max_fingerprints = 10000;  ///< Limit on tracked requests.
};

/// A request was in flight when a backend server crashed. `cleared` means that
/// the same request has since completed, which ends the suspicion permanently.
struct CrashSuspicion {
  uint64_t fingerprint = 0;  ///< Hash of route and body.
  uint64_t crash_id = 0;     ///< Identity of the crash.
  bool cleared = false;
};

/// Detects requests that crash backend servers and stops them from being run
/// repeatedly, without refusing requests that were only in flight at the same
/// time. Suspicions are replicated between daemons; merging them is commutative
/// and idempotent. Deterministic; not thread safe.
class CrashGuard {
 public:
  enum class Verdict : uint8_t {
    kClear,      ///< Run normally.
    kExclusive,  ///< Suspect: run, but not concurrently with another suspect.
    kRefuse,     ///< Refuse without running.
  };

  explicit CrashGuard(const CrashGuardSettings& settings)
      : settings_(settings) {}

  /// Decides how a request is handled.
  Verdict Check(TimeMs now, uint64_t fingerprint) const;
  /// Number of crashes that the request is suspected of.
  int Crashes(TimeMs now, uint64_t fingerprint) const;
  /// Called when a backend server crashed with these requests in flight.
  /// Returns the new suspicions, to be gossiped.
  std::vector<CrashSuspicion> OnCrash(
      TimeMs now, uint64_t crash_id, const std::vector<uint64_t>& fingerprints);
  /// Called when a request completed. Returns the suspicions that this clears,
  /// to be gossiped.
  std::vector<CrashSuspicion> OnSuccess(TimeMs now, uint64_t fingerprint);
  /// Merges suspicions received from other daemons. Returns those that changed
  /// the local state.
  std::vector<CrashSuspicion> Merge(
      TimeMs now, const std::vector<CrashSuspicion>& suspicions);
  /// Removes expired suspicions.
  void Tick(TimeMs now);
  /// Number of tracked requests.
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
