#pragma once

#include <array>
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
  uint64_t fingerprint = 0;  ///< Hash of route or path, and body.
  uint64_t crash_id = 0;     ///< Identity of the crash.
  bool cleared = false;
  int64_t age_ms = 0;  ///< Time since the crash, in ms.
};

/// Detects requests that crash backend servers and stops them from being run
/// repeatedly, without refusing requests that were only in flight at the same
/// time. Suspicions are replicated between daemons; merging them is commutative
/// and idempotent, and a digest tells where two daemons differ. Deterministic;
/// not thread safe.
class CrashGuard {
 public:
  /// Number of hash buckets in a digest of the suspicions.
  static constexpr size_t kDigestBuckets = 16;
  using SuspicionDigest = std::array<uint64_t, kDigestBuckets>;

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
  /// All suspicions that count, in the order of fingerprints.
  std::vector<CrashSuspicion> Uncleared(TimeMs now) const;
  /// One hash per bucket over all suspicions; 0 for an empty bucket.
  const SuspicionDigest& Digest() const { return digest_; }
  /// The suspicions of the buckets in which the digests differ.
  std::vector<CrashSuspicion> DifferingFrom(TimeMs now,
                                            const SuspicionDigest& other) const;
  /// Number of tracked requests.
  size_t Size() const { return requests_.size(); }

 private:
  struct Suspicion {
    bool cleared = false;
    TimeMs raised_at;
  };
  using SuspicionsByCrash = std::map<uint64_t, Suspicion>;

  bool Apply(TimeMs now, const CrashSuspicion& suspicion);
  /// Adds a suspicion to the digest, or removes it.
  void ToggleInDigest(uint64_t fingerprint, uint64_t crash_id, bool cleared);
  static size_t BucketOf(uint64_t fingerprint) {
    return fingerprint % kDigestBuckets;
  }

  CrashGuardSettings settings_;
  SuspicionDigest digest_{};
  TimeMs next_expiry_;
  std::unordered_map<uint64_t, SuspicionsByCrash> requests_;
};

}  // namespace banyanloft
